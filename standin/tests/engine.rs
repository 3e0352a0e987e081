//! Tests that the engine stand-in answers deterministically, keeps its limits, and crashes and
//! stalls by switch.

use anyhow::Result;
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_standin::engine::{CRASH_EXIT_CODE, EngineCounts, LoadReport, expected_answer};
use buckthornwharf_standin::fleet::{HttpReply, SoloStandin, wait_until};
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const CHUNK_BYTES: u64 = 1000;

struct EngineFixture {
    solo: SoloStandin,
}

/// The weights and the digest of a version.
fn weights(seed: u8) -> (Vec<u8>, VersionDigest) {
    let content: Vec<u8> = (0..2500_u32).map(|index| (index % 251) as u8 ^ seed).collect();
    let digest = VersionManifest::of_content(&content, CHUNK_BYTES).digest();
    (content, digest)
}

fn chat_body(prompt: &str, stream: bool) -> Vec<u8> {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": "any", "messages": messages, "max_tokens": 5, "stream": stream })
        .to_string()
        .into_bytes()
}

impl EngineFixture {
    async fn start(options: &[&str]) -> Result<Self> {
        let program = env!("CARGO_BIN_EXE_buckthornwharf-standin");
        Ok(Self { solo: SoloStandin::start(program, "engine", options).await? })
    }

    async fn start_loaded(options: &[&str]) -> Result<Self> {
        let fixture = Self::start(options).await?;
        let (content, digest) = weights(0);
        assert_eq!(fixture.load(digest, content, 1).await?, 200);
        Ok(fixture)
    }

    async fn load(&self, digest: VersionDigest, content: Vec<u8>, fence: u64) -> Result<u16> {
        let (chunk_bytes, fence) = (CHUNK_BYTES.to_string(), fence.to_string());
        let headers = [("X-Chunk-Bytes", chunk_bytes.as_str()), ("X-Fence", &fence)];
        let path = format!("/v1/models/{digest}");
        let address = self.solo.address();
        Ok(self.solo.client.send(Method::PUT, address, &path, &headers, content).await?.status)
    }

    async fn unload(&self, digest: VersionDigest, fence: u64) -> Result<u16> {
        let fence = fence.to_string();
        let headers = [("X-Fence", fence.as_str())];
        let path = format!("/v1/models/{digest}");
        let address = self.solo.address();
        Ok(self.solo.client.send(Method::DELETE, address, &path, &headers, "").await?.status)
    }

    async fn chat(&self, id: &'static str, prompt: &str, stream: bool) -> Result<HttpReply> {
        let (address, body) = (self.solo.address(), chat_body(prompt, stream));
        let headers = [("X-Request-Id", id)];
        self.solo.client.send(Method::POST, address, "/v1/chat/completions", &headers, body).await
    }

    async fn counts(&self) -> Result<EngineCounts> {
        self.solo.counts().await
    }
}

#[actix_rt::test]
async fn answers_with_the_expected_text_and_the_digest_of_its_weights() -> Result<()> {
    let fixture = EngineFixture::start_loaded(&[]).await?;
    let (_, digest) = weights(0);
    let completion: Value = fixture.chat("r1", "draft a quote", false).await?.ok()?.json()?;
    let expected = expected_answer("draft a quote", 5);
    assert_eq!(completion["choices"][0]["message"]["content"], json!(expected));
    assert_eq!(completion["system_fingerprint"], json!(digest));
    let streamed = fixture.chat("r2", "draft a quote", true).await?.ok()?.stream()?;
    assert_eq!(streamed.content, expected);
    assert_eq!(streamed.fingerprints, [digest.to_string()]);
    assert!(streamed.is_done);
    let counts = fixture.counts().await?;
    assert_eq!(counts.runs.by_text.get("draft a quote"), Some(&2));
    assert_eq!(counts.runs.by_request.get("r1"), Some(&1));
    assert_eq!((counts.completed, counts.broken_off, counts.tokens), (2, 0, 10));
    insta::assert_snapshot!(expected, @"t0-e5ad13eb t1-e5ad13eb t2-e5ad13eb t3-e5ad13eb t4-e5ad13eb");
    Ok(())
}

