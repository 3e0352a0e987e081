//! Evacuated sites on the links between entries and agents: their form, and their size.

#[path = "support/link_messages.rs"]
mod link_messages;

use buckthornwharf::direct::evacuation::EvacuatedFields;
use buckthornwharf::direct::loads::{AgentMessage, EngineLoad};
use buckthornwharf::direct::news::{DeclaredFields, NewsMessage, VersionNews};
use buckthornwharf_core::direct::{EvacuatedPart, EvacuatedSites, StoreEra, StorePosition};
use buckthornwharf_core::prelude::*;
use link_messages::{encode, sample_load};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of the evacuated sites in a message; a link takes messages of 16 KiB.
const MAX_FIELDS_BYTES: usize = 3 * 1024;

/// The news of an entry that knows no evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierNews {
    current: bool,
    versions: Vec<DeclaredFields>,
}

/// The message of an agent that knows no evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReport {
    engine: SocketAddr,
    requests: u32,
    accepting: bool,
}

fn parts(names: impl Iterator<Item = String>) -> Vec<EvacuatedPart> {
    let position = StorePosition { era: StoreEra::new(3), revision: u64::MAX };
    let value = EvacuatedSites::new(position, names.map(SiteName::from));
    value.parts().expect("few enough parts")
}

#[test]
fn messages_without_evacuations_are_as_before_and_those_with_them_are_understood_by_old_builds() {
    let now = MonoTime::from_millis(5);
    let mut news = VersionNews::default().message(now);
    let earlier = EarlierNews { current: false, versions: Vec::new() };
    assert_eq!(encode(&news), encode(&earlier));
    let read: NewsMessage = ciborium::from_reader(&encode(&earlier)[..]).expect("a message");
    assert_eq!(read, news);
    let mut report = AgentMessage::new(sample_load(), Vec::new());
    let EngineLoad { engine, requests, accepting, .. } = sample_load();
    let earlier_report = EarlierReport { engine, requests, accepting };
    assert_eq!(encode(&report), encode(&earlier_report));

    let part = parts(["a".to_owned()].into_iter()).remove(0);
    news.evacuated = Some(EvacuatedFields::from(part.clone()));
    report.evacuated = news.evacuated.clone();
    let read: EarlierNews = ciborium::from_reader(&encode(&news)[..]).expect("understood");
    assert_eq!(read, earlier);
    let read: EarlierReport = ciborium::from_reader(&encode(&report)[..]).expect("understood");
    assert_eq!(read, earlier_report);
    let read: AgentMessage = ciborium::from_reader(&encode(&report)[..]).expect("a message");
    assert_eq!(read.evacuated.map(EvacuatedPart::from), Some(part));
}

#[test]
fn the_size_of_messages_is_bounded_with_many_sites() {
    let parts = parts((0..1500).map(|number| format!("site-with-a-name-{number}")));
    assert!(parts.len() > 1);
    for part in parts {
        let fields = EvacuatedFields::from(part.clone());
        assert!(encode(&fields).len() <= MAX_FIELDS_BYTES);
        let read: EvacuatedFields = ciborium::from_reader(&encode(&fields)[..]).expect("fields");
        assert_eq!(EvacuatedPart::from(read), part);
    }
}
