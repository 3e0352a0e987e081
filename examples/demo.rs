//! Demo of a small fleet: a model is distributed from the weight store to engines on two sites, and
//! both entries answer requests. Everything runs as separate processes on loopback.

use anyhow::{Context, Result, ensure};
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::engine::expected_answer;
use buckthornwharf_standin::fleet::{HttpReply, POLL_INTERVAL, SampleFleet};
use buckthornwharf_standin::store::StoreCounts;
use futures_util::future::try_join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::path::PathBuf;
use std::time::Instant;
use tokio::time::sleep;

const ENGINES: usize = 8;
const ENGINE_OPTIONS: [&str; 4] = ["--token-gap-ms", "5", "--load-ms", "300"];
const MODEL_BYTES: usize = 24 * 1024 * 1024;
const CHUNK_BYTES: u64 = 1024 * 1024;
const STORE_BYTES_PER_S: u64 = 64 * 1024 * 1024;
const MODEL_SEED: u64 = 1;
const CHAT_REQUESTS: usize = 48;
const PLAIN_REQUESTS: usize = 12;
const MAX_TOKENS: u32 = 32;
const LIVE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time since the start of the distribution at which this number of replicas was live.
struct LiveMilestone {
    replicas: usize,
    elapsed: Duration,
}

fn main() -> Result<()> {
    actix_rt::System::new().block_on(run_demo())
}

async fn run_demo() -> Result<()> {
    println!("starting the stand-ins, 2 entries and {} agents", ENGINES + 1);
    let mut fleet = SampleFleet::start(&product_path()?, ENGINES, &ENGINE_OPTIONS).await?;
    let rate_limit = json!({ "bytes_per_second": STORE_BYTES_PER_S });
    fleet.system.client.set_faults(fleet.system.store.address, &rate_limit).await?;
    println!("publishing a model and applying the configuration");
    let digest = fleet.publish_and_apply(model(), CHUNK_BYTES).await?;
    let milestones = watch_distribution(&fleet, digest).await?;
    fleet.wait_live(digest, LIVE_TIMEOUT).await?;
    println!("sending {CHAT_REQUESTS} chats and {PLAIN_REQUESTS} plain calls");
    let start = Instant::now();
    let chats = (0..CHAT_REQUESTS).map(|number| send_chat(&fleet, number, digest));
    let plain_requests = (0..PLAIN_REQUESTS).map(|number| send_plain_request(&fleet, number));
    let (chats, plain_requests) =
        futures_util::try_join!(try_join_all(chats), try_join_all(plain_requests))?;
    let duration = start.elapsed();
    print_distribution(&fleet, digest, &milestones).await?;
    println!(
        "requests   {} answered in {} ms",
        CHAT_REQUESTS + PLAIN_REQUESTS,
        duration.as_millis()
    );
    print_result_codes(chats.into_iter().chain(plain_requests));
    fleet.stop().await?;
    println!("all processes stopped with exit code 0");
    Ok(())
}

/// Path of the product's program; cargo builds it into the parent of the folder of the examples.
fn product_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    let product = folder
        .context("the path of this example has no parent folder of programs")?
        .join("buckthornwharf");
    ensure!(product.exists(), "{} is missing; run cargo build --workspace", product.display());
    Ok(product)
}

fn model() -> Vec<u8> {
    let mut content = vec![0; MODEL_BYTES];
    SmallRng::seed_from_u64(MODEL_SEED).fill_bytes(&mut content);
    content
}

/// Records each increase of the number of live replicas until all are live.
async fn watch_distribution(
    fleet: &SampleFleet,
    digest: VersionDigest,
) -> Result<Vec<LiveMilestone>> {
    let start = Instant::now();
    let mut milestones: Vec<LiveMilestone> = Vec::new();
    while milestones.last().is_none_or(|milestone| milestone.replicas < ENGINES) {
        ensure!(
            start.elapsed() < LIVE_TIMEOUT,
            "not all {ENGINES} engines are live after {LIVE_TIMEOUT:?}"
        );
        let replicas = fleet.live_replicas(digest).await;
        if replicas > milestones.last().map_or(0, |milestone| milestone.replicas) {
            milestones.push(LiveMilestone { replicas, elapsed: start.elapsed() });
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(milestones)
}

async fn send_chat(fleet: &SampleFleet, number: usize, digest: VersionDigest) -> Result<String> {
    let entry = &fleet.entries[number % fleet.entries.len()];
    let (prompt, stream) = (format!("draft a grant letter, {number}"), number % 4 < 2);
    let reply = fleet.chat(entry.http, &prompt, MAX_TOKENS, stream).await?;
    let code = result_code(&reply)?;
    ensure!(reply.status == 200, "a chat request failed with {code}: {}", reply.text());
    let answered_by = reply.header("x-model-digest").unwrap_or_default();
    ensure!(
        answered_by == digest.to_string(),
        "a chat request was answered by version {answered_by}, expected {digest}"
    );
    let content = chat_content(&reply, stream)?;
    ensure!(
        content == expected_answer(&prompt, MAX_TOKENS),
        "unexpected answer to {prompt:?}: {content}"
    );
    Ok(code)
}

fn chat_content(reply: &HttpReply, stream: bool) -> Result<String> {
    if stream {
        let stream = reply.stream()?;
        ensure!(stream.is_done, "a streamed response ended without [DONE]");
        return Ok(stream.content);
    }
    let completion: serde_json::Value = reply.json()?;
    let content = completion["choices"][0]["message"]["content"].as_str();
    Ok(content.context("a chat response has no content")?.to_owned())
}

async fn send_plain_request(fleet: &SampleFleet, number: usize) -> Result<String> {
    let entry = &fleet.entries[number % fleet.entries.len()];
    let method = if number.is_multiple_of(2) { Method::GET } else { Method::POST };
    let reply = fleet.send_request(method, entry.http, "/portal/slots", "").await?;
    let code = result_code(&reply)?;
    ensure!(
        reply.status == 200,
        "a request to the plain service failed with {code}: {}",
        reply.text()
    );
    Ok(code)
}

fn result_code(reply: &HttpReply) -> Result<String> {
    Ok(reply.header("x-result-code").context("a response has no x-result-code header")?.to_owned())
}

async fn print_distribution(
    fleet: &SampleFleet,
    digest: VersionDigest,
    milestones: &[LiveMilestone],
) -> Result<()> {
    println!("model      {digest}, {} MiB", MODEL_BYTES >> 20);
    for milestone in milestones {
        println!(
            "live       {} replicas after {} ms",
            milestone.replicas,
            milestone.elapsed.as_millis()
        );
    }
    let store = fleet.system.store.address;
    let counts: StoreCounts = fleet.system.client.counts(store).await?;
    let origin_copies = counts.chunk_bytes as f64 / MODEL_BYTES as f64;
    println!("origin     {} bytes, {origin_copies:.2} copies", counts.chunk_bytes);
    Ok(())
}

fn print_result_codes(codes: impl Iterator<Item = String>) {
    let mut counts: SortedTable<String, u32> = SortedTable::new();
    for code in codes {
        *counts.get_or_insert_with(code, || 0) += 1;
    }
    for (code, count) in counts.iter() {
        println!("code       {code}: {count}");
    }
}
