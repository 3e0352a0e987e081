//! The spread of weights: manifests, the plan of who fetches what from whom, fetches, and the life
//! cycle of a version on a host.

pub mod manifest;

pub use manifest::{ManifestError, VersionManifest};
