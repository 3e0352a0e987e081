//! Tests of the configuration exchange over links: patches result in exactly the next record, and a
//! process requests a newer generation from a single peer.

use buckthornwharf_core::config::patch::{decode_patches, encode_patches};
use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigExchange, ConfigPatch, ConfigRecord, ExchangeAction,
    ModelConfig, SiteConfig, VersionConfig,
};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use proptest::prelude::*;

/// A change to a document: whether to a site or a model, its number, and the value that the site's
/// region or the model's version is set to; `None` removes the site or model.
type Change = (bool, u8, Option<u8>);

fn change_document(document: &mut ConfigDocument, change: &Change) {
    let (is_site, number, value) = change;
    match (is_site, value) {
        (true, Some(value)) => {
            let site = SiteConfig { region: format!("region-{value}").into() };
            document.sites.insert(format!("site-{number}").into(), site);
        }
        (true, None) => {
            document.sites.remove(format!("site-{number}").as_str());
        }
        (false, Some(value)) => {
            let digest = VersionDigest::from_bytes([*value; 32]);
            let empty = ModelConfig { base: None, versions: SortedTable::new() };
            let model = document.models.get_or_insert_with(format!("m-{number}").into(), || empty);
            model.versions.insert("1".into(), VersionConfig { digest });
        }
        (false, None) => {
            document.models.remove(format!("m-{number}").as_str());
        }
    }
}

/// The encoded records of successive runs of `apply`, one for each list of changes.
fn history(runs: &[Vec<Change>]) -> Vec<Bytes> {
    let mut bodies = Vec::new();
    let mut record: Option<ConfigRecord> = None;
    for (number, changes) in runs.iter().enumerate() {
        let mut document = record.as_ref().map(|r| r.document.clone()).unwrap_or_default();
        changes.iter().for_each(|change| change_document(&mut document, change));
        let next = ConfigRecord::based_on(record.as_ref(), ApplyId(number as u128), document);
        bodies.push(Bytes::from(next.encode().expect("a small record")));
        record = Some(next);
    }
    bodies
}

/// Runs that declare 50 sites and then change one site each, so that patches are much smaller than
/// records.
fn many_sites() -> Vec<Vec<Change>> {
    let first = (0..50).map(|number| (true, number, Some(number))).collect();
    let changes = (0..30).map(|number| vec![(true, number, Some(200))]);
    std::iter::once(first).chain(changes).collect()
}

/// An exchange in which `generations` became active one after the other.
fn exchange_with(bodies: &[Bytes], generations: std::ops::RangeInclusive<usize>) -> ConfigExchange {
    let mut exchange = ConfigExchange::default();
    for generation in generations {
        let body = bodies[generation - 1].clone();
        exchange.set_active(ConfigGeneration(generation as u64), body);
    }
    exchange
}

fn announcement_of(generation: u64) -> ConfigFrame {
    ConfigFrame { generation: ConfigGeneration(generation), body: Bytes::new() }
}

fn describe(action: &ExchangeAction) -> String {
    let kind = |frame: &ConfigFrame| match decode_patches(&frame.body) {
        _ if frame.body.is_empty() => "announced".to_owned(),
        Ok(Some(patches)) => format!("as {} patches", patches.len()),
        _ => "whole".to_owned(),
    };
    match action {
        ExchangeAction::Nothing => "nothing".to_owned(),
        ExchangeAction::Reply(frame) => format!("reply {} {}", frame.generation, kind(frame)),
        ExchangeAction::Deliver(frame) => format!("deliver {} {}", frame.generation, kind(frame)),
    }
}

