//! Fetches the chunks of the wanted version.

use super::chunk_store::ChunkStore;
use crate::platform::store::StoreClient;
use anyhow::{Context, Result};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_core::weights::manifest::hash_chunk;
use futures_util::{StreamExt, TryStreamExt, stream};
use log::{info, warn};
use tokio::sync::watch;

const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const PARALLEL_FETCHES: usize = 4;

/// Fetches the wanted version and tells when all of its chunks are held and verified.
pub struct VersionFetcher {
    origin: StoreClient,
    store: ChunkStore,
    wanted: watch::Receiver<Option<VersionDigest>>,
    held: watch::Sender<Option<VersionDigest>>,
}

impl VersionFetcher {
    /// A fetcher that fills `store` with what `wanted` names and announces it on `held`.
    pub fn new(
        origin: StoreClient,
        store: ChunkStore,
        wanted: watch::Receiver<Option<VersionDigest>>,
        held: watch::Sender<Option<VersionDigest>>,
    ) -> Self {
        Self { origin, store, wanted, held }
    }

    /// Runs until the keeper is gone. A version that is no longer wanted is dropped at once.
    pub async fn run(mut self) {
        loop {
            let wanted = *self.wanted.borrow_and_update();
            self.held.send_replace(None);
            let changed = match wanted {
                Some(digest) => {
                    let mut receiver = self.wanted.clone();
                    tokio::select! {
                        changed = receiver.changed() => changed,
                        never = self.hold(digest) => never,
                    }
                }
                None => self.wanted.changed().await,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    async fn hold(&self, digest: VersionDigest) -> Result<(), watch::error::RecvError> {
        while let Err(error) = self.fetch(digest).await {
            warn!("version {digest}: {error:#}");
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        self.store.keep_only(&digest);
        self.held.send_replace(Some(digest));
        info!("version {digest} is held");
        std::future::pending().await
    }

    async fn fetch(&self, digest: VersionDigest) -> Result<()> {
        let manifest = self.manifest(digest).await?;
        stream::iter(0..manifest.chunks.len())
            .map(Ok)
            .try_for_each_concurrent(PARALLEL_FETCHES, |index| self.chunk(&manifest, index))
            .await
    }

    async fn manifest(&self, digest: VersionDigest) -> Result<Arc<VersionManifest>> {
        if let Some(manifest) = self.store.manifest(&digest) {
            return Ok(manifest);
        }
        let json = self.origin.manifest(&digest, CHUNK_TIMEOUT).await?;
        let manifest: VersionManifest =
            serde_json::from_slice(&json).context("the manifest is malformed")?;
        manifest.verify(&digest)?;
        let manifest = Arc::new(manifest);
        self.store.insert_manifest(digest, manifest.clone());
        Ok(manifest)
    }

    async fn chunk(&self, manifest: &VersionManifest, index: usize) -> Result<()> {
        let hash = manifest.chunks[index];
        if self.store.chunk(&hash).is_some() {
            return Ok(());
        }
        let length = usize::try_from(manifest.chunk_len(index))?;
        let bytes = self.origin.chunk(&hash, length, CHUNK_TIMEOUT).await?;
        anyhow::ensure!(hash_chunk(&bytes) == hash, "chunk {hash} arrived corrupt");
        self.store.insert_chunk(hash, bytes);
        Ok(())
    }
}
