//! Measures the latency that the entry and the agent add to a non-streamed request, compared with a
//! direct call to the same engine: `cargo build --release --workspace && cargo bench --bench path`.
//!
//! The two paths are measured alternately in one run, so that other load on the machine slows both.
//! Prints `name value target` lines.

use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::{CHAT_PATH, ENGINE_SERVICE, SampleFleet};
use hdrhistogram::Histogram;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const ROUNDS: usize = 2_000;
const WARM_UP_ROUNDS: usize = 200;
const LIVE_TIMEOUT: Duration = Duration::from_secs(60);
const MODEL_BYTES: usize = 256 * 1024;
const CHUNK_BYTES: u64 = 64 * 1024;
/// Target for the increase of the median latency, in microseconds.
const MAX_ADDED_MICROS: u64 = 1_000;

fn main() -> Result<()> {
    actix_rt::System::new().block_on(measure())
}

async fn measure() -> Result<()> {
    let product_binary = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
    let mut fleet = SampleFleet::start(product_binary, 1, &["--token-gap-ms", "0"]).await?;
    let digest = fleet.publish_and_apply(vec![7; MODEL_BYTES], CHUNK_BYTES).await?;
    fleet.wait_live(digest, LIVE_TIMEOUT).await?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        let direct_micros = measure_direct_micros(&fleet, round).await?;
        let through_micros = measure_through_micros(&fleet, round).await?;
        if round >= WARM_UP_ROUNDS {
            direct.record(direct_micros)?;
            through.record(through_micros)?;
        }
    }
    print_results(&direct, &through);
    fleet.stop().await
}

async fn measure_direct_micros(fleet: &SampleFleet, round: usize) -> Result<u64> {
    let engine = fleet.engines[0].address;
    let body = json!({
        "model": ENGINE_SERVICE,
        "messages": [{ "role": "user", "content": format!("direct {round}") }],
        "max_tokens": 1,
        "stream": false,
    });
    let started_at = Instant::now();
    let headers = [("Content-Type", "application/json")];
    let client = &fleet.system.client;
    client.send(Method::POST, engine, CHAT_PATH, &headers, body.to_string()).await?.ok()?;
    Ok(micros_since(started_at))
}

async fn measure_through_micros(fleet: &SampleFleet, round: usize) -> Result<u64> {
    let entry = fleet.entries[0].http;
    let started_at = Instant::now();
    fleet.chat(entry, &format!("through {round}"), 1, false).await?.ok()?;
    Ok(micros_since(started_at))
}

fn micros_since(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn print_results(direct: &Histogram<u64>, through: &Histogram<u64>) {
    for quantile in [0.5, 0.95, 0.99] {
        let direct = direct.value_at_quantile(quantile);
        let through = through.value_at_quantile(quantile);
        let percent = quantile * 100.0;
        println!("direct_p{percent}_us {direct} -");
        println!("through_p{percent}_us {through} -");
    }
    let direct = direct.value_at_quantile(0.5);
    let through = through.value_at_quantile(0.5);
    println!("added_p50_us {} <{MAX_ADDED_MICROS}", through.saturating_sub(direct));
    println!("ratio_p50 {:.2} -", through as f64 / direct as f64);
}
