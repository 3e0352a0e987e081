//! Messages on links between entries and agents.

use buckthornwharf::direct::loads::EngineLoad;
use serde::Serialize;

/// Returns the bytes of a message on a link.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("CBOR");
    bytes
}

/// Returns the load of an engine with three requests.
pub fn sample_load() -> EngineLoad {
    let engine = "127.0.0.1:1".parse().expect("an address");
    EngineLoad { engine, requests: 3, accepting: true, details: None }
}
