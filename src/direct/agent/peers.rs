//! What agents ask each other for: which pieces of a version they have staged, and the pieces.

use super::stage::StagedVersion;
use super::state::AgentState;
use crate::clock;
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

/// Part of the link that pieces may take: the engine's answers leave by the same link.
const UPLOAD_PART: f64 = 0.85;
/// Header of a piece with what its sender has staged besides.
const HELD_HEADER: HeaderName = HeaderName::from_static("x-held");
/// Marks a request of a host of another region.
const CROSSING_QUERY: &str = "?crossing";
/// Time for an answer about what is staged.
const HELD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for a manifest: another source has it as well.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes of an answer about what is staged.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// What an agent has staged of a version.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldAnswer {
    /// Number of pieces of the version.
    pub pieces: usize,
    /// Bits of the pieces that are staged, as [`ChunkSet::to_bytes`] gives them.
    #[serde_as(as = "Hex")]
    pub held: Vec<u8>,
}

impl HeldAnswer {
    fn of(held: &ChunkSet) -> Self {
        Self { pieces: held.len(), held: held.to_bytes() }
    }

    /// The pieces that are staged.
    pub fn chunks(&self) -> ChunkSet {
        ChunkSet::from_bytes(&self.held, self.pieces)
    }

    /// Whether all pieces are staged.
    pub fn is_whole(&self) -> bool {
        self.pieces > 0 && self.chunks().is_full()
    }
}

/// A piece, with what its sender has staged besides.
#[derive(Debug, Clone)]
pub struct PieceAnswer {
    /// The bytes of the piece; not verified.
    pub bytes: Bytes,
    /// What the sender has staged, if it said so.
    pub held: Option<HeldAnswer>,
}

/// Asks other agents.
#[derive(Debug, Clone, Default)]
pub struct PeerCalls {
    clients: Rc<RefCell<SortedTable<SocketAddr, CallClient>>>,
}

impl PeerCalls {
    /// What the agent at `address` has staged of `version`.
    ///
    /// # Errors
    ///
    /// Why the agent told nothing.
    pub async fn held(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
    ) -> Result<HeldAnswer, FetchFailure> {
        let path = format!("/weights/{}/{}/held", version.model, version.version);
        let answer = self.get(address, path, HELD_TIMEOUT, MAX_HELD_BYTES).await?;
        parse(address, &answer.body)
    }

    /// The manifest of `version` from the agent at `address`.
    ///
    /// # Errors
    ///
    /// Why the agent sent nothing.
    pub async fn manifest(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
    ) -> Result<VersionManifest, FetchFailure> {
        let path = format!("/weights/{}/{}/manifest", version.model, version.version);
        let answer = self.get(address, path, MANIFEST_TIMEOUT, MAX_HELD_BYTES).await?;
        parse(address, &answer.body)
    }

    /// A piece from the agent at `address`.
    ///
    /// # Errors
    ///
    /// Why the agent sent nothing.
    pub async fn piece(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
        piece: usize,
        most_bytes: usize,
        class: UploadClass,
    ) -> Result<PieceAnswer, FetchFailure> {
        let query = if class == UploadClass::CrossRegion { CROSSING_QUERY } else { "" };
        let path = format!("/weights/{}/{}/{piece}{query}", version.model, version.version);
        let answer = self.get(address, path, PIECE_TIMEOUT, most_bytes).await?;
        let held = answer.headers.get(HELD_HEADER).map(|value| parse(address, value.as_bytes()));
        Ok(PieceAnswer { bytes: answer.body, held: held.and_then(Result::ok) })
    }

