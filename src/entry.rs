//! The entry: takes callers' requests and passes them to agents.

pub mod caller;
pub mod links;
pub mod observer;
pub mod prompt;
pub mod requests;
pub mod traffic;

use crate::admin::{self, ProcessStatus, json_response, text_response};
use crate::follow::{ConfigFollower, FollowSettings, HostsFollower};
use crate::link::LinkIdentity;
use crate::metrics::EntryMetrics;
use crate::platform::hosts::HostsClient;
use crate::platform::kv::KvClient;
use crate::process;
use crate::settings::{EntrySettings, ProcessSettings};
use crate::shared::ConfigReceiver;
use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use anyhow::{Context, Result};
use buckthornwharf_core::membership::HostRole;
use buckthornwharf_core::prelude::*;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use traffic::TrafficParts;

/// Runs an entry until it is told to leave and every request has ended.
///
/// # Errors
///
/// Fails if an address cannot be used, or if a thread dies.
pub fn run(settings: ProcessSettings) -> Result<()> {
    let entry = settings.entry.clone().context("the settings have no `entry`")?;
    process::run_control(control(settings, entry))
}

async fn control(settings: ProcessSettings, entry: EntrySettings) -> Result<()> {
    let http = process::bind(entry.http)?;
    let admin = process::bind(entry.admin)?;
    let leaving = process::leave_signal()?;
    println!("ready entry http={} admin={}", http.local_addr()?, admin.local_addr()?);
    let metrics = EntryMetrics::new()?;
    let (frame_sender, frame_receiver) = mpsc::unbounded_channel();
    let hosts = HostsFollower::start(HostsClient::new(settings.platform.hosts));
    let follow = FollowSettings {
        host: settings.host.clone(),
        site: settings.site.clone(),
        kv: KvClient::new(settings.platform.kv),
    };
    let config = ConfigFollower::start(follow, hosts.clone(), frame_receiver);
    let parts = TrafficParts {
        identity: LinkIdentity {
            host: settings.host.clone(),
            site: settings.site.clone(),
            incarnation: HostIncarnation(rand::rng().random()),
            key: settings.link_secret.key(),
        },
        listener: http,
        max_links: entry.max_links,
        default_deadline: Duration::from_millis(entry.deadline_ms),
        config: config.clone(),
        hosts,
        config_frames: frame_sender,
        leaving: leaving.clone(),
        metrics: metrics.clone(),
    };
    let traffic = process::start_traffic(move || traffic::run_traffic(parts));
    let status = StatusSource { settings, config, leaving, metrics };
    admin::start_admin(admin, move |request| {
        let answer = status.answer(&request);
        async move { answer }
    })?;
    process::join_traffic(traffic).await
}

/// Answers the administrative endpoint of an entry.
#[derive(Clone)]
struct StatusSource {
    settings: ProcessSettings,
    config: ConfigReceiver,
    leaving: watch::Receiver<bool>,
    metrics: EntryMetrics,
}

impl StatusSource {
    fn answer(&self, request: &Request) -> Response<BoxBody> {
        match request.path() {
            "/status" => json_response(&self.status()),
            "/metrics" => text_response(StatusCode::OK, self.metrics.process.render()),
            _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
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