#[test]
fn one_announcer_is_asked_and_sends_patches() {
    let at = MonoTime::from_millis;
    let bodies = history(&many_sites());
    let mut newer = exchange_with(&bodies, 1..=20);
    let mut older = exchange_with(&bodies, 1..=18);
    let mut lines = Vec::new();
    let mut note =
        |event: &str, action: &ExchangeAction| lines.push(format!("{event}: {}", describe(action)));
    let request = older.on_frame(at(0), newer.announcement());
    note("older at 18 receives 20", &request);
    note("20 again while the request is pending", &older.on_frame(at(10), announcement_of(20)));
    note("21 while the request is pending", &older.on_frame(at(20), announcement_of(21)));
    note("20 after the retry interval", &older.on_frame(at(1_100), announcement_of(20)));
    let answer = newer.on_frame(at(0), announcement_of(18));
    note("newer at 20 receives 18", &answer);
    note("3, for which no patches are kept", &newer.on_frame(at(0), announcement_of(3)));
    note("0, without a configuration", &newer.on_frame(at(0), announcement_of(0)));
    note("20, the same generation", &newer.on_frame(at(0), announcement_of(20)));
    let ExchangeAction::Reply(frame) = answer else { panic!("a reply is expected") };
    let mut lagging = exchange_with(&bodies, 1..=17);
    note("patches from 18 reach a peer at 17", &lagging.on_frame(at(0), frame.clone()));
    let delivered = older.on_frame(at(1_200), frame);
    note("patches from 18 reach the peer at 18", &delivered);
    insta::assert_snapshot!(lines.join("\n"), @"
    older at 18 receives 20: reply 18 announced
    20 again while the request is pending: nothing
    21 while the request is pending: reply 18 announced
    20 after the retry interval: reply 18 announced
    newer at 20 receives 18: reply 20 as 2 patches
    3, for which no patches are kept: reply 20 whole
    0, without a configuration: reply 20 whole
    20, the same generation: nothing
    patches from 18 reach a peer at 17: reply 0 announced
    patches from 18 reach the peer at 18: deliver 20 whole
    ");
    let ExchangeAction::Deliver(frame) = delivered else { panic!("a delivery is expected") };
    assert_eq!(frame.body, bodies[19]);
}

#[test]
fn an_unanswered_request_is_repeated() {
    let at = MonoTime::from_millis;
    let bodies = history(&many_sites());
    let mut exchange = exchange_with(&bodies, 1..=2);
    assert_eq!(exchange.retry_request(at(0)), None);
    exchange.on_frame(at(0), announcement_of(3));
    assert_eq!(exchange.retry_request(at(900)), None);
    assert_eq!(exchange.retry_request(at(1_000)), Some(announcement_of(2)));
    assert_eq!(exchange.retry_request(at(1_100)), None);
    exchange.set_active(ConfigGeneration(3), bodies[2].clone());
    assert_eq!(exchange.retry_request(at(9_000)), None);
}

#[test]
fn an_older_configuration_does_not_become_active() {
    let bodies = history(&many_sites());
    let mut exchange = exchange_with(&bodies, 1..=4);
    exchange.set_active(ConfigGeneration(2), bodies[1].clone());
    assert_eq!(exchange.announcement(), announcement_of(4));
}

#[test]
fn a_corrupted_patch_results_in_no_other_record() {
    let bodies = history(&many_sites());
    let patch = ConfigPatch::between(&bodies[3], &bodies[4]).expect("two records");
    let encoded = encode_patches(&[&patch]).expect("a small patch");
    assert!(encoded.len() < bodies[4].len() / 4, "{} of {}", encoded.len(), bodies[4].len());
    let mut accepted = Vec::new();
    for index in 0..encoded.len() {
        let mut corrupted = encoded.clone();
        corrupted[index] ^= 0x01;
        let Ok(Some(patches)) = decode_patches(&corrupted) else { continue };
        let results = patches.iter().filter_map(|patch| patch.apply(&bodies[3]).ok());
        accepted.extend(results);
    }
    // A bit flip may leave the patch valid, but it never results in another record.
    assert!(accepted.iter().all(|body| *body == bodies[4]));
}

fn any_runs() -> impl Strategy<Value = Vec<Vec<Change>>> {
    let change = (any::<bool>(), 0_u8..6, prop::option::of(any::<u8>()));
    prop::collection::vec(prop::collection::vec(change, 0..6), 2..8)
}

proptest! {
    #[test]
    fn patches_result_in_exactly_the_next_record(runs in any_runs()) {
        let bodies = history(&runs);
        for pair in bodies.windows(2) {
            let patch = ConfigPatch::between(&pair[0], &pair[1]).expect("two records");
            let encoded = encode_patches(&[&patch]).expect("a small patch");
            let decoded = decode_patches(&encoded).expect("valid patches").expect("an array");
            prop_assert_eq!(decoded[0].apply(&pair[0]), Ok(pair[1].to_vec()));
            prop_assert!(decoded[0].apply(&pair[1]).is_err());
        }
    }

    /// Processes in a ring receive generations at random and exchange frames, which may be lost but
    /// stay in order on each link. No process goes back to an older generation, and all converge on
    /// the newest once no frame is lost.
    #[test]
    fn a_ring_converges_and_never_goes_back(
        runs in any_runs(),
        events in prop::collection::vec((0_usize..4, 0_usize..8, any::<bool>()), 0..40),
    ) {
        let bodies = history(&runs);
        let mut ring = RingModel::new(bodies.clone());
        for (process, generation, is_lost) in events {
            ring.activate(process, generation % bodies.len());
            ring.announce(process, is_lost)?;
        }
        ring.activate(0, bodies.len() - 1);
        for _ in 0..RingModel::SIZE {
            for process in 0..RingModel::SIZE {
                ring.announce(process, false)?;
            }
        }
        let newest = ConfigGeneration(bodies.len() as u64);
        prop_assert!(ring.exchanges.iter().all(|e| e.announcement().generation == newest));
    }

    #[test]
    fn exchange_does_not_panic_on_any_body(body in prop::collection::vec(any::<u8>(), 0..80)) {
        let mut exchange = exchange_with(&history(&many_sites()), 1..=2);
        let frame = ConfigFrame { generation: ConfigGeneration(9), body: body.into() };
        let _ = exchange.on_frame(MonoTime::ZERO, frame);
    }
}

/// Processes in a ring, each of which announces its generation to the next.
struct RingModel {
    bodies: Vec<Bytes>,
    exchanges: Vec<ConfigExchange>,
    now: MonoTime,
}

impl RingModel {
    const SIZE: usize = 4;

    fn new(bodies: Vec<Bytes>) -> Self {
        let exchanges = (0..Self::SIZE).map(|_| ConfigExchange::default()).collect();
        Self { bodies, exchanges, now: MonoTime::ZERO }
    }

    fn activate(&mut self, process: usize, index: usize) {
        let generation = ConfigGeneration(index as u64 + 1);
        self.exchanges[process].set_active(generation, self.bodies[index].clone());
    }

    fn announce(&mut self, from: usize, is_lost: bool) -> Result<(), TestCaseError> {
        // Longer than the retry interval, so that a pending request does not suppress a new one.
        self.now = self.now + Duration::from_secs(2);
        let to = (from + 1) % Self::SIZE;
        let mut frame = self.exchanges[from].announcement();
        let (mut sender, mut receiver) = (from, to);
        for _ in 0..6 {
            match self.exchanges[receiver].on_frame(self.now, frame) {
                ExchangeAction::Reply(_) if is_lost => break,
                ExchangeAction::Reply(reply) => frame = reply,
                ExchangeAction::Deliver(whole) => {
                    let active = self.exchanges[receiver].announcement().generation;
                    prop_assert!(whole.generation > active);
                    let index = whole.generation.0 as usize - 1;
                    prop_assert_eq!(&whole.body, &self.bodies[index]);
                    self.activate(receiver, index);
                    break;
                }
                ExchangeAction::Nothing => break,
            }
            std::mem::swap(&mut sender, &mut receiver);
        }
        Ok(())
    }
}
