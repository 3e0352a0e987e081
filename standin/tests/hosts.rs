//! Tests that the list of hosts stores records, and lags and fails by switch.

use anyhow::Result;
use awc::http::Method;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{SoloStandin, wait_until};
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start() -> Result<SoloStandin> {
    SoloStandin::start(env!("CARGO_BIN_EXE_buckthornwharf-standin"), "hosts", &[]).await
}

fn record(name: &str) -> Value {
    json!({
        "name": name, "site": "nbo-a", "role": "agent", "service": "grant-llm",
        "link": "127.0.0.1:1", "admin": "127.0.0.1:2", "phase": "live",
    })
}

async fn host_names(solo: &SoloStandin) -> Result<Vec<String>> {
    let reply = solo.client.get(solo.address(), "/v1/hosts").await?.ok()?;
    let hosts: Vec<HostRecord> = reply.json()?;
    Ok(hosts.into_iter().map(|host| host.name.to_string()).collect())
}

#[actix_rt::test]
async fn sets_and_removes_records() -> Result<()> {
    let solo = start().await?;
    for name in ["b", "a"] {
        let path = format!("/v1/hosts/{name}");
        solo.client.put_json(solo.address(), &path, &record(name)).await?;
    }
    assert_eq!(host_names(&solo).await?, ["a", "b"]);
    solo.client.send(Method::DELETE, solo.address(), "/v1/hosts/a", &[], "").await?.ok()?;
    assert_eq!(host_names(&solo).await?, ["b"]);
    let mismatched = serde_json::to_vec(&record("c"))?;
    assert_eq!(solo.client.put(solo.address(), "/v1/hosts/d", mismatched).await?.status, 400);
    Ok(())
}

#[actix_rt::test]
async fn a_change_is_visible_after_the_lag() -> Result<()> {
    let solo = start().await?;
    solo.set_faults(&json!({ "lag_ms": 600_000 })).await?;
    solo.client.put_json(solo.address(), "/v1/hosts/a", &record("a")).await?;
    assert!(host_names(&solo).await?.is_empty());
    solo.set_faults(&json!({ "lag_ms": 200 })).await?;
    let is_visible = async || host_names(&solo).await.is_ok_and(|names| names == ["a"]);
    wait_until("the change is visible", WAIT_TIMEOUT, is_visible).await
}

#[actix_rt::test]
async fn is_empty_or_rejects_requests_by_switch() -> Result<()> {
    let solo = start().await?;
    solo.client.put_json(solo.address(), "/v1/hosts/a", &record("a")).await?;
    solo.set_faults(&json!({ "empty": true })).await?;
    assert!(host_names(&solo).await?.is_empty());
    solo.set_faults(&json!({ "empty": false, "down": "refuse" })).await?;
    assert_eq!(solo.client.get(solo.address(), "/v1/hosts").await?.status, 503);
    solo.set_faults(&json!({ "down": "off" })).await?;
    assert_eq!(host_names(&solo).await?, ["a"]);
    Ok(())
}
