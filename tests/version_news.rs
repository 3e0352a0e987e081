//! News of declared versions: when they are sent, and their form on a link.

#[path = "support/link_messages.rs"]
mod link_messages;

use buckthornwharf::direct::demand::{DemandMessage, EntryMessage};
use buckthornwharf::direct::loads::{AgentMessage, EngineDetails, EngineLoad};
use buckthornwharf::direct::news::{DeclaredFields, NEWS_INTERVAL, NewsRepeat, VersionNews};
use buckthornwharf_core::direct::DeclaredVersion;
use buckthornwharf_core::prelude::*;
use link_messages::{encode, sample_load};
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;

const DECLARED_AT: MonoTime = MonoTime::from_millis(100_000);
const VERSION_TIME: Duration = Duration::from_secs(8);

fn declared(version: u64, declared_at: MonoTime) -> DeclaredVersion {
    let required_from = declared_at + VERSION_TIME;
    DeclaredVersion { version, declared_at, required_from, begin_by: required_from }
}

/// The message of an agent that knows no news.
#[derive(Serialize)]
struct EarlierMessage {
    engine: SocketAddr,
    requests: u32,
    accepting: bool,
}

#[test]
fn changed_declarations_are_passed_on_at_once_and_repeated_until_they_are_required() {
    let mut news = VersionNews::default();
    let mut repeat = NewsRepeat::default();
    let model = ModelName::from("m");
    assert!(news.declare(&model, declared(2, DECLARED_AT)));
    let at = |millis| DECLARED_AT + Duration::from_millis(millis);
    let mut count = |now, news: &VersionNews| repeat.due_versions(now, news).len();
    assert_eq!(count(at(0), &news), 1);
    assert_eq!(count(at(500), &news), 0, "nothing has changed");
    assert!(news.declare(&model, declared(2, DECLARED_AT - Duration::from_secs(3))));
    assert_eq!(count(at(600), &news), 1, "the time was corrected");
    assert!(news.declare(&model, declared(3, at(700))));
    assert_eq!(count(at(700), &news), 2, "both decide which versions may be used");
    assert_eq!(count(at(700) + NEWS_INTERVAL, &news), 2, "repeated");
    assert_eq!(count(at(6000), &news), 2, "version 2 is required, and 3 will be");
    assert_eq!(count(at(9000), &news), 0, "version 3 is required");
}

#[test]
fn an_age_of_any_size_is_read() {
    for (age, declared_at) in [(400_u64, MonoTime::from_millis(99_600)), (u64::MAX, MonoTime::ZERO)]
    {
        let fields = json!({ "model": "m", "version": 2, "age": age });
        let fields: DeclaredFields = serde_json::from_value(fields).expect("valid fields");
        assert_eq!(fields.declared_at(DECLARED_AT), declared_at);
    }
}

#[test]
fn messages_with_and_without_news_are_understood_by_both_sides() {
    let EngineLoad { engine, requests, accepting, .. } = sample_load();
    let earlier = encode(&EarlierMessage { engine, requests, accepting });
    assert_eq!(encode(&AgentMessage::new(sample_load(), Vec::new())), earlier);
    let message: AgentMessage = ciborium::from_reader(&earlier[..]).expect("a message");
    assert_eq!((message.load(), message.versions), (sample_load(), Vec::new()));
}

/// Demand is told to agents by each entry up to four times a second, so its messages must stay small.
#[test]
fn a_part_by_demand_is_left_out_unless_it_is_known() {
    let message = AgentMessage::new(sample_load(), Vec::new());
    assert_eq!(encode(&message.clone().with_part(None)), encode(&message));
    let with_part = message.with_part(Some(800));
    let bytes = encode(&with_part);
    assert_eq!(bytes.len() - encode(&AgentMessage::new(sample_load(), Vec::new())).len(), 8);
    let read: AgentMessage = ciborium::from_reader(&bytes[..]).expect("a message");
    assert_eq!(read, with_part);
}

/// News of an entry that tells no demand, and demand, arrive on the same link.
#[test]
fn an_agent_tells_news_and_demand_apart() {
    let demand = DemandMessage { demand: [90_000, 90_000, 90_000, 90_000] };
    let bytes = encode(&demand);
    assert!(bytes.len() <= 29, "{} bytes", bytes.len());
    let read: EntryMessage = ciborium::from_reader(&bytes[..]).expect("a message");
    assert_eq!(read, EntryMessage::Demand(demand));
    let news = VersionNews::default().message(DECLARED_AT);
    let read: EntryMessage = ciborium::from_reader(&encode(&news)[..]).expect("a message");
    assert_eq!(read, EntryMessage::News(news));
}

/// Guards against entries of an earlier build that lose the load of agents that report more than it, and
/// against pace and memory that do not reach an entry.
#[test]
fn a_report_of_pace_and_memory_is_understood_by_entries_that_know_of_none() {
    #[derive(serde::Deserialize)]
    struct EarlierFields {
        requests: u32,
        accepting: bool,
    }
    let details = EngineDetails { pace: Some(250), waiting: 1, memory: Some(60) };
    let load = EngineLoad { details: Some(details), ..sample_load() };
    let bytes = encode(&AgentMessage::new(load, Vec::new()));
    let message: AgentMessage = ciborium::from_reader(&bytes[..]).expect("a message");
    assert_eq!(message.load(), load);
    let state = message.load().engine_state().expect("a state");
    assert_eq!((state.pace, state.waiting, state.running), (Some(2.5), 1, 2));
    assert_eq!(state.memory_part, Some(0.6));
    let earlier: EarlierFields = ciborium::from_reader(&bytes[..]).expect("a message");
    assert_eq!((earlier.requests, earlier.accepting), (3, true));
    let plain = encode(&AgentMessage::new(sample_load(), Vec::new()));
    assert!(bytes.len() <= plain.len() + 40, "{} and {} bytes", bytes.len(), plain.len());
}