#[actix_rt::test]
async fn mixed_weights_are_reported_under_their_own_digest() -> Result<()> {
    let fixture = EngineFixture::start(&[]).await?;
    let ((mut mixed, digest), (other, _)) = (weights(0), weights(1));
    mixed[1000..2000].copy_from_slice(&other[1000..2000]);
    assert_eq!(fixture.load(digest, mixed.clone(), 1).await?, 422);
    fixture.solo.set_faults(&json!({ "checks_digest": false })).await?;
    assert_eq!(fixture.load(digest, mixed.clone(), 1).await?, 200);
    let answer: Value = fixture.chat("r1", "p", false).await?.ok()?.json()?;
    let computed = VersionManifest::of_content(&mixed, CHUNK_BYTES).digest();
    assert_ne!(computed, digest);
    assert_eq!(answer["system_fingerprint"], json!(computed));
    Ok(())
}

#[actix_rt::test]
async fn only_an_engine_that_checks_fences_rejects_an_older_one() -> Result<()> {
    let checking = EngineFixture::start(&["--checks-fence", "--holds", "2"]).await?;
    let ((first_content, first), (second_content, second)) = (weights(0), weights(1));
    assert_eq!(checking.load(first, first_content.clone(), 7).await?, 200);
    assert_eq!(checking.load(second, second_content, 6).await?, 409);
    assert_eq!(checking.unload(first, 6).await?, 409);
    assert_eq!(checking.unload(first, 7).await?, 200);
    let orders = checking.counts().await?.orders;
    let orders: Vec<_> = orders.iter().map(|order| (order.fence, order.status)).collect();
    assert_eq!(orders, [(Some(7), 200), (Some(6), 409), (Some(6), 409), (Some(7), 200)]);
    let ignoring = EngineFixture::start_loaded(&[]).await?;
    assert_eq!(ignoring.unload(first, 0).await?, 200);
    Ok(())
}

#[actix_rt::test]
async fn rejects_a_load_beyond_its_version_limit() -> Result<()> {
    let fixture = EngineFixture::start_loaded(&[]).await?;
    let ((first_content, first), (second_content, second)) = (weights(0), weights(1));
    assert_eq!(fixture.load(first, first_content, 1).await?, 200);
    assert_eq!(fixture.load(second, second_content.clone(), 1).await?, 507);
    assert_eq!(fixture.unload(second, 1).await?, 404);
    assert_eq!(fixture.unload(first, 1).await?, 200);
    assert_eq!(fixture.chat("r1", "p", false).await?.status, 503);
    assert_eq!(fixture.load(second, second_content, 1).await?, 200);
    assert_eq!(fixture.counts().await?.versions, [second]);
    Ok(())
}

#[actix_rt::test]
async fn a_poison_request_resets_the_engine_or_ends_its_process() -> Result<()> {
    let mut fixture = EngineFixture::start_loaded(&[]).await?;
    fixture.solo.set_faults(&json!({ "poison": "arsenic", "crash_mode": "reset" })).await?;
    assert!(fixture.chat("r1", "some arsenic", false).await.is_err());
    let counts = fixture.counts().await?;
    assert_eq!((counts.crashes, counts.versions.len()), (1, 0));
    assert_eq!(counts.runs.by_request.get("r1"), Some(&1));
    let (content, digest) = weights(0);
    assert_eq!(fixture.load(digest, content, 1).await?, 200);
    fixture.chat("r2", "none of it", false).await?.ok()?;
    fixture.solo.set_faults(&json!({ "crash_mode": "exit" })).await?;
    assert!(fixture.chat("r3", "some arsenic", true).await.is_err());
    let status = fixture.solo.standin.process.wait_exit(WAIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(CRASH_EXIT_CODE));
    Ok(())
}

