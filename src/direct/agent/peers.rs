//! What agents ask each other for: which pieces of a version they have staged, and the pieces.

use super::state::{AgentState, StagedVersion};
use crate::admin::{json_response, start_admin, text_response, with_type};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use anyhow::Result;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, FetchFailure, VersionManifest};
use buckthornwharf_exchange::{CallAnswer, CallClient, CallError, OutboundCall};
use bytes::Bytes;
use log::warn;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Pieces that are sent at the same time.
const MAX_UPLOADS: u32 = 6;
/// Time for an answer about what is staged.
const HELD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes of an answer about what is staged.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// What an agent has staged of a version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldAnswer {
    /// The manifest, if the agent has it.
    pub manifest: Option<VersionManifest>,
    /// Number of pieces of the version.
    pub pieces: usize,
    /// Bits of the pieces that are staged, as [`ChunkSet::to_bytes`] gives them.
    pub held: Vec<u8>,
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
        let path = format!("/weights/{}/{}", version.model, version.version);
        let answer = self.get(address, path, HELD_TIMEOUT, MAX_HELD_BYTES).await?;
        serde_json::from_slice(&answer.body).map_err(|error| {
            warn!("event=bad_peer_answer peer={address} reason=\"{error}\"");
            FetchFailure::Cut
        })
    }

    /// The bytes of a piece from the agent at `address`; not verified.
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
    ) -> Result<Bytes, FetchFailure> {
        let path = format!("/weights/{}/{}/{piece}", version.model, version.version);
        Ok(self.get(address, path, PIECE_TIMEOUT, most_bytes).await?.body)
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
        let call = OutboundCall {
            method: Method::GET,
            target,
            body: Bytes::new(),
            content_type: "",
            deadline,
            max_answer_bytes,
        };
        let answer = client.call(call).await.map_err(|error| match error {
            CallError::Unreached(_) | CallError::TimedOut => FetchFailure::Unreachable,
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

/// Answers other agents on `listener` for the rest of the process.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_service(listener: std::net::TcpListener, state: Rc<AgentState>) -> Result<()> {
    let service = Rc::new(PeerService { state, uploads: Cell::new(0) });
    start_admin(listener, move |request: Request| {
        let service = service.clone();
        async move { service.answer(&request).await }
    })
}

struct PeerService {
    state: Rc<AgentState>,
    uploads: Cell<u32>,
}

impl PeerService {
    async fn answer(&self, request: &Request) -> Response<BoxBody> {
        let mut parts = request.path().trim_start_matches('/').split('/');
        if request.method() != Method::GET || parts.next() != Some("weights") {
            return not_here();
        }
        let (Some(model), Some(Ok(number))) = (parts.next(), parts.next().map(str::parse)) else {
            return not_here();
        };
        let version = LoadedModel { model: ModelName::from(model), version: number };
        let Some(staged) = self.staged(&version).await else {
            return not_here();
        };
        match parts.next().map(str::parse::<usize>) {
            None => json_response(&HeldAnswer {
                manifest: staged.manifest.as_deref().cloned(),
                pieces: staged.held.len(),
                held: staged.held.to_bytes(),
            }),
            Some(Ok(piece)) => self.piece(&staged, piece).await,
            Some(Err(_)) => not_here(),
        }
    }

    /// What is staged of `version`. An engine that had it loaded before the agent started has its
    /// pieces staged, too.
    async fn staged(&self, version: &LoadedModel) -> Option<StagedVersion> {
        if let Some(staged) = self.state.staged(version) {
            return Some(staged);
        }
        if !self.state.is_loaded(version) {
            return None;
        }
        let shape = self.state.engine_shape()?;
        let pieces = self.state.engine.staged_pieces(&version.model).await;
        let pieces = match pieces {
            Ok(pieces) => pieces,
            Err(error) => {
                warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
                return None;
            }
        };
        let mut held = ChunkSet::new(shape.chunks as usize);
        for piece in pieces {
            held.insert(piece);
        }
        let staged = StagedVersion { version: version.clone(), manifest: None, held };
        self.state.set_staged(staged.clone());
        Some(staged)
    }

    async fn piece(&self, staged: &StagedVersion, piece: usize) -> Response<BoxBody> {
        if !staged.held.contains(piece) {
            return not_here();
        }
        if self.uploads.get() >= MAX_UPLOADS {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "too many uploads");
        }
        let most_bytes = self.state.engine_shape().map_or(0, |shape| shape.chunk_bytes as usize);
        self.uploads.set(self.uploads.get() + 1);
        let model = &staged.version.model;
        let read = self.state.engine.staged(model, piece, most_bytes).await;
        self.uploads.set(self.uploads.get() - 1);
        match read {
            Ok(Some(bytes)) => with_type(StatusCode::OK, "application/octet-stream", bytes),
            Ok(None) => not_here(),
            Err(error) => {
                warn!("event=stage_unread piece={piece} reason=\"{error}\"");
                not_here()
            }
        }
    }
}

fn not_here() -> Response<BoxBody> {
    text_response(StatusCode::NOT_FOUND, "not here")
}
