//! How the configuration spreads over links: patches that lead to exactly the next record, and who
//! asks whom.

use buckthornwharf_core::config::patch::{decode_patches, encode_patches};
use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigExchange, ConfigPatch, ConfigRecord, ExchangeAction,
    ModelConfig, SiteConfig, VersionConfig,
};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use proptest::prelude::*;

/// A change of a document: what it sets a site's region or a model's version to, or removes.
type Change = (bool, u8, Option<u8>);

fn change_document(document: &mut ConfigDocument, change: &Change) {
    let (is_site, name, value) = change;
    match (is_site, value) {
        (true, Some(value)) => {
            let site = SiteConfig { region: format!("region-{value}").into() };
            document.sites.insert(format!("site-{name}").into(), site);
        }
        (true, None) => {
            document.sites.remove(format!("site-{name}").as_str());
        }
        (false, Some(value)) => {
            let digest = VersionDigest::from_bytes([*value; 32]);
            let empty = ModelConfig { base: None, versions: SortedTable::new() };
            let model = document.models.get_or_insert_with(format!("m-{name}").into(), || empty);
            model.versions.insert("1".into(), VersionConfig { digest });
        }
        (false, None) => {
            document.models.remove(format!("m-{name}").as_str());
        }
    }
}

/// The encoded records of successive runs of apply, each with its changes.
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

fn many_sites() -> Vec<Vec<Change>> {
    let first = (0..50).map(|name| (true, name, Some(name))).collect();
    let changes = (0..30).map(|number| vec![(true, number, Some(200))]);
    std::iter::once(first).chain(changes).collect()
}

fn holder(bodies: &[Bytes], generations: std::ops::RangeInclusive<usize>) -> ConfigExchange {
    let mut exchange = ConfigExchange::default();
    for generation in generations {
        let body = bodies[generation - 1].clone();
        exchange.set_active(ConfigGeneration(generation as u64), body);
    }
    exchange
}

fn announced(generation: u64) -> ConfigFrame {
    ConfigFrame { generation: ConfigGeneration(generation), body: Bytes::new() }
}

fn describe(step: &ExchangeAction) -> String {
    let kind = |frame: &ConfigFrame| match decode_patches(&frame.body) {
        _ if frame.body.is_empty() => "announced".to_owned(),
        Ok(Some(patches)) => format!("as {} patches", patches.len()),
        _ => "whole".to_owned(),
    };
    match step {
        ExchangeAction::Nothing => "nothing".to_owned(),
        ExchangeAction::Reply(frame) => format!("reply {} {}", frame.generation, kind(frame)),
        ExchangeAction::Deliver(frame) => format!("deliver {} {}", frame.generation, kind(frame)),
    }
}

