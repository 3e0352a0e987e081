//! The search for the manifest of a version.

use super::{FetcherParts, places_of};
use anyhow::{Context, Result};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::lifecycle::{FetchingVersion, WantedVersion};
use buckthornwharf_core::weights::{DistributionPlan, PlanHost};
use bytes::Bytes;
use log::{debug, warn};

const MANIFEST_TIMEOUT: Duration = Duration::from_secs(10);
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Rounds in which only other hosts are asked, if there are any.
const ROUNDS_BEFORE_ORIGIN: u32 = 15;

/// Asks other hosts in the plan's order, and the origin first if the plan says so, until a manifest
/// of `version` is found.
pub(super) async fn find_manifest(
    parts: &FetcherParts,
    version: &WantedVersion,
) -> FetchingVersion {
    if let Some(manifest) = parts.store.manifest(&version.digest())
        && let Ok(found) = version.with_manifest((*manifest).clone())
    {
        return found;
    }
    let mut round = 0;
    loop {
        let sources = sources_of(parts, &version.digest());
        for source in &sources {
            match ask_peer(parts, version, source).await {
                Ok(found) => return found,
                Err(error) => debug!("no manifest from {source}: {error:#}"),
            }
        }
        if sources.is_empty() || round >= ROUNDS_BEFORE_ORIGIN {
            match ask_origin(parts, version).await {
                Ok(found) => return found,
                Err(error) => warn!("no manifest from the origin: {error:#}"),
            }
        }
        round += 1;
        actix_rt::time::sleep(ROUND_PAUSE).await;
    }
}

fn sources_of(parts: &FetcherParts, digest: &VersionDigest) -> Vec<HostName> {
    let (places, store_region) = places_of(parts, digest);
    let own = places.iter().find(|place| place.name == parts.settings.host);
    let Some(own) = own.cloned() else {
        return Vec::new();
    };
    let reader = reader_region(&places, store_region);
    DistributionPlan::manifest_sources(digest, &own, &places, &reader)
}

fn reader_region(places: &[PlanHost], store_region: RegionName) -> RegionName {
    if places.iter().any(|place| place.region == store_region) {
        return store_region;
    }
    places.iter().map(|place| &place.region).min().cloned().unwrap_or(store_region)
}

async fn ask_peer(
    parts: &FetcherParts,
    version: &WantedVersion,
    source: &HostName,
) -> Result<FetchingVersion> {
    let address = parts.hosts.borrow().iter().find(|host| host.name == *source).map(|h| h.admin);
    let address = address.context("the host is not listed")?;
    let json = parts.peers.manifest(address, &version.digest()).await;
    parse(version, &json.map_err(|failure| anyhow::anyhow!("{failure:?}"))?)
}

async fn ask_origin(parts: &FetcherParts, version: &WantedVersion) -> Result<FetchingVersion> {
    let json = parts.origin.manifest(&version.digest(), MANIFEST_TIMEOUT).await?;
    parse(version, &json)
}

fn parse(version: &WantedVersion, json: &Bytes) -> Result<FetchingVersion> {
    let manifest = serde_json::from_slice(json).context("the manifest is malformed")?;
    Ok(version.with_manifest(manifest)?)
}
