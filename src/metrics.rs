//! The metrics of a process, in the Prometheus text format.

use anyhow::Result;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0];
/// Buckets of the time between tokens, in seconds.
const BETWEEN_TOKENS_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Buckets of the time until a version is live, in seconds.
const TIME_TO_LIVE_BUCKETS: &[f64] = &[1.0, 5.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0];

/// Metrics that every process has.
#[derive(Debug, Clone)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Generation of the configuration in force; 0 before the first.
    pub config_generation: IntGauge,
    /// Links that are open.
    pub links_open: IntGauge,
}

impl ProcessMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("buckthornwharf".to_owned()), None)?;
        let config_generation =
            gauge(&registry, "config_generation", "Generation of the configuration in force")?;
        let links_open = gauge(&registry, "links_open", "Links that are open")?;
        Ok(Self { registry, config_generation, links_open })
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}

/// Metrics of an entry.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    /// Metrics that every process has.
    pub process: ProcessMetrics,
    /// Ended requests by service, class of the organisation and result code.
    pub requests: IntCounterVec,
    /// Requests that have not ended.
    pub in_flight: IntGauge,
    /// Attempts after the first one.
    pub retries: IntCounter,
    /// Seconds from the request's body to the first bytes of its answer, by service.
    pub first_token: HistogramVec,
    /// Seconds between parts of a streamed answer, by service.
    pub between_tokens: HistogramVec,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        let requests = counters(
            registry,
            "requests_total",
            "Ended requests by result code",
            &["service", "class", "code"],
        )?;
        let in_flight = gauge(registry, "requests_in_flight", "Requests that have not ended")?;
        let retries = counter(registry, "retries_total", "Attempts after the first one")?;
        let first_token = histograms(
            registry,
            "first_token_seconds",
            "Time from the request to the first bytes of its answer",
            FIRST_TOKEN_BUCKETS,
        )?;
        let between_tokens = histograms(
            registry,
            "between_tokens_seconds",
            "Time between parts of a streamed answer",
            BETWEEN_TOKENS_BUCKETS,
        )?;
        Ok(Self { process, requests, in_flight, retries, first_token, between_tokens })
    }
}

/// Metrics of the weights that an agent fetches, by source: `origin` or `peer`.
#[derive(Debug, Clone)]
pub struct WeightMetrics {
    /// Bytes that arrived whole.
    pub bytes: IntCounterVec,
    /// Chunks whose hash was wrong.
    pub refused: IntCounterVec,
}

/// Metrics of an agent.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    /// Metrics that every process has.
    pub process: ProcessMetrics,
    /// Requests that wait for the target.
    pub waiting: IntGauge,
    /// Requests in the target.
    pub running: IntGauge,
    /// Claims on idempotency keys by outcome.
    pub claims: IntCounterVec,
    /// The weights that were fetched.
    pub weights: WeightMetrics,
    /// Seconds from the wish for a version until it is live.
    pub time_to_live: Histogram,
    /// Crashes of the target while requests were in flight.
    pub target_crashes: IntCounter,
}

impl AgentMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        let waiting = gauge(registry, "requests_waiting", "Requests that wait for the target")?;
        let running = gauge(registry, "requests_running", "Requests in the target")?;
        let claims =
            counters(registry, "claims_total", "Claims on idempotency keys", &["outcome"])?;
        let weights = WeightMetrics {
            bytes: counters(
                registry,
                "weight_bytes_total",
                "Bytes of weights that arrived",
                &["source"],
            )?,
            refused: counters(
                registry,
                "chunks_refused_total",
                "Chunks whose hash was wrong",
                &["source"],
            )?,
        };
        let time_to_live = Histogram::with_opts(
            HistogramOpts::new("time_to_live_seconds", "Time until a wanted version is live")
                .buckets(TIME_TO_LIVE_BUCKETS.to_vec()),
        )?;
        registry.register(Box::new(time_to_live.clone()))?;
        let target_crashes =
            counter(registry, "target_crashes_total", "Crashes of the target under requests")?;
        Ok(Self { process, waiting, running, claims, weights, time_to_live, target_crashes })
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histograms = HistogramVec::new(opts, &["service"])?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(histograms)
}
