//! Newtypes for names, digests and other identifiers.

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::{DeserializeFromStr, DisplayFromStr, SerializeDisplay, serde_as};
use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a host; unique in the fleet.
    HostName
);
name_type!(
    /// Name of a site (an availability zone).
    SiteName
);
name_type!(
    /// Name of a region: one or more sites connected by fast networks.
    RegionName
);
name_type!(
    /// Name of an organisation (a customer).
    OrganisationName
);
name_type!(
    /// Name of a service: a group of interchangeable targets.
    ServiceName
);
name_type!(
    /// Name of a model or adapter.
    ModelName
);
name_type!(
    /// Name that operators give to a version of a model.
    VersionName
);
name_type!(
    /// Name of a route in the configuration.
    RouteName
);

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[serde_as]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(#[serde_as(as = "Hex")] [u8; 32]);

        impl $name {
            /// Creates a digest from its bytes.
            pub const fn from_bytes(bytes: [u8; 32]) -> Self {
                Self(bytes)
            }

            /// The bytes of the digest.
            pub const fn as_bytes(&self) -> &[u8; 32] {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, ParseNameError> {
                let digest = blake3::Hash::from_hex(text).map_err(|_| ParseNameError)?;
                Ok(Self(*digest.as_bytes()))
            }
        }
    };
}

digest_type!(
    /// BLAKE3 digest of a manifest, which identifies a version of the weights by content.
    VersionDigest
);
digest_type!(
    /// Hash of one chunk of weights. The hash function is given in the manifest.
    ChunkHash
);

/// invalid digest or identifier: not hexadecimal or of the wrong length
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct ParseNameError;

impl std::error::Error for ParseNameError {}

/// Identifies a caller's request across all hops; chosen at random by the entry.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseNameError)
    }
}

/// Generation number of an accepted configuration; strictly increasing.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigGeneration(pub u64);

impl fmt::Display for ConfigGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Distinguishes successive runs of a host's process; chosen at random at process start.
#[serde_as]
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostIncarnation(#[serde_as(as = "DisplayFromStr")] pub u64);