    async fn get(
        &self,
        address: SocketAddr,
        target: String,
        deadline: Duration,
        max_answer_bytes: usize,
    ) -> Result<CallAnswer, FetchFailure> {
        let make = || CallClient::new(address);
        let client = self.clients.borrow_mut().get_or_insert_with(address, make).clone();
        let call = OutboundCall::get(target, deadline, max_answer_bytes);
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

/// Answers other agents on `listener` for the rest of the process.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_peer_service(listener: std::net::TcpListener, state: Rc<AgentState>) -> Result<()> {
    let rate = state.own.link_bytes_per_second() * UPLOAD_PART;
    let pacer = Rc::new(UploadPacer::new(rate));
    let service = Rc::new(PeerService { state, pacer, slots: Rc::default() });
    start_service(listener, move |call| {
        let service = service.clone();
        async move { service.answer(&call).await }
    })
}

struct PeerService {
    state: Rc<AgentState>,
    pacer: Rc<UploadPacer>,
    slots: Rc<RefCell<UploadSlots>>,
}

/// An upload slot; released when dropped.
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
    async fn answer(&self, call: &InboundRequest) -> ServiceAnswer {
        let mut parts = call.uri.path().trim_start_matches('/').split('/');
        if call.method != Method::GET || parts.next() != Some("weights") {
            return not_here();
        }
        let (Some(model), Some(Ok(number))) = (parts.next(), parts.next().map(str::parse)) else {
            return not_here();
        };
        let version = LoadedModel { model: ModelName::from(model), version: number };
        let Some(staged) = self.staged(&version).await else {
            return not_here();
        };
        match parts.next().unwrap_or_default() {
            "held" => ServiceAnswer::json(&HeldAnswer::of(&staged.held)),
            "manifest" => match staged.manifest.as_deref() {
                Some(manifest) => ServiceAnswer::json(manifest),
                None => not_here(),
            },
            piece => match piece.parse() {
                Ok(piece) => self.piece(&staged, piece, class_of(call)).await,
                Err(_) => not_here(),
            },
        }
    }

    /// What is staged of `version`. An engine that had it loaded before the agent started has its
    /// pieces staged, too.
    async fn staged(&self, version: &LoadedModel) -> Option<StagedVersion> {
        if let Some(staged) = self.state.stage.staged(version) {
            return Some(staged);
        }
        if !self.state.is_loaded(version) {
            return None;
        }
        let spec = self.state.engine_spec()?;
        let pieces = self.state.engine.staged_chunks(&version.model).await;
        let pieces = match pieces {
            Ok(pieces) => pieces,
            Err(error) => {
                warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
                return None;
            }
        };
        let mut held = ChunkSet::new(spec.chunks as usize);
        for piece in pieces {
            held.insert(piece);
        }
        let staged = StagedVersion { version: version.clone(), manifest: None, held };
        self.state.stage.set_staged(staged.clone());
        Some(staged)
    }

    async fn piece(
        &self,
        staged: &StagedVersion,
        piece: usize,
        class: UploadClass,
    ) -> ServiceAnswer {
        if !staged.held.contains(piece) {
            return not_here();
        }
        let Some(slot) = self.take_slot(class) else {
            return ServiceAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "busy");
        };
        let most_bytes = self.state.engine_spec().map_or(0, |spec| spec.chunk_bytes as usize);
        if let Some(bytes) = self.state.stage.parked_piece(&staged.version, piece) {
            return self.piece_response(staged, bytes, slot);
        }
        let model = &staged.version.model;
        let read = self.state.engine.staged_chunk(model, piece, most_bytes).await;
        match read {
            Ok(Some(bytes)) => self.piece_response(staged, bytes, slot),
            Ok(None) => not_here(),
            Err(error) => {
                warn!("event=stage_unread piece={piece} reason=\"{error}\"");
                not_here()
            }
        }
    }

    fn take_slot(&self, class: UploadClass) -> Option<UploadSlot> {
        let ticket = self.slots.borrow_mut().start(clock::now(), class)?;
        Some(UploadSlot { slots: self.slots.clone(), ticket })
    }

    fn piece_response(
        &self,
        asked: &StagedVersion,
        bytes: Bytes,
        slot: UploadSlot,
    ) -> ServiceAnswer {
        let mut response = ServiceAnswer::new(StatusCode::OK, bytes);
        response.pacer = Some(self.pacer.clone());
        response.until_sent = Some(Box::new(slot));
        let held =
            self.state.stage.staged(&asked.version).map(|staged| HeldAnswer::of(&staged.held));
        let text = held.and_then(|held| serde_json::to_string(&held).ok());
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers.insert(HELD_HEADER, value);
        }
        response
    }
}

fn class_of(call: &InboundRequest) -> UploadClass {
    match call.uri.query() {
        Some(_) => UploadClass::CrossRegion,
        None => UploadClass::IntraRegion,
    }
}

fn not_here() -> ServiceAnswer {
    ServiceAnswer::new(StatusCode::NOT_FOUND, "not here")
}
