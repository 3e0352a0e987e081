//! Metrics of a process, exported in the Prometheus text format.

use anyhow::Result;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets of the time to first token, in seconds.
const FIRST_TOKEN_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0];
/// Histogram buckets of the time between tokens, in seconds.
const BETWEEN_TOKENS_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Histogram buckets of the time until a version is live, in seconds.
const TIME_TO_LIVE_BUCKETS: &[f64] = &[1.0, 5.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0];

/// Metrics that every process has.
#[derive(Debug, Clone)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Active configuration generation; 0 before the first.
    pub config_generation: IntGauge,
    /// Open links.
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
        let config_generation = register_gauge(
            &registry,
            "config_generation",
            "Generation of the configuration in force",
        )?;
        let links_open = register_gauge(&registry, "links_open", "Links that are open")?;
        Ok(Self { registry, config_generation, links_open })
    }

    /// Renders all metrics in the text format.
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
    /// Ended requests, by service, class of the organisation and result code.
    pub requests: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Retries: attempts after the first one of a request.
    pub retries: IntCounter,
    /// Seconds from the end of the request body to the first bytes of the response, by service.
    pub first_token: HistogramVec,
    /// Seconds between parts of a streamed response, by service.
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
        let requests = register_counter_vec(
            registry,
            "requests_total",
            "Ended requests by result code",
            &["service", "class", "code"],
        )?;
        let in_flight =
            register_gauge(registry, "requests_in_flight", "Requests that have not ended")?;
        let retries = register_counter(registry, "retries_total", "Attempts after the first one")?;
        let first_token = register_histogram_vec(
            registry,
            "first_token_seconds",
            "Time from the request to the first bytes of its answer",
            FIRST_TOKEN_BUCKETS,
        )?;
        let between_tokens = register_histogram_vec(
            registry,
            "between_tokens_seconds",
            "Time between parts of a streamed answer",
            BETWEEN_TOKENS_BUCKETS,
        )?;
        Ok(Self { process, requests, in_flight, retries, first_token, between_tokens })
    }
}

/// Metrics of the weights that an agent fetches, by source (`origin` or `peer`).
#[derive(Debug, Clone)]
pub struct WeightMetrics {
    /// Bytes of chunks that arrived completely.
    pub bytes: IntCounterVec,
    /// Chunks rejected because of a wrong hash.
    pub refused: IntCounterVec,
}

/// Metrics of an agent.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    /// Metrics that every process has.
    pub process: ProcessMetrics,
    /// Requests queued for the target.
    pub waiting: IntGauge,
    /// Requests that the target is processing.
    pub running: IntGauge,
    /// Claims on idempotency keys, by outcome.
    pub claims: IntCounterVec,
    /// Metrics of the weights fetched by the agent.
    pub weights: WeightMetrics,
    /// Seconds from the time a version is wanted until it is live.
    pub time_to_live: Histogram,
    /// Crashes of the target with requests in flight.
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
        let waiting =
            register_gauge(registry, "requests_waiting", "Requests that wait for the target")?;
        let running = register_gauge(registry, "requests_running", "Requests in the target")?;
        let claims = register_counter_vec(
            registry,
            "claims_total",
            "Claims on idempotency keys",
            &["outcome"],
        )?;
        let weights = WeightMetrics {
            bytes: register_counter_vec(
                registry,
                "weight_bytes_total",
                "Bytes of weights that arrived",
                &["source"],
            )?,
            refused: register_counter_vec(
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
        let target_crashes = register_counter(
            registry,
            "target_crashes_total",
            "Crashes of the target under requests",
        )?;
        Ok(Self { process, waiting, running, claims, weights, time_to_live, target_crashes })
    }
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn register_counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_histogram_vec(
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
