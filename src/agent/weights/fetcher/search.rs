//! Finds the manifest of a version.

use super::{FetcherParts, plan_hosts};
use anyhow::{Context, Result};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::lifecycle::{FetchingVersion, WantedVersion};
use buckthornwharf_core::weights::{DistributionPlan, PlanHost};
use bytes::Bytes;
use log::{debug, warn};

/// Timeout of reading a manifest from the origin.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two rounds of requests.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Rounds in which only other hosts are asked, if there are any, before the origin is asked as
/// well.
const ROUNDS_BEFORE_ORIGIN: u32 = 15;

/// Asks other hosts in the order of the plan until a valid manifest of `version` is found. The
/// origin is asked from the first round if the plan names no hosts, else after
/// [`ROUNDS_BEFORE_ORIGIN`].
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
        let sources = manifest_source_hosts(parts, &version.digest());
        for source in &sources {
            match request_from_peer(parts, version, source).await {
                Ok(found) => return found,
                Err(error) => debug!("could not fetch the manifest from host {source}: {error:#}"),
            }
        }
        if sources.is_empty() || round >= ROUNDS_BEFORE_ORIGIN {
            match request_from_origin(parts, version).await {
                Ok(found) => return found,
                Err(error) => warn!("could not fetch the manifest from the origin: {error:#}"),
            }
        }
        round += 1;
        actix_rt::time::sleep(ROUND_DELAY).await;
    }
}

fn manifest_source_hosts(parts: &FetcherParts, digest: &VersionDigest) -> Vec<HostName> {
    let (hosts, store_region) = plan_hosts(parts, digest);
    let own = hosts.iter().find(|plan_host| plan_host.name == parts.settings.host);
    let Some(own) = own.cloned() else {
        return Vec::new();
    };
    let reader = origin_region(&hosts, store_region);
    DistributionPlan::manifest_sources(digest, &own, &hosts, &reader)
}

fn origin_region(hosts: &[PlanHost], store_region: RegionName) -> RegionName {
    if hosts.iter().any(|plan_host| plan_host.region == store_region) {
        return store_region;
    }
    hosts.iter().map(|plan_host| &plan_host.region).min().cloned().unwrap_or(store_region)
}

async fn request_from_peer(
    parts: &FetcherParts,
    version: &WantedVersion,
    source: &HostName,
) -> Result<FetchingVersion> {
    let address = parts.hosts.borrow().iter().find(|host| host.name == *source).map(|h| h.admin);
    let address = address.context("the host is not in the list of hosts")?;
    let json = parts.peers.manifest(address, &version.digest()).await;
    parse_manifest(version, &json.map_err(|failure| anyhow::anyhow!("{failure:?}"))?)
}

async fn request_from_origin(
    parts: &FetcherParts,
    version: &WantedVersion,
) -> Result<FetchingVersion> {
    let json = parts.origin.manifest(&version.digest(), MANIFEST_TIMEOUT).await?;
    parse_manifest(version, &json)
}

fn parse_manifest(version: &WantedVersion, json: &Bytes) -> Result<FetchingVersion> {
    let manifest = serde_json::from_slice(json).context("the manifest is malformed")?;
    Ok(version.with_manifest(manifest)?)
}
