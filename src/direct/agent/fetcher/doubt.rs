//! Doubts about a manifest: a digest in it may be wrong, as a chunk may be.

use crate::clock;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_platform::OriginClient;
use log::warn;
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// Number of times that a chunk does not match its digest after which the digest is doubted.
const MISMATCHES_BEFORE_DOUBT: u32 = 2;
/// Minimum time between two reads of the manifest to settle a doubt.
const REREAD_INTERVAL: Duration = Duration::from_millis(500);

/// Counts mismatches between chunks and a manifest, and reads the manifest again from the origin if the same
/// chunk has several.
#[derive(Default)]
pub(super) struct ManifestDoubt {
    mismatches: SortedTable<usize, u32>,
    read: Option<JoinHandle<Option<VersionManifest>>>,
    read_at: Option<MonoTime>,
}

impl ManifestDoubt {
    /// Records that the bytes of `chunk` from some source did not match the manifest.
    pub fn record(&mut self, version: &LoadedModel, chunk: usize, origin: Option<SocketAddr>) {
        let count = self.mismatches.get_or_insert_with(chunk, || 0);
        *count += 1;
        let is_doubted = *count >= MISMATCHES_BEFORE_DOUBT;
        let now = clock::now();
        let is_early = self.read_at.is_some_and(|at| now.since(at) < REREAD_INTERVAL);
        let Some(origin) = origin.filter(|_| is_doubted && !is_early && self.read.is_none()) else {
            return;
        };
        warn!("event=manifest_doubted version={} piece={chunk}", version.version);
        self.read_at = Some(now);
        let version = version.clone();
        self.read = Some(actix_rt::spawn(async move {
            OriginClient::new(origin).manifest(&version).await.ok()
        }));
    }

    /// Waits for the manifest that was read again; `None` if it could not be read. Cancel-safe.
    pub async fn reread(&mut self) -> Option<VersionManifest> {
        let Some(read) = &mut self.read else {
            return std::future::pending().await;
        };
        let manifest = read.await;
        self.read = None;
        manifest.ok().flatten()
    }
}

impl Drop for ManifestDoubt {
    fn drop(&mut self) {
        if let Some(read) = &self.read {
            read.abort();
        }
    }
}
