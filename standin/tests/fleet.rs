//! Tests that the harness signals processes, and that stand-ins hang, stall and lose responses by
//! switch.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{HttpReply, SoloStandin};
use serde_json::json;
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a response after which a request counts as hanging.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

async fn start(role: &str) -> Result<SoloStandin> {
    SoloStandin::start(env!("CARGO_BIN_EXE_buckthornwharf-standin"), role, &[]).await
}

async fn read_key(solo: &SoloStandin) -> Result<HttpReply> {
    solo.client.get(solo.address(), "/v1/kv/a?recurse=true").await
}

#[actix_rt::test]
async fn a_suspended_process_answers_only_after_it_is_resumed() -> Result<()> {
    let mut solo = start("kv").await?;
    assert_eq!(read_key(&solo).await?.status, 404);
    solo.standin.process.suspend()?;
    assert!(timeout(NO_RESPONSE_TIMEOUT, read_key(&solo)).await.is_err());
    solo.standin.process.resume()?;
    assert_eq!(read_key(&solo).await?.status, 404);
    Ok(())
}

#[actix_rt::test]
async fn reports_the_exit_status_of_a_process() -> Result<()> {
    let mut stopped = start("hosts").await?;
    stopped.standin.process.terminate()?;
    assert_eq!(stopped.standin.process.wait_exit(WAIT_TIMEOUT).await?.code(), Some(0));
    assert!(stopped.standin.process.terminate().is_err());
    let mut killed = start("plain").await?;
    killed.standin.process.kill()?;
    assert_eq!(killed.standin.process.wait_exit(WAIT_TIMEOUT).await?.code(), None);
    assert!(read_key(&killed).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn a_failed_start_reports_the_log_of_the_process() -> Result<()> {
    let Err(error) = start("oracle").await else {
        anyhow::bail!("the unknown role oracle was started")
    };
    assert!(error.to_string().contains("oracle"), "{error}");
    Ok(())
}

#[actix_rt::test]
async fn requests_from_a_hang_stay_unanswered_after_it_ends() -> Result<()> {
    let solo = start("kv").await?;
    solo.set_faults(&json!({ "down": "hang" })).await?;
    let mut hanging = std::pin::pin!(read_key(&solo));
    assert!(timeout(NO_RESPONSE_TIMEOUT, &mut hanging).await.is_err());
    solo.set_faults(&json!({ "down": "off" })).await?;
    assert_eq!(read_key(&solo).await?.status, 404);
    assert!(timeout(NO_RESPONSE_TIMEOUT, &mut hanging).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn a_lost_response_can_leave_the_connection_open() -> Result<()> {
    let solo = start("kv").await?;
    solo.set_faults(&json!({ "lose_answers": 1, "loss": "stall" })).await?;
    let write = solo.client.put(solo.address(), "/v1/kv/a", "one");
    assert!(timeout(NO_RESPONSE_TIMEOUT, write).await.is_err());
    let retry = solo.client.put(solo.address(), "/v1/kv/a?cas=0", "one").await?;
    assert_eq!(retry.text(), "false");
    Ok(())
}

#[actix_rt::test]
async fn a_stalled_chunk_is_never_complete() -> Result<()> {
    let solo = start("store").await?;
    let content = vec![7; 100_000];
    let digest = solo.client.publish(solo.address(), content, 100_000).await?;
    let path = format!("/v1/manifests/{digest}");
    let manifest: serde_json::Value = solo.client.get(solo.address(), &path).await?.json()?;
    solo.set_faults(&json!({ "stall": true })).await?;
    let path = format!("/v1/chunks/{}", manifest["chunks"][0].as_str().unwrap_or_default());
    assert!(timeout(NO_RESPONSE_TIMEOUT, solo.client.get(solo.address(), &path)).await.is_err());
    solo.set_faults(&json!({ "stall": false })).await?;
    assert_eq!(solo.client.get(solo.address(), &path).await?.body.len(), 100_000);
    Ok(())
}
