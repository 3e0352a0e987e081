//! Metrics of entries and agents of the direct path, in the Prometheus text format.

use super::inbound_guard::InboundGuard;
use super::service::{ServiceAnswer, start_service};
use super::settings::DirectSettings;
use crate::process;
use actix_http::StatusCode;
use anyhow::Result;
use buckthornwharf_exchange::InboundRequest;
use log::{info, warn};
use prometheus::{
    CounterVec, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// HTTP path of the metrics.
pub const PATH: &str = "/metrics";
/// Histogram buckets of the time to first byte, in seconds.
const FIRST_BYTE_BUCKETS: &[f64] = &[0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];
/// Histogram buckets of the time in the queue, in seconds.
const QUEUE_BUCKETS: &[f64] = &[0.001, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Labels of refusals and of the time in the queue.
const PLACEMENT_LABELS: &[&str] = &["reason", "region", "organisation", "priority"];

/// Metrics of an entry of the direct path.
#[derive(Debug, Clone)]
pub struct DirectEntryMetrics {
    registry: Registry,
    /// Completed requests by status and reason.
    pub requests: IntCounterVec,
    /// Answers of targets by their framing, and by whether they were complete or broke off.
    pub answers: IntCounterVec,
    /// Attempts that gave no answer to relay to the caller, by how they ended.
    pub failed_attempts: IntCounterVec,
    /// Callers that left before their answer was complete, by how far their request had got.
    pub callers_left: IntCounterVec,
    /// Targets that refused connections after a request's connection broke.
    pub target_crashes: IntCounter,
    /// Targets that said that they leave, and pauses and limits that targets asked for.
    pub target_notices: IntCounterVec,
    /// Causes of crashes whose requests are refused.
    pub refused_causes: IntGauge,
    /// Time from the request to the first bytes of its answer, in seconds.
    pub time_to_first_byte: Histogram,
    /// Time that a request waited for a slot, in seconds.
    pub queue_time: Histogram,
    /// Requests that were refused for want of a target, by the obstacle of the target that came closest, the
    /// allowed regions, the organisation and the priority.
    pub placement_refusals: IntCounterVec,
    /// Time that requests waited in the queue, in seconds, by the same labels.
    pub placement_queue_time: CounterVec,
    /// Requests that had a slot and were not sent, by the obstacle that had come up.
    pub not_sent: IntCounterVec,
    /// Times that targets became cold, by reason.
    pub cold_targets: IntCounterVec,
    /// Requests in progress, from reading the request to the end of its answer, and new connections that
    /// wait for their first one.
    pub open_requests: IntGauge,
    /// Requests that wait for a slot.
    pub waiting_requests: IntGauge,
    /// Generation of the active configuration; 0 before the first.
    pub generation: IntGauge,
    /// Registered targets.
    pub targets: IntGauge,
    /// Live entries, this one included.
    pub entries: IntGauge,
    /// Sites that the operator has evacuated, as far as the entry knows.
    pub evacuated_sites: IntGauge,
    /// Age of what the entry knows of evacuated sites, in milliseconds.
    pub evacuation_age: IntGauge,
    /// Requests of this entry that still run at targets in evacuated sites.
    pub evacuated_requests: IntGauge,
    /// Learned limit of each target, in requests.
    pub target_limit: GaugeVec,
    /// Times of each target without load, relative to the expected ones of its service.
    pub target_floor: GaugeVec,
    /// Requests of all entries at each target, as far as they are known.
    pub target_load: GaugeVec,
    /// Changed settings that were invalid.
    pub settings_rejected: IntCounter,
}

impl DirectEntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = new_registry()?;
        Ok(Self {
            requests: new_counters(
                &registry,
                "direct_requests_total",
                "Ended requests by status and reason",
                &["status", "reason"],
            )?,
            answers: new_counters(
                &registry,
                "direct_answers_total",
                "Answers of targets by their framing and end",
                &["framing", "end"],
            )?,
            failed_attempts: new_counters(
                &registry,
                "direct_failed_attempts_total",
                "Attempts without an answer to pass on, by how they ended",
                &["end"],
            )?,
            callers_left: new_counters(
                &registry,
                "direct_callers_left_total",
                "Callers that left before their answer was complete, by the stage of their request",
                &["stage"],
            )?,
            target_crashes: new_counter(
                &registry,
                "direct_target_crashes_total",
                "Targets that crashed while they had requests of this entry",
            )?,
            target_notices: new_counters(
                &registry,
                "direct_target_notices_total",
                "Notices of targets in their answers: that they leave, want a pause, or name a limit",
                &["notice"],
            )?,
            refused_causes: new_gauge(
                &registry,
                "direct_refused_causes",
                "Causes of crashes whose requests are refused",
            )?,
            time_to_first_byte: new_histogram(
                &registry,
                "direct_first_bytes_seconds",
                "Time from the request to the first bytes of its answer",
                FIRST_BYTE_BUCKETS,
            )?,
            queue_time: new_histogram(
                &registry,
                "direct_queue_seconds",
                "Time that a request waited for a place at a target",
                QUEUE_BUCKETS,
            )?,
            placement_refusals: new_counters(
                &registry,
                "direct_placement_refusals_total",
                "Requests refused for want of a target, by what kept the closest target from getting it",
                PLACEMENT_LABELS,
            )?,
            placement_queue_time: new_seconds(
                &registry,
                "direct_placement_queue_seconds_total",
                "Time that requests waited for a target, by what kept the closest target from getting it",
                PLACEMENT_LABELS,
            )?,
            not_sent: new_counters(
                &registry,
                "direct_not_sent_total",
                "Requests that had a place and were not sent, by what had come up",
                &["reason"],
            )?,
            cold_targets: new_counters(
                &registry,
                "direct_cold_targets_total",
                "Times that targets became cold, by reason",
                &["reason"],
            )?,
            open_requests: new_gauge(&registry, "direct_open_requests", "Requests in progress")?,
            waiting_requests: new_gauge(
                &registry,
                "direct_waiting_requests",
                "Requests that wait for a place",
            )?,
            generation: new_gauge(
                &registry,
                "direct_config_generation",
                "Configuration in force; 0 before the first",
            )?,
            targets: new_gauge(&registry, "direct_targets", "Targets that are registered")?,
            entries: new_gauge(&registry, "direct_entries", "Live entries")?,
            evacuated_sites: new_evacuated_sites(&registry)?,
            evacuation_age: new_gauge(
                &registry,
                "direct_evacuation_age_milliseconds",
                "Age of what is known of evacuated sites; 0 while the store is watched",
            )?,
            evacuated_requests: new_gauge(
                &registry,
                "direct_evacuated_requests",
                "Requests of this entry that still run at targets in evacuated sites",
            )?,
            target_limit: new_target_gauges(
                &registry,
                "direct_target_limit",
                "Learned number of requests that a target takes at a time",
            )?,
            target_floor: new_target_gauges(
                &registry,
                "direct_target_floor_ratio",
                "Times of a target without load, relative to the expected ones",
            )?,
            target_load: new_target_gauges(
                &registry,
                "direct_target_load",
                "Requests of all entries at a target",
            )?,
            settings_rejected: new_settings_rejected(&registry)?,
            registry,
        })
    }

    /// The registry that holds the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// Metrics of an agent of an engine.
#[derive(Debug, Clone)]
pub struct DirectAgentMetrics {
    registry: Registry,
    /// Chunk fetches by source and verdict: `asked` for each fetch, `corrupt` for a hash mismatch.
    pub chunk_fetches: IntCounterVec,
    /// Load orders to the engine by its answer.
    pub orders: IntCounterVec,
    /// Version that the engine has loaded; 0 for none.
    pub loaded_version: IntGauge,
    /// Newest declared version.
    pub declared_version: IntGauge,
    /// Requests that are running or waiting in the engine.
    pub engine_requests: IntGauge,
    /// Sites that the operator has evacuated, as far as the agent knows.
    pub evacuated_sites: IntGauge,
    /// Changed settings that were invalid.
    pub settings_rejected: IntCounter,
}

impl DirectAgentMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = new_registry()?;
        Ok(Self {
            chunk_fetches: new_counters(
                &registry,
                "direct_pieces_total",
                "Pieces of weights that were fetched, by source and verdict",
                &["source", "verdict"],
            )?,
            orders: new_counters(
                &registry,
                "direct_orders_total",
                "Orders to the engine by its answer",
                &["answer"],
            )?,
            loaded_version: new_gauge(
                &registry,
                "direct_loaded_version",
                "Version that the engine has loaded; 0 for none",
            )?,
            declared_version: new_gauge(
                &registry,
                "direct_declared_version",
                "Newest declared version",
            )?,
            engine_requests: new_gauge(
                &registry,
                "direct_engine_requests",
                "Requests that the engine runs or keeps",
            )?,
            evacuated_sites: new_evacuated_sites(&registry)?,
            settings_rejected: new_settings_rejected(&registry)?,
            registry,
        })
    }

    /// The registry that holds the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// Serves the metrics of `registry`, and what `other` answers, on the port in the settings for the rest of the
