//! Tests that the weight store serves chunks at its rate, counts them, and corrupts or truncates
//! them by switch.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_core::weights::manifest::hash_chunk;
use buckthornwharf_standin::fleet::{HttpReply, SoloStandin};
use buckthornwharf_standin::store::{ChunkCounts, RatePacer, StoreCounts};
use serde_json::json;
use tokio::time::Instant;

const CHUNK_BYTES: u64 = 40_000;

struct StoreFixture {
    solo: SoloStandin,
    content: Vec<u8>,
    digest: VersionDigest,
    manifest: VersionManifest,
}

impl StoreFixture {
    async fn start() -> Result<Self> {
        let program = env!("CARGO_BIN_EXE_buckthornwharf-standin");
        let solo = SoloStandin::start(program, "store", &[]).await?;
        let content: Vec<u8> = (0..100_000_u32).map(|index| (index % 251) as u8).collect();
        let digest = solo.client.publish(solo.address(), content.clone(), CHUNK_BYTES).await?;
        let path = format!("/v1/manifests/{digest}");
        let manifest = solo.client.get(solo.address(), &path).await?.ok()?.json()?;
        Ok(Self { solo, content, digest, manifest })
    }

    async fn chunk(&self, index: usize) -> Result<HttpReply> {
        let path = format!("/v1/chunks/{}", self.manifest.chunks[index]);
        self.solo.client.get(self.solo.address(), &path).await
    }
}

#[actix_rt::test]
async fn serves_published_content_and_counts_requests() -> Result<()> {
    let fixture = StoreFixture::start().await?;
    fixture.manifest.verify(&fixture.digest)?;
    let mut content = Vec::new();
    for index in 0..fixture.manifest.chunks.len() {
        content.extend_from_slice(&fixture.chunk(index).await?.ok()?.body);
    }
    assert_eq!(content, fixture.content);
    fixture.chunk(2).await?;
    let counts: StoreCounts = fixture.solo.counts().await?;
    assert_eq!((counts.manifest_requests, counts.chunk_requests), (1, 4));
    assert_eq!(counts.chunk_bytes, 120_000);
    let last = counts.chunks.get(&fixture.manifest.chunks[2]);
    assert_eq!(last, Some(&ChunkCounts { requests: 2, bytes: 40_000 }));
    Ok(())
}

#[actix_rt::test]
async fn corrupts_and_truncates_only_the_next_chunks() -> Result<()> {
    let fixture = StoreFixture::start().await?;
    fixture.solo.set_faults(&json!({ "corrupt": 1, "truncate": 1 })).await?;
    let corrupt = fixture.chunk(0).await?.ok()?;
    assert_eq!(corrupt.body.len() as u64, CHUNK_BYTES);
    assert_ne!(hash_chunk(&corrupt.body), fixture.manifest.chunks[0]);
    assert!(fixture.chunk(0).await.is_err());
    let intact = fixture.chunk(0).await?.ok()?;
    assert_eq!(hash_chunk(&intact.body), fixture.manifest.chunks[0]);
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn concurrent_readers_share_the_rate() {
    let (pacer, start) = (RatePacer::default(), Instant::now());
    let read = async || {
        pacer.throttle(100, 1000).await;
        pacer.throttle(100, 1000).await;
        start.elapsed().as_millis()
    };
    let (first_ms, second_ms) = futures_util::join!(read(), read());
    assert_eq!((first_ms, second_ms), (300, 400));
    pacer.throttle(1 << 30, 0).await;
    assert_eq!(start.elapsed().as_millis(), 400);
}

#[actix_rt::test]
async fn rejects_unknown_and_malformed_requests() -> Result<()> {
    let fixture = StoreFixture::start().await?;
    let (client, address) = (&fixture.solo.client, fixture.solo.address());
    let unknown = hash_chunk(b"unknown");
    assert_eq!(client.get(address, &format!("/v1/chunks/{unknown}")).await?.status, 404);
    assert_eq!(client.get(address, "/v1/chunks/zz").await?.status, 400);
    assert_eq!(client.get(address, &format!("/v1/manifests/{unknown}")).await?.status, 404);
    assert_eq!(client.put(address, "/v1/publish?chunk_bytes=0", "x").await?.status, 400);
    Ok(())
}
