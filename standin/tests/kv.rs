//! Tests that the key-value stand-in keeps its contract and injects faults by switch.

use anyhow::Result;
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{SoloStandin, wait_until};
use buckthornwharf_standin::kv::KvCounts;
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct KvFixture {
    solo: SoloStandin,
}

impl KvFixture {
    async fn start() -> Result<Self> {
        let program = env!("CARGO_BIN_EXE_buckthornwharf-standin");
        Ok(Self { solo: SoloStandin::start(program, "kv", &[]).await? })
    }

    async fn put(&self, path: &str, body: &str) -> Result<Value> {
        self.solo.client.put(self.solo.address(), path, body.to_owned()).await?.ok()?.json()
    }

    async fn record(&self, key: &str) -> Result<Value> {
        let rows: Value =
            self.solo.client.get(self.solo.address(), &format!("/v1/kv/{key}")).await?.json()?;
        Ok(rows[0].clone())
    }

    async fn set_faults(&self, switches: &Value) -> Result<()> {
        self.solo.set_faults(switches).await
    }

    async fn counts(&self) -> Result<KvCounts> {
        self.solo.counts().await
    }

    async fn open_session(&self, ttl: &str) -> Result<String> {
        let body = json!({ "TTL": ttl, "Behavior": "delete" }).to_string();
        let session = self.put("/v1/session/create", &body).await?;
        Ok(session["ID"].as_str().unwrap_or_default().to_owned())
    }
}

#[actix_rt::test]
async fn a_conditional_write_needs_the_current_index() -> Result<()> {
    let fixture = KvFixture::start().await?;
    assert_eq!(fixture.put("/v1/kv/a?cas=0", "one").await?, json!(true));
    assert_eq!(fixture.put("/v1/kv/a?cas=0", "two").await?, json!(false));
    let index = fixture.record("a").await?["ModifyIndex"].as_u64().unwrap_or(0);
    assert_eq!(fixture.put(&format!("/v1/kv/a?cas={index}"), "three").await?, json!(true));
    assert_eq!(fixture.record("a").await?["Value"], json!("dGhyZWU="));
    Ok(())
}

#[actix_rt::test]
async fn a_watch_returns_the_next_write_and_is_counted_once() -> Result<()> {
    let fixture = KvFixture::start().await?;
    fixture.put("/v1/kv/a", "one").await?;
    let index = fixture.record("a").await?["ModifyIndex"].clone();
    let path = format!("/v1/kv/a?index={index}&wait=20s");
    let (client, address) = (fixture.solo.client.clone(), fixture.solo.address());
    let watch = actix_rt::spawn(async move { client.get(address, &path).await });
    let is_waiting =
        async || fixture.counts().await.is_ok_and(|counts| counts.waiting_watches == 1);
    wait_until("one watch is waiting", WAIT_TIMEOUT, is_waiting).await?;
    fixture.put("/v1/kv/a", "two").await?;
    let rows: Value = watch.await??.ok()?.json()?;
    assert_eq!(rows[0]["Value"], json!("dHdv"));
    let counts = fixture.counts().await?;
    assert_eq!((counts.watch, counts.waiting_watches, counts.put, counts.get), (1, 0, 2, 1));
    Ok(())
}

#[actix_rt::test]
async fn a_write_takes_effect_although_its_response_is_lost() -> Result<()> {
    let fixture = KvFixture::start().await?;
    fixture.set_faults(&json!({ "lose_answers": 1 })).await?;
    assert!(fixture.put("/v1/kv/a?cas=0", "one").await.is_err());
    assert_eq!(fixture.record("a").await?["Value"], json!("b25l"));
    assert_eq!(fixture.put("/v1/kv/b?cas=0", "two").await?, json!(true));
    assert_eq!(fixture.counts().await?.lost_answers, 1);
    Ok(())
}

#[actix_rt::test]
async fn an_expired_session_loses_its_keys() -> Result<()> {
    let fixture = KvFixture::start().await?;
    let (live, expiring) =
        (fixture.open_session("60s").await?, fixture.open_session("300ms").await?);
    let acquire = |session: &str| format!("/v1/kv/lock?acquire={session}");
    assert_eq!(fixture.put(&acquire(&expiring), "held").await?, json!(true));
    assert_eq!(fixture.put(&acquire(&live), "taken").await?, json!(false));
    let expired = async || fixture.counts().await.is_ok_and(|counts| counts.session_lapsed == 1);
    wait_until("the session expires", WAIT_TIMEOUT, expired).await?;
    assert_eq!(fixture.record("lock").await?, Value::Null);
    let renew_path = format!("/v1/session/renew/{expiring}");
    assert_eq!(fixture.solo.client.put(fixture.solo.address(), &renew_path, "").await?.status, 404);
    assert_eq!(fixture.put(&acquire(&live), "taken").await?, json!(true));
    Ok(())
}

#[actix_rt::test]
async fn stale_reads_return_the_value_before_the_last_write() -> Result<()> {
    let fixture = KvFixture::start().await?;
    fixture.put("/v1/kv/a", "one").await?;
    fixture.put("/v1/kv/a", "two").await?;
    fixture.set_faults(&json!({ "stale_reads": true })).await?;
    assert_eq!(fixture.record("a").await?["Value"], json!("b25l"));
    fixture.set_faults(&json!({ "stale_reads": false })).await?;
    assert_eq!(fixture.record("a").await?["Value"], json!("dHdv"));
    Ok(())
}

#[actix_rt::test]
async fn lists_and_deletes_keys_and_rejects_bad_requests() -> Result<()> {
    let fixture = KvFixture::start().await?;
    let (client, address) = (&fixture.solo.client, fixture.solo.address());
    fixture.put("/v1/kv/p/a", "1").await?;
    fixture.put("/v1/kv/p/b", "2").await?;
    fixture.put("/v1/kv/q", "3").await?;
    let rows: Vec<Value> = client.get(address, "/v1/kv/p/?recurse=true").await?.ok()?.json()?;
    assert_eq!(rows.iter().map(|row| &row["Key"]).collect::<Vec<_>>(), ["p/a", "p/b"]);
    let delete = client.send(Method::DELETE, address, "/v1/kv/p/a?cas=1", &[], "").await?;
    assert_eq!(delete.text(), "false");
    let delete = client.send(Method::DELETE, address, "/v1/kv/p/a", &[], "").await?;
    assert_eq!(delete.text(), "true");
    assert_eq!(client.get(address, "/v1/kv/p/a").await?.status, 404);
    assert_eq!(client.put(address, "/v1/kv/big", vec![0; 1024 * 1024 + 1]).await?.status, 413);
    assert_eq!(client.put(address, "/v1/kv/a?cas=x", "").await?.status, 400);
    assert_eq!(client.put(address, "/fault", r#"{"unknown":1}"#).await?.status, 400);
    fixture.set_faults(&json!({ "down": "refuse" })).await?;
    assert_eq!(client.get(address, "/v1/kv/q").await?.status, 503);
    Ok(())
}
