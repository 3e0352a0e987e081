//! The agent: the process that runs beside a target, queues and dispatches its requests, and orders
//! it to load and unload versions.

pub mod answer_check;
pub mod claims;
pub mod crash;
pub mod live_times;
pub mod requests;
pub mod target;
pub mod traffic;
pub mod weights;

use crate::admin::{self, ProcessStatus, json_response, response_with_type, text_response};
use crate::follow::ControlState;
use crate::link::LinkIdentity;
use crate::metrics::AgentMetrics;
use crate::process;
use crate::settings::{AgentSettings, ProcessSettings};
use crate::shared::{ConfigReceiver, GateControl, GateLoad};
use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use anyhow::{Context, Result};
use buckthornwharf_core::membership::HostRole;
use buckthornwharf_core::request::ledger::TargetGate;
use live_times::{LiveTimeParts, LiveTimeRecorder};
use tokio::sync::watch;
use traffic::TrafficParts;
use weights::{ChunkAnswer, WeightsHandles, WeightsParts};

/// Runs an agent until the process receives a shutdown signal and every request has ended.
///
/// # Errors
///
/// Fails if the settings have no `agent` section, if an address cannot be bound, or if a thread
/// ends unexpectedly.
pub fn run(settings: ProcessSettings) -> Result<()> {
    let agent = settings.agent.clone().context("the settings have no `agent` section")?;
    process::run_control(control(settings, agent))
}

async fn control(settings: ProcessSettings, agent: AgentSettings) -> Result<()> {
    let link = process::bind(agent.link)?;
    let admin = process::bind(agent.admin)?;
    let leaving = process::shutdown_signal()?;
    println!("ready agent link={} admin={}", link.local_addr()?, admin.local_addr()?);
    let metrics = AgentMetrics::new()?;
    let state = ControlState::start(&settings);
    let config = state.config;
    let (gate_sender, gate) = watch::channel(TargetGate::Closed);
    let (load_sender, load) = watch::channel(GateLoad::default());
    let gate_control = GateControl { gate: gate_sender, in_flight: load };
    let service = agent.service.clone();
    let parts = TrafficParts {
        identity: LinkIdentity::of(&settings),
        settings: agent,
        listener: link,
        config: config.clone(),
        hosts: state.hosts.clone(),
        kv: state.kv,
        config_frames: state.config_frames,
        gate,
        load: load_sender,
        leaving: leaving.clone(),
        metrics: metrics.clone(),
    };
    let traffic = process::start_traffic(move || traffic::run_traffic(parts));
    let weights_parts = WeightsParts {
        settings: settings.clone(),
        config: config.clone(),
        hosts: state.hosts,
        gate: gate_control,
        metrics: metrics.weights.clone(),
    };
    let handles = weights::start(weights_parts);
    let live_times = LiveTimeRecorder::start(LiveTimeParts {
        service,
        site: settings.site.clone(),
        config: config.clone(),
        serving: handles.serving.clone(),
        time_to_live: metrics.time_to_live.clone(),
    });
    let status = StatusSource { settings, config, leaving, metrics, handles, live_times };
    admin::start_admin(admin, move |request| status.clone().answer(request))?;
    process::join_traffic(traffic).await
}

/// Serves the administrative endpoint of an agent, from which other agents fetch chunks as well.
#[derive(Clone)]
struct StatusSource {
    settings: ProcessSettings,
    config: ConfigReceiver,
    leaving: watch::Receiver<bool>,
    metrics: AgentMetrics,
    handles: WeightsHandles,
    live_times: LiveTimeRecorder,
}

impl StatusSource {
    async fn answer(self, request: Request) -> Response<BoxBody> {
        match request.path() {
            "/status" => json_response(&self.status()),
            "/metrics" => text_response(StatusCode::OK, self.metrics.process.render()),
            "/burn" => json_response(&self.live_times.burn_counts()),
            path if path.starts_with("/weights/") => self.chunk(&request).await,
            _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    async fn chunk(&self, request: &Request) -> Response<BoxBody> {
        let proof = request.headers().get(weights::PROOF_HEADER);
        let proof = proof.and_then(|proof| proof.to_str().ok());
        match self.handles.chunks.answer_authenticated(request.path(), proof).await {
            ChunkAnswer::Manifest(json) => {
                response_with_type(StatusCode::OK, "application/json", json)
            }
            ChunkAnswer::Chunk(bytes) => {
                response_with_type(StatusCode::OK, "application/octet-stream", bytes)
            }
            ChunkAnswer::NotFound => text_response(StatusCode::NOT_FOUND, "not here\n"),
            ChunkAnswer::Busy => text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n"),
        }
    }

    fn status(&self) -> ProcessStatus {
        ProcessStatus {
            host: self.settings.host.clone(),
            site: self.settings.site.clone(),
            role: HostRole::Agent,
            generation: self.config.borrow().as_ref().map(|active| active.generation),
            serving: *self.handles.serving.borrow(),
            phase: admin::phase_of(&self.leaving),
        }
    }
}