/// process. If the address cannot be bound, logs a warning and the process runs without.
pub fn serve(
    settings: &DirectSettings,
    guard: &Rc<InboundGuard>,
    registry: Registry,
    other: impl Fn(&InboundRequest) -> Option<ServiceAnswer> + Clone + 'static,
) {
    let Some(port) = settings.metrics_port else {
        return;
    };
    let address = SocketAddr::new(settings.peers.ip, port);
    let started = process::bind(address).and_then(|listener| {
        info!("event=metrics address={}", listener.local_addr()?);
        let gauges = guard.clone();
        start_service(listener, guard.clone(), move |request| {
            let answer = match request.uri.path() {
                PATH => {
                    gauges.update_gauges();
                    render(&registry)
                }
                _ => other(&request)
                    .unwrap_or_else(|| ServiceAnswer::new(StatusCode::NOT_FOUND, "not here")),
            };
            async move { answer }
        })
    });
    if let Err(error) = started {
        warn!("event=no_metrics address={address} reason=\"{error:#}\"");
    }
}

fn render(registry: &Registry) -> ServiceAnswer {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => ServiceAnswer::new(StatusCode::OK, text),
        Err(error) => {
            warn!("event=no_metrics reason=\"{error}\"");
            ServiceAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        }
    }
}

fn new_registry() -> Result<Registry> {
    Ok(Registry::new_custom(Some("buckthornwharf".to_owned()), None)?)
}

fn new_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn new_target_gauges(registry: &Registry, name: &str, help: &str) -> Result<GaugeVec> {
    let gauges = GaugeVec::new(Opts::new(name, help), &["target"])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn new_seconds(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<CounterVec> {
    let seconds = CounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(seconds.clone()))?;
    Ok(seconds)
}

fn new_counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn new_settings_rejected(registry: &Registry) -> Result<IntCounter> {
    let help = "Changes of the settings file that were invalid and are not in force";
    new_counter(registry, "direct_settings_rejected_total", help)
}

fn new_evacuated_sites(registry: &Registry) -> Result<IntGauge> {
    new_gauge(registry, "direct_evacuated_sites", "Sites that the operator has evacuated")
}

fn new_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn new_histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