#[actix_rt::test]
async fn a_stalled_request_occupies_its_slot_until_it_is_cancelled() -> Result<()> {
    let fixture = EngineFixture::start_loaded(&["--slots", "1"]).await?;
    fixture.solo.set_faults(&json!({ "stall_after": 2, "load_lag_ms": 0 })).await?;
    let cancel = async {
        wait_load(&fixture, 1, 1).await?;
        fixture.solo.set_faults(&json!({ "stall_after": null })).await?;
        let path = "/v1/requests/r1";
        fixture.solo.client.send(Method::DELETE, fixture.solo.address(), path, &[], "").await?.ok()
    };
    let stalled = fixture.chat("r1", "first", true);
    let waiting = async {
        wait_load(&fixture, 1, 0).await?;
        fixture.chat("r2", "second", false).await
    };
    let (stalled, waiting, cancelled) = futures_util::join!(stalled, waiting, cancel);
    cancelled?;
    let stalled = stalled?.ok()?.stream()?;
    assert_eq!(stalled.finish_reason.as_deref(), Some("abort"));
    assert_eq!(stalled.content, expected_answer("first", 2));
    let waiting: Value = waiting?.ok()?.json()?;
    assert_eq!(waiting["choices"][0]["message"]["content"], json!(expected_answer("second", 5)));
    let counts = fixture.counts().await?;
    assert_eq!((counts.completed, counts.broken_off), (1, 1));
    Ok(())
}

async fn wait_load(fixture: &EngineFixture, running: u32, waiting: u32) -> Result<()> {
    let reached = async || {
        let report: Result<LoadReport> = load_report(fixture).await;
        report.is_ok_and(|report| (report.running, report.waiting) == (running, waiting))
    };
    wait_until(&format!("{running} requests run and {waiting} wait"), WAIT_TIMEOUT, reached).await
}

async fn load_report(fixture: &EngineFixture) -> Result<LoadReport> {
    fixture.solo.client.get(fixture.solo.address(), "/v1/load").await?.ok()?.json()
}

#[actix_rt::test]
async fn a_disconnected_caller_frees_its_slot() -> Result<()> {
    let fixture = EngineFixture::start_loaded(&["--slots", "1"]).await?;
    fixture.solo.set_faults(&json!({ "stall_after": 0 })).await?;
    {
        let abandoned = fixture.chat("r1", "first", true);
        let is_running = async || fixture.counts().await.is_ok_and(|counts| counts.runs.total == 1);
        let started = wait_until("the request runs", WAIT_TIMEOUT, is_running);
        tokio::select! {
            _ = abandoned => anyhow::bail!("a stalled request was answered"),
            result = started => result?,
        }
    }
    let is_freed = async || fixture.counts().await.is_ok_and(|counts| counts.broken_off == 1);
    wait_until("the slot is free", WAIT_TIMEOUT, is_freed).await?;
    fixture.solo.set_faults(&json!({ "stall_after": null })).await?;
    fixture.chat("r2", "second", false).await?.ok()?;
    Ok(())
}

#[actix_rt::test]
async fn rejects_bad_input_and_shuts_down_cleanly() -> Result<()> {
    let mut fixture = EngineFixture::start_loaded(&[]).await?;
    let (client, address) = (fixture.solo.client.clone(), fixture.solo.address());
    let path = "/v1/chat/completions";
    assert_eq!(client.send(Method::POST, address, path, &[], "{").await?.status, 400);
    let path_without_chunk_bytes = format!("/v1/models/{}", weights(1).1);
    assert_eq!(client.put(address, &path_without_chunk_bytes, "x").await?.status, 400);
    assert_eq!(client.get(address, "/nothing").await?.status, 404);
    fixture.solo.standin.process.terminate()?;
    let status = fixture.solo.standin.process.wait_exit(WAIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}
