//! Client and server for the transfer of weights between agents: which chunks of a version an agent
//! holds, the manifest, and the chunks themselves.

use super::stage::StagedVersion;
use super::state::AgentState;
use crate::clock;
use crate::direct::inbound_guard::InboundGuard;
use crate::direct::service::{ServiceAnswer, UploadPacer, start_service};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use anyhow::Result;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{
    ChunkSet, FetchFailure, UploadClass, UploadSlots, UploadTicket, VersionManifest,
};
use buckthornwharf_exchange::{CallAnswer, CallClient, CallError, InboundRequest, OutboundCall};
use bytes::Bytes;
use log::warn;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of the link's bandwidth that uploads may use; the engine's answers use the same link.
const UPLOAD_LINK_SHARE: f64 = 0.85;
/// Response header of a chunk: all chunks of the version that the sender holds, as JSON.
const HELD_HEADER: HeaderName = HeaderName::from_static("x-held");
/// Query that marks a request from a host of another region.
const CROSS_REGION_QUERY: &str = "?crossing";
/// Timeout of a request for the list of held chunks.
const HELD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of a request for a manifest; short, since other sources have it as well.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for a chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of an answer with held chunks or a manifest, in bytes.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// The chunks of a version that an agent holds.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldChunks {
    /// Number of chunks of the version.
    #[serde(rename = "pieces")]
    pub chunk_count: usize,
    /// Bit set of the chunks that are held, as returned by [`ChunkSet::to_bytes`].
    #[serde_as(as = "Hex")]
    pub held: Vec<u8>,
}

impl HeldChunks {
    fn of(held: &ChunkSet) -> Self {
        Self { chunk_count: held.len(), held: held.to_bytes() }
    }

    /// Returns the chunks that are held; none if their number does not fit the bit set.
    pub fn chunks(&self) -> ChunkSet {
        match self.chunk_count.div_ceil(8) == self.held.len() {
            true => ChunkSet::from_bytes(&self.held, self.chunk_count),
            false => ChunkSet::default(),
        }
    }

    /// Returns whether all chunks are held.
    pub fn is_whole(&self) -> bool {
        let chunks = self.chunks();
        !chunks.is_empty() && chunks.is_full()
    }
}

/// A chunk, and which chunks its sender holds.
#[derive(Debug, Clone)]
pub struct ChunkAnswer {
    /// Bytes of the chunk, not verified.
    pub bytes: Bytes,
    /// Chunks that the sender holds; `None` if the header is missing or unreadable.
    pub held: Option<HeldChunks>,
}

/// HTTP client for other agents, with one client for each address.
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    clients: Rc<RefCell<SortedTable<SocketAddr, CallClient>>>,
}

impl PeerClient {
    /// Asks the agent at `address` which chunks of `version` it holds.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    pub async fn held(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
    ) -> Result<HeldChunks, FetchFailure> {
        let path = format!("/weights/{}/{}/held", version.model, version.version);
        let answer = self.get(address, path, HELD_TIMEOUT, MAX_HELD_BYTES).await?;
        parse(address, &answer.body)
    }

    /// Fetches the manifest of `version` from the agent at `address`.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    pub async fn manifest(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
    ) -> Result<VersionManifest, FetchFailure> {
        let path = format!("/weights/{}/{}/manifest", version.model, version.version);
        let answer = self.get(address, path, MANIFEST_TIMEOUT, MAX_HELD_BYTES).await?;
        parse(address, &answer.body)
    }

    /// Fetches a chunk of at most `max_bytes` bytes from the agent at `address`.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    pub async fn chunk(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
        chunk: usize,
        max_bytes: usize,
        class: UploadClass,
    ) -> Result<ChunkAnswer, FetchFailure> {
        let query = if class == UploadClass::CrossRegion { CROSS_REGION_QUERY } else { "" };
        let path = format!("/weights/{}/{}/{chunk}{query}", version.model, version.version);
        let answer = self.get(address, path, CHUNK_TIMEOUT, max_bytes).await?;
        let held = answer.headers.get(HELD_HEADER).map(|value| parse(address, value.as_bytes()));
        Ok(ChunkAnswer { bytes: answer.body, held: held.and_then(Result::ok) })
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: String,
        timeout: Duration,
        max_answer_bytes: usize,
    ) -> Result<CallAnswer, FetchFailure> {
        let new_client = || CallClient::new(address);
        let client = self.clients.borrow_mut().get_or_insert_with(address, new_client).clone();
        let call = OutboundCall::get(path, timeout, max_answer_bytes);
        let answer = client.call(call).await.map_err(|error| match error {
            CallError::Unreachable(_) | CallError::TimedOut => FetchFailure::Unreachable,
            _ => FetchFailure::Cut,
        })?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            StatusCode::SERVICE_UNAVAILABLE => Err(FetchFailure::Busy),
            StatusCode::NOT_FOUND => Err(FetchFailure::NotHere),
            _ => Err(FetchFailure::Unreachable),
        }
    }
}

fn parse<T: DeserializeOwned>(address: SocketAddr, text: &[u8]) -> Result<T, FetchFailure> {
    serde_json::from_slice(text).map_err(|error| {
        warn!("event=bad_peer_answer peer={address} reason=\"{error}\"");
        FetchFailure::Cut
    })
}

