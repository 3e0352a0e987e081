//! The life cycle of a version on a host, with one type for each state.
//!
//! Only a [`HeldVersion`], of which every chunk is verified, can be loaded into a target, and only a
//! [`ServingVersion`], which the target itself confirmed, may be advertised.

use crate::prelude::*;
use crate::weights::fence::OrderGrant;
use crate::weights::{ChunkSet, ManifestError, VersionManifest};

/// A version that the configuration names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedVersion {
    digest: VersionDigest,
}

/// A version whose manifest is known and verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchingVersion {
    digest: VersionDigest,
    manifest: Arc<VersionManifest>,
}

/// A version of which every chunk is stored and verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldVersion {
    digest: VersionDigest,
    manifest: Arc<VersionManifest>,
}

/// A version whose load has been ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadingVersion {
    held: HeldVersion,
    grant: OrderGrant,
}

/// A version that the target reports as loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingVersion {
    digest: VersionDigest,
}

/// A version that accepts no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingVersion {
    digest: VersionDigest,
}

/// A version with no requests in flight; it may be unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedVersion {
    digest: VersionDigest,
}

impl WantedVersion {
    /// The version with the digest `digest`.
    pub fn new(digest: VersionDigest) -> Self {
        Self { digest }
    }

    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }

    /// Verifies the manifest, which may come from an untrusted source.
    ///
    /// # Errors
    ///
    /// [`ManifestError`] if it is invalid or belongs to another version.
    pub fn with_manifest(
        &self,
        manifest: VersionManifest,
    ) -> Result<FetchingVersion, ManifestError> {
        manifest.verify(&self.digest)?;
        Ok(FetchingVersion { digest: self.digest, manifest: Arc::new(manifest) })
    }
}

impl FetchingVersion {
    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }

    /// The verified manifest.
    pub fn manifest(&self) -> &Arc<VersionManifest> {
        &self.manifest
    }

    /// The held version, if `held` contains every chunk.
    ///
    /// # Errors
    ///
    /// Returns the version unchanged while chunks are missing.
    pub fn into_held(self, held: &ChunkSet) -> Result<HeldVersion, Self> {
        if held.len() != self.manifest.chunks.len() || !held.is_full() {
            return Err(self);
        }
        Ok(HeldVersion { digest: self.digest, manifest: self.manifest })
    }
}

impl HeldVersion {
    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }

    /// The verified manifest.
    pub fn manifest(&self) -> &Arc<VersionManifest> {
        &self.manifest
    }

    /// The version whose load is ordered under `grant`.
    pub fn into_loading(self, grant: OrderGrant) -> LoadingVersion {
        LoadingVersion { held: self, grant }
    }
}

impl LoadingVersion {
    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.held.digest
    }

    /// The verified manifest.
    pub fn manifest(&self) -> &Arc<VersionManifest> {
        &self.held.manifest
    }

    /// The grant of the order.
    pub fn grant(&self) -> OrderGrant {
        self.grant
    }

    /// Ends the order according to `loaded`, the versions that the target reports as loaded.
    ///
    /// # Errors
    ///
    /// Returns the held version if the target does not list it.
    pub fn confirm(self, loaded: &[VersionDigest]) -> Result<ServingVersion, HeldVersion> {
        match ServingVersion::find(self.held.digest, loaded) {
            Some(serving) => Ok(serving),
            None => Err(self.held),
        }
    }
}

impl ServingVersion {
    /// The version `digest` if the target lists it, no matter which agent ordered the load.
    pub fn find(digest: VersionDigest, loaded: &[VersionDigest]) -> Option<Self> {
        loaded.contains(&digest).then_some(Self { digest })
    }

    /// The version's digest, which may be advertised.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }

    /// Whether the target still lists the version.
    pub fn is_confirmed(&self, loaded: &[VersionDigest]) -> bool {
        loaded.contains(&self.digest)
    }

    /// Stops new requests under the version.
    pub fn drain(self) -> DrainingVersion {
        DrainingVersion { digest: self.digest }
    }
}

impl DrainingVersion {
    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }

    /// The dropped version, if no request is in flight under it.
    ///
    /// # Errors
    ///
    /// Returns the version unchanged while requests are in flight.
    pub fn finish(self, in_flight: u32) -> Result<DroppedVersion, Self> {
        if in_flight > 0 {
            return Err(self);
        }
        Ok(DroppedVersion { digest: self.digest })
    }
}

impl DroppedVersion {
    /// The version's digest.
    pub fn digest(&self) -> VersionDigest {
        self.digest
    }
}
