//! What a request contains that may crash the targets that run it.

use crate::direct::RegisteredTarget;
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_bytes, hash_text};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! fingerprint_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

fingerprint_type!(
    /// Fingerprint of a possible cause of crashes at the targets of one service: a part of a prompt, or a
    /// whole request, for which its lowest bit is set. It is written as 16 hexadecimal digits.
    CauseId
);
fingerprint_type!(
    /// Fingerprint of a crash of a target: of its id and the time of its start. It is written as 16
    /// hexadecimal digits.
    CrashId
);

/// The bit of a cause that tells a whole request from a part of a prompt.
const REQUEST_BIT: u64 = 1;

impl CauseId {
    /// Creates the fingerprint of a part, which hashes to `content`, of the prompts sent to `service`.
    pub fn of_part(service: &ServiceName, content: u64) -> Self {
        Self(combine_hashes(hash_text(service.as_str()), content) & !REQUEST_BIT)
    }

    /// Creates the fingerprint of a whole request to `service` that hashes to `content`.
    pub fn of_request(service: &ServiceName, content: u64) -> Self {
        Self(combine_hashes(hash_text(service.as_str()), content) | REQUEST_BIT)
    }

    /// Returns whether it is the fingerprint of a whole request.
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl CrashId {
    /// Returns the fingerprint of the crash that ends the target's current run.
    pub fn of(target: &RegisteredTarget) -> Self {
        Self(combine_hashes(hash_text(&target.id), target.started_unix_ms))
    }

    /// Returns the fingerprint of the next crash of the target, if it has started again and its
    /// registration does not show it yet.
    pub fn of_next_run(self) -> Self {
        Self(combine_hashes(self.0, 1))
    }
}

/// Returns the possible causes of crashes in a request to `service`, sorted: the parts of its prompt that
/// other requests may share, as hashes in `shared_parts`, and the request as a whole.
pub fn request_causes(
    service: &ServiceName,
    shared_parts: &[u64],
    caller: &str,
    path: &str,
    body: &[u8],
) -> Vec<CauseId> {
    let request =
        combine_hashes(combine_hashes(hash_text(caller), hash_text(path)), hash_bytes(body));
    let parts = shared_parts.iter().map(|part| CauseId::of_part(service, *part));
    let mut causes: Vec<CauseId> = parts.chain([CauseId::of_request(service, request)]).collect();
    causes.sort_unstable();
    causes.dedup();
    causes
}
