//! A small configuration for tests, benches and the demo: two sites, an engine service and a plain
//! service.

use super::system::ConfigFile;
use buckthornwharf_core::prelude::*;

/// The sites; each is in a region of its own, named by the first three letters.
pub const SAMPLE_SITES: [&str; 2] = ["mba-a", "nbo-a"];
/// Name of the engine service.
pub const ENGINE_SERVICE: &str = "grant-llm";
/// Name of the plain service, for which POST is configured as not idempotent.
pub const PLAIN_SERVICE: &str = "officer-portal";
/// Path of the plain service's route.
pub const PLAIN_PATH: &str = "/portal";
/// Path of the engine service's route.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// API key of the only organisation.
pub const ORGANISATION_KEY: &str = "key of the tea packers";

/// Returns the configuration files in which the engine service serves the version `digest`.
pub fn sample_config(digest: VersionDigest) -> Vec<ConfigFile> {
    vec![
        config_file("10-sites.yaml", sites()),
        config_file("20-models.yaml", models(digest)),
        config_file("30-services.yaml", services()),
        config_file("40-organisations.yaml", organisations()),
        config_file("50-routes.yaml", routes()),
    ]
}

fn config_file(name: &str, text: String) -> ConfigFile {
    ConfigFile { name: name.to_owned(), text }
}

fn sites() -> String {
    let rows = SAMPLE_SITES.map(|site| format!("  {site}:\n    region: {}\n", &site[..3]));
    format!("sites:\n{}", rows.concat())
}

fn models(digest: VersionDigest) -> String {
    format!("models:\n  grant-base:\n    versions:\n      v1:\n        digest: {digest}\n")
}

fn services() -> String {
    format!(
        "services:
  {ENGINE_SERVICE}:
    kind: engine
    model: grant-base
    version: v1
  {PLAIN_SERVICE}:
    kind: plain
"
    )
}

fn organisations() -> String {
    let key_hash = blake3::hash(ORGANISATION_KEY.as_bytes());
    format!("organisations:\n  tea-packers:\n    key_hash: {key_hash}\n")
}

fn routes() -> String {
    format!(
        "routes:
  chat:
    path: {CHAT_PATH}
    service: {ENGINE_SERVICE}
  portal:
    path: {PLAIN_PATH}
    service: {PLAIN_SERVICE}
    non_idempotent: [POST]
"
    )
}
