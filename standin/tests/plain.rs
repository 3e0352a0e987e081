//! Tests that the plain service echoes requests and counts each run, also if its response is lost.

use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::{HttpReply, SoloStandin};
use buckthornwharf_standin::runs::RunCounts;
use serde_json::json;

async fn start() -> Result<SoloStandin> {
    SoloStandin::start(env!("CARGO_BIN_EXE_buckthornwharf-standin"), "plain", &[]).await
}

async fn send_booking(solo: &SoloStandin, id: &'static str) -> Result<HttpReply> {
    let headers = [("X-Request-Id", id)];
    solo.client.send(Method::POST, solo.address(), "/bookings?x=1", &headers, "rod coil").await
}

#[actix_rt::test]
async fn echoes_the_request() -> Result<()> {
    let solo = start().await?;
    let echo = send_booking(&solo, "r1").await?.ok()?.text();
    insta::assert_snapshot!(
        echo,
        @r#"{"method":"POST","path":"/bookings","body":"rod coil","request_id":"r1"}"#
    );
    Ok(())
}

#[actix_rt::test]
async fn counts_runs_whose_response_is_lost() -> Result<()> {
    let solo = start().await?;
    solo.set_faults(&json!({ "drop": "before" })).await?;
    assert!(send_booking(&solo, "r1").await.is_err());
    solo.set_faults(&json!({ "drop": "after" })).await?;
    assert!(send_booking(&solo, "r2").await.is_err());
    solo.set_faults(&json!({ "drop": "off" })).await?;
    send_booking(&solo, "r2").await?.ok()?;
    let counts: RunCounts = solo.counts().await?;
    assert_eq!(counts.by_request.get("r1"), None);
    assert_eq!(counts.by_request.get("r2"), Some(&2));
    assert_eq!(counts.by_text.get("rod coil"), Some(&2));
    assert_eq!(counts.total, 2);
    Ok(())
}
