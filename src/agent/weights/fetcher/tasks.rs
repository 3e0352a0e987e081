//! The tasks that carry out the actions of a fetch machine.

use super::{FetcherParts, source_label};
use crate::agent::weights::body::PacedBody;
use crate::agent::weights::peer::PeerClient;
use crate::platform::store::{StoreClient, StoreFailure};
use actix_rt::task::JoinHandle;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::{ChunkFetch, FetchId};
use buckthornwharf_core::weights::lifecycle::FetchingVersion;
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, FetchEvent, FetchFailure, FetchLimits, VersionManifest,
};
use bytes::Bytes;
use prometheus::IntCounterVec;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// Timeout of the head of the origin's response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a chunk's body; a stalled fetch is cancelled earlier by the fetch machine.
const BODY_TIMEOUT: Duration = Duration::from_secs(3600);

/// The running tasks; dropping the table aborts them.
pub(super) struct TaskTable {
    digest: VersionDigest,
    manifest: Arc<VersionManifest>,
    hosts: Arc<Vec<HostRecord>>,
    limits: FetchLimits,
    origin: StoreClient,
    peers: PeerClient,
    events: UnboundedSender<FetchEvent>,
    bytes: IntCounterVec,
    fetches: SortedTable<FetchId, JoinHandle<()>>,
    poll: Option<JoinHandle<()>>,
}

impl TaskTable {
    pub fn new(
        parts: &FetcherParts,
        version: &FetchingVersion,
        limits: FetchLimits,
        events: UnboundedSender<FetchEvent>,
    ) -> Self {
        Self {
            digest: version.digest(),
            manifest: version.manifest().clone(),
            hosts: parts.hosts.borrow().clone(),
            limits,
            origin: parts.origin.clone(),
            peers: parts.peers.clone(),
            events,
            bytes: parts.metrics.bytes.clone(),
            fetches: SortedTable::new(),
            poll: None,
        }
    }

    pub fn set_hosts(&mut self, hosts: Arc<Vec<HostRecord>>) {
        self.hosts = hosts;
    }

    pub fn fetch(&mut self, fetch: ChunkFetch) {
        self.fetches.retain(|_, task| !task.is_finished());
        let id = fetch.id;
        let events = self.events.clone();
        let hash = self.manifest.chunks[fetch.chunk];
        let length = usize::try_from(self.manifest.chunk_len(fetch.chunk)).unwrap_or(usize::MAX);
        let rate = fetch.bytes_per_second.unwrap_or_else(|| self.default_rate(&fetch.source));
        let body = PacedBody { id, length, bytes_per_second: rate, events: events.clone() };
        let source = match &fetch.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(name) => match self.address_of(name) {
                Some(address) => Some(address),
                None => {
                    let _ = events.send(FetchEvent::Failed(id, FetchFailure::Unreachable));
                    return;
                }
            },
        };
        let counter = self.bytes.with_label_values(&[source_label(&fetch.source)]);
        let cross_region = fetch.bytes_per_second.is_some();
        let (origin, peers) = (self.origin.clone(), self.peers.clone());
        let task = actix_rt::spawn(async move {
            let fetched = match source {
                None => fetch_from_origin(&origin, &hash, body).await,
                Some(address) => peers.chunk(address, &hash, cross_region, body).await,
            };
            if let Ok(bytes) = &fetched {
                counter.inc_by(bytes.len() as u64);
            }
            let _ = events.send(fetch_event(id, fetched));
        });
        self.fetches.insert(id, task);
    }

    pub fn cancel(&mut self, id: FetchId) {
        if let Some(task) = self.fetches.remove(&id) {
            task.abort();
        }
    }

    pub fn poll(&mut self, peer: HostName) {
        let events = self.events.clone();
        let Some(address) = self.address_of(&peer) else {
            let _ = events.send(FetchEvent::PollFailed(peer));
            return;
        };
        let (peers, digest, count) = (self.peers.clone(), self.digest, self.manifest.chunks.len());
        let task = actix_rt::spawn(async move {
            let event = match peers.held(address, &digest).await {
                Ok(bytes) => FetchEvent::HeldBy(peer, ChunkSet::from_bytes(&bytes, count)),
                Err(FetchFailure::NotHere) => FetchEvent::HeldBy(peer, ChunkSet::new(count)),
                Err(_) => FetchEvent::PollFailed(peer),
            };
            let _ = events.send(event);
        });
        if let Some(previous) = self.poll.replace(task) {
            previous.abort();
        }
    }

    fn address_of(&self, name: &HostName) -> Option<SocketAddr> {
        self.hosts.iter().find(|host| host.name == *name).map(|host| host.admin)
    }

    fn default_rate(&self, source: &ChunkSource) -> u64 {
        let fetches = match source {
            ChunkSource::Origin => self.limits.max_origin_fetches,
            ChunkSource::Peer(_) => self.limits.max_peer_fetches,
        };
        self.limits.host_bytes_per_second.div_ceil(fetches.max(1) as u64)
    }
}

impl Drop for TaskTable {
    fn drop(&mut self) {
        self.fetches.values().for_each(JoinHandle::abort);
        if let Some(poll) = &self.poll {
            poll.abort();
        }
    }
}

async fn fetch_from_origin(
    origin: &StoreClient,
    hash: &ChunkHash,
    body: PacedBody,
) -> Result<Bytes, FetchFailure> {
    let answer = origin.open_chunk(hash, ANSWER_TIMEOUT).await;
    let response = answer.map_err(|failure| match failure {
        StoreFailure::Unreachable => FetchFailure::Unreachable,
        StoreFailure::NotFound => FetchFailure::NotHere,
        StoreFailure::Busy => FetchFailure::Busy,
    })?;
    body.read(response.timeout(BODY_TIMEOUT)).await
}

fn fetch_event(id: FetchId, fetched: Result<Bytes, FetchFailure>) -> FetchEvent {
    match fetched {
        Ok(bytes) => FetchEvent::Arrived(id, bytes),
        Err(failure) => FetchEvent::Failed(id, failure),
    }
}
