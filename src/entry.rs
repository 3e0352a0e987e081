//! The entry: accepts callers' requests and forwards them to agents.

pub mod answer_channel;
pub mod caller;
pub mod late_cancels;
pub mod links;
pub mod observer;
pub mod prompt;
pub mod requests;
pub mod submission;
pub mod traffic;

use crate::admin::{self, ProcessStatus, json_response, text_response};
use crate::follow::ControlState;
use crate::link::LinkIdentity;
use crate::metrics::EntryMetrics;
use crate::process;
use crate::settings::{EntrySettings, ProcessSettings};
use crate::shared::ConfigReceiver;
use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use anyhow::{Context, Result};
use buckthornwharf_core::membership::HostRole;
use buckthornwharf_core::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use traffic::{BurnQuery, TrafficParts};

/// Runs an entry until the process receives a shutdown signal and every request has ended.
///
/// # Errors
///
/// Fails if the settings have no `entry` section, if an address cannot be bound, or if a thread
/// ends unexpectedly.
pub fn run(settings: ProcessSettings) -> Result<()> {
    let entry = settings.entry.clone().context("the settings have no `entry` section")?;
    process::run_control(control(settings, entry))
}

async fn control(settings: ProcessSettings, entry: EntrySettings) -> Result<()> {
    let http = process::bind(entry.http)?;
    let admin = process::bind(entry.admin)?;
    let leaving = process::shutdown_signal()?;
    println!("ready entry http={} admin={}", http.local_addr()?, admin.local_addr()?);
    let metrics = EntryMetrics::new()?;
    let state = ControlState::start(&settings);
    let (burn_queries, burn_query_receiver) = mpsc::unbounded_channel();
    let parts = TrafficParts {
        identity: LinkIdentity::of(&settings),
        listener: http,
        max_links: entry.max_links,
        default_deadline: Duration::from_millis(entry.deadline_ms),
        config: state.config.clone(),
        hosts: state.hosts,
        membership_events: state.membership_events,
        config_frames: state.config_frames,
        leaving: leaving.clone(),
        metrics: metrics.clone(),
        burn_queries: burn_query_receiver,
    };
    let traffic = process::start_traffic(move || traffic::run_traffic(parts));
    let config = state.config;
    let status = StatusSource { settings, config, leaving, metrics, burn_queries };
    admin::start_admin(admin, move |request| status.clone().answer(request))?;
    process::join_traffic(traffic).await
}

/// Serves the administrative endpoint of an entry.
#[derive(Clone)]
struct StatusSource {
    settings: ProcessSettings,
    config: ConfigReceiver,
    leaving: watch::Receiver<bool>,
    metrics: EntryMetrics,
    burn_queries: mpsc::UnboundedSender<BurnQuery>,
}

impl StatusSource {
    async fn answer(self, request: Request) -> Response<BoxBody> {
        match request.path() {
            "/status" => json_response(&self.status()),
            "/metrics" => text_response(StatusCode::OK, self.metrics.process.render()),
            "/burn" => self.burn().await,
            _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    async fn burn(&self) -> Response<BoxBody> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.burn_queries.send(sender);
        match receiver.await {
            Ok(counts) => json_response(&counts),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        }
    }

    fn status(&self) -> ProcessStatus {
        ProcessStatus {
            host: self.settings.host.clone(),
            site: self.settings.site.clone(),
            role: HostRole::Entry,
            generation: self.config.borrow().as_ref().map(|active| active.generation),
            serving: None,
            phase: admin::phase_of(&self.leaving),
        }
    }
}
