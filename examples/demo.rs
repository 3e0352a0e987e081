//! The main job in small: a model spreads from the store to engines on two sites, and requests are
//! answered at both entries. Everything runs as separate processes on loopback.

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
const STORE_BYTES_PER_SECOND: u64 = 64 * 1024 * 1024;
const MODEL_SEED: u64 = 1;
const CHATS: usize = 48;
const CALLS: usize = 12;
const MAX_TOKENS: u32 = 32;
const LIVE_LIMIT: Duration = Duration::from_secs(120);

/// When a number of replicas was live.
struct LiveMark {
    replicas: usize,
    after: Duration,
}

fn main() -> Result<()> {
    actix_rt::System::new().block_on(run_demo())
}

async fn run_demo() -> Result<()> {
    println!("starting the stand-ins, 2 entries and {} agents", ENGINES + 1);
    let mut fleet = SampleFleet::start(&product_path()?, ENGINES, &ENGINE_OPTIONS).await?;
    let limit = json!({ "bytes_per_second": STORE_BYTES_PER_SECOND });
    fleet.system.client.set_faults(fleet.system.store.address, &limit).await?;
    println!("publishing a model and applying the configuration");
    let digest = fleet.publish_and_apply(model(), CHUNK_BYTES).await?;
    let marks = watch_spread(&fleet, digest).await?;
    fleet.wait_live(digest, LIVE_LIMIT).await?;
    println!("sending {CHATS} chats and {CALLS} plain calls");
    let start = Instant::now();
    let chats = (0..CHATS).map(|number| send_chat(&fleet, number, digest));
    let calls = (0..CALLS).map(|number| send_call(&fleet, number));
    let (chats, calls) = futures_util::try_join!(try_join_all(chats), try_join_all(calls))?;
    let span = start.elapsed();
    print_spread(&fleet, digest, &marks).await?;
    println!("requests   {} answered in {} ms", CHATS + CALLS, span.as_millis());
    print_codes(chats.into_iter().chain(calls));
    fleet.stop().await?;
    println!("all processes stopped with exit code 0");
    Ok(())
}

/// The product's program, which stands one folder above the examples.
fn product_path() -> Result<PathBuf> {
    let demo = std::env::current_exe()?;
    let folder = demo.parent().and_then(|folder| folder.parent());
    let product = folder.context("no folder of programs")?.join("buckthornwharf");
    ensure!(product.exists(), "{} is missing: cargo build --workspace", product.display());
    Ok(product)
}

fn model() -> Vec<u8> {
    let mut content = vec![0; MODEL_BYTES];
    SmallRng::seed_from_u64(MODEL_SEED).fill_bytes(&mut content);
    content
}

/// Notes each rise of the number of live replicas until all are.
async fn watch_spread(fleet: &SampleFleet, digest: VersionDigest) -> Result<Vec<LiveMark>> {
    let start = Instant::now();
    let mut marks: Vec<LiveMark> = Vec::new();
    while marks.last().is_none_or(|mark| mark.replicas < ENGINES) {
        ensure!(start.elapsed() < LIVE_LIMIT, "not all engines are live after {LIVE_LIMIT:?}");
        let replicas = fleet.live_replicas(digest).await;
        if replicas > marks.last().map_or(0, |mark| mark.replicas) {
            marks.push(LiveMark { replicas, after: start.elapsed() });
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(marks)
}

async fn send_chat(fleet: &SampleFleet, number: usize, digest: VersionDigest) -> Result<String> {
    let entry = &fleet.entries[number % fleet.entries.len()];
    let (prompt, stream) = (format!("draft a grant letter, {number}"), number % 4 < 2);
    let reply = fleet.chat(entry.http, &prompt, MAX_TOKENS, stream).await?;
    let code = result_code(&reply)?;
    ensure!(reply.status == 200, "a chat ended with {code}: {}", reply.text());
    let answered_by = reply.header("x-model-digest").unwrap_or_default();
    ensure!(answered_by == digest.to_string(), "an answer by {answered_by}");
    let content = chat_content(&reply, stream)?;
    ensure!(content == expected_answer(&prompt, MAX_TOKENS), "a wrong answer: {content}");
    Ok(code)
}

fn chat_content(reply: &HttpReply, stream: bool) -> Result<String> {
    if stream {
        let stream = reply.stream()?;
        ensure!(stream.is_done, "a streamed answer without its end");
        return Ok(stream.content);
    }
    let answer: serde_json::Value = reply.json()?;
    let content = answer["choices"][0]["message"]["content"].as_str();
    Ok(content.context("an answer without content")?.to_owned())
}

async fn send_call(fleet: &SampleFleet, number: usize) -> Result<String> {
    let entry = &fleet.entries[number % fleet.entries.len()];
    let method = if number.is_multiple_of(2) { Method::GET } else { Method::POST };
    let reply = fleet.call(method, entry.http, "/portal/slots", "").await?;
    let code = result_code(&reply)?;
    ensure!(reply.status == 200, "a plain call ended with {code}: {}", reply.text());
    Ok(code)
}

fn result_code(reply: &HttpReply) -> Result<String> {
    Ok(reply.header("x-result-code").context("an answer without a result code")?.to_owned())
}

async fn print_spread(
    fleet: &SampleFleet,
    digest: VersionDigest,
    marks: &[LiveMark],
) -> Result<()> {
    println!("model      {digest}, {} MiB", MODEL_BYTES >> 20);
    for mark in marks {
        println!("live       {} replicas after {} ms", mark.replicas, mark.after.as_millis());
    }
    let store = fleet.system.store.address;
    let counts: StoreCounts = fleet.system.client.counts(store).await?;
    let copies = counts.chunk_bytes as f64 / MODEL_BYTES as f64;
    println!("origin     {} bytes, {copies:.2} copies", counts.chunk_bytes);
    Ok(())
}

fn print_codes(codes: impl Iterator<Item = String>) {
    let mut tally: SortedTable<String, u32> = SortedTable::new();
    for code in codes {
        *tally.get_or_insert_with(code, || 0) += 1;
    }
    for (code, count) in tally.iter() {
        println!("code       {code}: {count}");
    }
}
