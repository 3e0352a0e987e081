//! The harness signals processes, and its stand-ins fail silently by switch.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{HttpReply, SoloStandin};
use serde_json::json;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(20);
const SILENCE: Duration = Duration::from_millis(200);

async fn start(role: &str) -> Result<SoloStandin> {
    SoloStandin::start(env!("CARGO_BIN_EXE_buckthornwharf-standin"), role, &[]).await
}

async fn read(solo: &SoloStandin) -> Result<HttpReply> {
    solo.client.get(solo.address(), "/v1/kv/a?recurse=true").await
}

#[actix_rt::test]
async fn a_frozen_process_answers_after_it_is_resumed() -> Result<()> {
    let mut solo = start("kv").await?;
    assert_eq!(read(&solo).await?.status, 404);
    solo.standin.process.suspend()?;
    assert!(timeout(SILENCE, read(&solo)).await.is_err());
    solo.standin.process.resume()?;
    assert_eq!(read(&solo).await?.status, 404);
    Ok(())
}

#[actix_rt::test]
async fn tells_how_a_process_ended() -> Result<()> {
    let mut stopped = start("hosts").await?;
    stopped.standin.process.terminate()?;
    assert_eq!(stopped.standin.process.wait_exit(LIMIT).await?.code(), Some(0));
    assert!(stopped.standin.process.terminate().is_err());
    let mut killed = start("plain").await?;
    killed.standin.process.kill()?;
    assert_eq!(killed.standin.process.wait_exit(LIMIT).await?.code(), None);
    assert!(read(&killed).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn a_process_that_does_not_start_fails_with_its_log() -> Result<()> {
    let Err(error) = start("oracle").await else { anyhow::bail!("an unknown role started") };
    assert!(error.to_string().contains("oracle"), "{error}");
    Ok(())
}

#[actix_rt::test]
async fn a_service_that_hangs_stays_silent_on_old_connections_only() -> Result<()> {
    let solo = start("kv").await?;
    solo.set_faults(&json!({ "down": "hang" })).await?;
    let mut hanging = std::pin::pin!(read(&solo));
    assert!(timeout(SILENCE, &mut hanging).await.is_err());
    solo.set_faults(&json!({ "down": "off" })).await?;
    assert_eq!(read(&solo).await?.status, 404);
    assert!(timeout(SILENCE, &mut hanging).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn a_lost_answer_may_leave_the_connection_open() -> Result<()> {
    let solo = start("kv").await?;
    solo.set_faults(&json!({ "lose_answers": 1, "loss": "stall" })).await?;
    let write = solo.client.put(solo.address(), "/v1/kv/a", "one");
    assert!(timeout(SILENCE, write).await.is_err());
    let retry = solo.client.put(solo.address(), "/v1/kv/a?cas=0", "one").await?;
    assert_eq!(retry.text(), "false");
    Ok(())
}

#[actix_rt::test]
async fn a_stalled_chunk_never_ends() -> Result<()> {
    let solo = start("store").await?;
    let content = vec![7; 100_000];
    let digest = solo.client.publish(solo.address(), content, 100_000).await?;
    let path = format!("/v1/manifests/{digest}");
    let manifest: serde_json::Value = solo.client.get(solo.address(), &path).await?.json()?;
    solo.set_faults(&json!({ "stall": true })).await?;
    let path = format!("/v1/chunks/{}", manifest["chunks"][0].as_str().unwrap_or_default());
    assert!(timeout(SILENCE, solo.client.get(solo.address(), &path)).await.is_err());
    solo.set_faults(&json!({ "stall": false })).await?;
    assert_eq!(solo.client.get(solo.address(), &path).await?.body.len(), 100_000);
    Ok(())
}