/// Serves other agents on `listener` for the rest of the process.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_peer_service(
    listener: std::net::TcpListener,
    guard: Rc<InboundGuard>,
    state: Rc<AgentState>,
) -> Result<()> {
    let rate = state.agent_settings.link_bytes_per_second() * UPLOAD_LINK_SHARE;
    let pacer = Rc::new(UploadPacer::new(rate));
    let service = Rc::new(PeerService { state, pacer, slots: Rc::default() });
    start_service(listener, guard, move |request| {
        let service = service.clone();
        async move { service.answer(&request).await }
    })
}

struct PeerService {
    state: Rc<AgentState>,
    pacer: Rc<UploadPacer>,
    slots: Rc<RefCell<UploadSlots>>,
}

/// An upload slot, released on drop.
struct UploadSlot {
    slots: Rc<RefCell<UploadSlots>>,
    ticket: UploadTicket,
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.slots.borrow_mut().end(self.ticket);
    }
}

impl PeerService {
    async fn answer(&self, request: &InboundRequest) -> ServiceAnswer {
        let mut parts = request.uri.path().trim_start_matches('/').split('/');
        if request.method != Method::GET || parts.next() != Some("weights") {
            return not_found();
        }
        let (Some(model), Some(Ok(number))) = (parts.next(), parts.next().map(str::parse)) else {
            return not_found();
        };
        let version = LoadedModel { model: ModelName::from(model), version: number };
        let Some(staged) = self.staged(&version).await else {
            return not_found();
        };
        match parts.next().unwrap_or_default() {
            "held" => ServiceAnswer::json(&HeldChunks::of(&staged.held)),
            "manifest" => match staged.manifest.as_deref() {
                Some(manifest) => ServiceAnswer::json(manifest),
                None => not_found(),
            },
            chunk => match chunk.parse() {
                Ok(chunk) => self.chunk(&staged, chunk, upload_class(request)).await,
                Err(_) => not_found(),
            },
        }
    }

    /// Returns the chunks of `version` that are held. If the engine had loaded the version before this
    /// agent started, its chunks are still in the engine's stage and are listed from there.
    async fn staged(&self, version: &LoadedModel) -> Option<StagedVersion> {
        if let Some(staged) = self.state.stage.staged(version) {
            return Some(staged);
        }
        if !self.state.is_loaded(version) {
            return None;
        }
        let spec = self.state.engine_spec()?;
        let chunks = self.state.engine.staged_chunks(&version.model).await;
        let chunks = match chunks {
            Ok(chunks) => chunks,
            Err(error) => {
                warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
                return None;
            }
        };
        let mut held = ChunkSet::new(spec.chunks as usize);
        for chunk in chunks {
            held.insert(chunk);
        }
        let staged = StagedVersion { version: version.clone(), manifest: None, held };
        self.state.stage.set_staged(staged.clone());
        Some(staged)
    }

    async fn chunk(
        &self,
        staged: &StagedVersion,
        chunk: usize,
        class: UploadClass,
    ) -> ServiceAnswer {
        if !staged.held.contains(chunk) {
            return not_found();
        }
        let Some(slot) = self.take_slot(class) else {
            return ServiceAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "busy");
        };
        let max_bytes = self.state.engine_spec().map_or(0, |spec| spec.chunk_bytes as usize);
        if let Some(bytes) = self.state.stage.parked_chunk(&staged.version, chunk) {
            return self.chunk_response(staged, bytes, slot);
        }
        let model = &staged.version.model;
        let read = self.state.engine.staged_chunk(model, chunk, max_bytes).await;
        match read {
            Ok(Some(bytes)) if is_corrupt(staged, chunk, &bytes) => {
                // The chunk is fetched again once the stage is verified before the load.
                warn!("event=stage_spoilt version={} piece={chunk}", staged.version.version);
                self.state.stage.remove_staged(&staged.version, chunk);
                not_found()
            }
            Ok(Some(bytes)) => self.chunk_response(staged, bytes, slot),
            Ok(None) => not_found(),
            Err(error) => {
                warn!("event=stage_unread piece={chunk} reason=\"{error}\"");
                not_found()
            }
        }
    }

    fn take_slot(&self, class: UploadClass) -> Option<UploadSlot> {
        let ticket = self.slots.borrow_mut().start(clock::now(), class)?;
        Some(UploadSlot { slots: self.slots.clone(), ticket })
    }

    fn chunk_response(
        &self,
        requested: &StagedVersion,
        bytes: Bytes,
        slot: UploadSlot,
    ) -> ServiceAnswer {
        let mut response = ServiceAnswer::new(StatusCode::OK, bytes);
        response.pacer = Some(self.pacer.clone());
        response.until_sent = Some(Box::new(slot));
        let held =
            self.state.stage.staged(&requested.version).map(|staged| HeldChunks::of(&staged.held));
        let text = held.and_then(|held| serde_json::to_string(&held).ok());
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers.insert(HELD_HEADER, value);
        }
        response
    }
}

/// Whether `bytes`, read from the stage, are known not to be those of `chunk`.
fn is_corrupt(staged: &StagedVersion, chunk: usize, bytes: &Bytes) -> bool {
    let manifest = staged.manifest.as_ref();
    manifest.is_some_and(|manifest| !manifest.chunk_matches(chunk, bytes))
}

fn upload_class(request: &InboundRequest) -> UploadClass {
    match request.uri.query() {
        Some(_) => UploadClass::CrossRegion,
        None => UploadClass::IntraRegion,
    }
}

fn not_found() -> ServiceAnswer {
    ServiceAnswer::new(StatusCode::NOT_FOUND, "not here")
}