#[test]
fn one_announcer_is_asked_and_sends_what_changed() {
    let at = MonoTime::from_millis;
    let bodies = history(&many_sites());
    let mut newer = holder(&bodies, 1..=20);
    let mut older = holder(&bodies, 1..=18);
    let mut lines = Vec::new();
    let mut note =
        |what: &str, step: &ExchangeAction| lines.push(format!("{what}: {}", describe(step)));
    let ask = older.on_frame(at(0), newer.announcement());
    note("the older one hears of 20", &ask);
    note("and again", &older.on_frame(at(10), announced(20)));
    note("and of 21", &older.on_frame(at(20), announced(21)));
    note("and of 20 after a second", &older.on_frame(at(1_100), announced(20)));
    let answer = newer.on_frame(at(0), announced(18));
    note("the newer one is asked from 18", &answer);
    note("from 3, longer ago than patches are kept", &newer.on_frame(at(0), announced(3)));
    note("from nothing", &newer.on_frame(at(0), announced(0)));
    note("by an equal", &newer.on_frame(at(0), announced(20)));
    let ExchangeAction::Reply(frame) = answer else { panic!("a reply is expected") };
    let mut lagging = holder(&bodies, 1..=17);
    note("patches reach one that holds 17", &lagging.on_frame(at(0), frame.clone()));
    let delivered = older.on_frame(at(1_200), frame);
    note("patches reach the older one", &delivered);
    insta::assert_snapshot!(lines.join("\n"), @"
    the older one hears of 20: reply 18 announced
    and again: nothing
    and of 21: reply 18 announced
    and of 20 after a second: reply 18 announced
    the newer one is asked from 18: reply 20 as 2 patches
    from 3, longer ago than patches are kept: reply 20 whole
    from nothing: reply 20 whole
    by an equal: nothing
    patches reach one that holds 17: reply 0 announced
    patches reach the older one: deliver 20 whole
    ");
    let ExchangeAction::Deliver(frame) = delivered else { panic!("a delivery is expected") };
    assert_eq!(frame.body, bodies[19]);
}

#[test]
fn a_generation_that_does_not_come_is_asked_for_again() {
    let at = MonoTime::from_millis;
    let bodies = history(&many_sites());
    let mut exchange = holder(&bodies, 1..=2);
    assert_eq!(exchange.retry_request(at(0)), None);
    exchange.on_frame(at(0), announced(3));
    assert_eq!(exchange.retry_request(at(900)), None);
    assert_eq!(exchange.retry_request(at(1_000)), Some(announced(2)));
    assert_eq!(exchange.retry_request(at(1_100)), None);
    exchange.set_active(ConfigGeneration(3), bodies[2].clone());
    assert_eq!(exchange.retry_request(at(9_000)), None);
}

#[test]
fn an_older_configuration_is_not_taken_over() {
    let bodies = history(&many_sites());
    let mut exchange = holder(&bodies, 1..=4);
    exchange.set_active(ConfigGeneration(2), bodies[1].clone());
    assert_eq!(exchange.announcement(), announced(4));
}

#[test]
fn a_changed_patch_is_refused() {
    let bodies = history(&many_sites());
    let patch = ConfigPatch::between(&bodies[3], &bodies[4]).expect("two records");
    let encoded = encode_patches(&[&patch]).expect("a small patch");
    assert!(encoded.len() < bodies[4].len() / 4, "{} of {}", encoded.len(), bodies[4].len());
    let mut accepted = Vec::new();
    for at in 0..encoded.len() {
        let mut changed = encoded.clone();
        changed[at] ^= 0x01;
        let Ok(Some(patches)) = decode_patches(&changed) else { continue };
        let results = patches.iter().filter_map(|patch| patch.apply(&bodies[3]).ok());
        accepted.extend(results);
    }
    // A bit that does not matter may flip, but no other record comes of it.
    assert!(accepted.iter().all(|body| *body == bodies[4]));
}

fn any_runs() -> impl Strategy<Value = Vec<Vec<Change>>> {
    let change = (any::<bool>(), 0_u8..6, prop::option::of(any::<u8>()));
    prop::collection::vec(prop::collection::vec(change, 0..6), 2..8)
}

proptest! {
    #[test]
    fn patches_lead_to_exactly_the_next_record(runs in any_runs()) {
        let bodies = history(&runs);
        for pair in bodies.windows(2) {
            let patch = ConfigPatch::between(&pair[0], &pair[1]).expect("two records");
            let encoded = encode_patches(&[&patch]).expect("a small patch");
            let decoded = decode_patches(&encoded).expect("sound").expect("an array");
            prop_assert_eq!(decoded[0].apply(&pair[0]), Ok(pair[1].to_vec()));
            prop_assert!(decoded[0].apply(&pair[1]).is_err());
        }
    }

    /// Processes in a ring hear of generations at random and exchange frames that may be lost, in
    /// order on each link. None goes back, and all converge once the links work.
    #[test]
    fn a_ring_converges_and_never_goes_back(
        runs in any_runs(),
        events in prop::collection::vec((0_usize..4, 0_usize..8, any::<bool>()), 0..40),
    ) {
        let bodies = history(&runs);
        let mut ring = RingModel::new(bodies.clone());
        for (process, generation, is_lost) in events {
            ring.learn(process, generation % bodies.len());
            ring.announce(process, is_lost)?;
        }
        ring.learn(0, bodies.len() - 1);
        for _ in 0..RingModel::SIZE {
            for process in 0..RingModel::SIZE {
                ring.announce(process, false)?;
            }
        }
        let newest = ConfigGeneration(bodies.len() as u64);
        prop_assert!(ring.exchanges.iter().all(|e| e.announcement().generation == newest));
    }

    #[test]
    fn no_body_makes_the_exchange_panic(body in prop::collection::vec(any::<u8>(), 0..80)) {
        let mut exchange = holder(&history(&many_sites()), 1..=2);
        let frame = ConfigFrame { generation: ConfigGeneration(9), body: body.into() };
        let _ = exchange.on_frame(MonoTime::ZERO, frame);
    }
}

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

    fn learn(&mut self, process: usize, at: usize) {
        let generation = ConfigGeneration(at as u64 + 1);
        self.exchanges[process].set_active(generation, self.bodies[at].clone());
    }

    fn announce(&mut self, from: usize, is_lost: bool) -> Result<(), TestCaseError> {
        // Enough time for what was asked of others to be asked again.
        self.now = self.now + Duration::from_secs(2);
        let to = (from + 1) % Self::SIZE;
        let mut frame = self.exchanges[from].announcement();
        let (mut sender, mut receiver) = (from, to);
        for _ in 0..6 {
            match self.exchanges[receiver].on_frame(self.now, frame) {
                ExchangeAction::Reply(_) if is_lost => break,
                ExchangeAction::Reply(reply) => frame = reply,
                ExchangeAction::Deliver(whole) => {
                    let held = self.exchanges[receiver].announcement().generation;
                    prop_assert!(whole.generation > held);
                    let at = whole.generation.0 as usize - 1;
                    prop_assert_eq!(&whole.body, &self.bodies[at]);
                    self.learn(receiver, at);
                    break;
                }
                ExchangeAction::Nothing => break,
            }
            std::mem::swap(&mut sender, &mut receiver);
        }
        Ok(())
    }
}
