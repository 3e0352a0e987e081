//! Which configuration is in force: never an older one, never a part of one.

use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigRecord, GenerationHolder, Settlement, SiteConfig,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

fn document(generation: u64) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    let region = RegionName::from(format!("region-{generation}"));
    document.sites.insert("nbo-a".into(), SiteConfig { region });
    document
}

/// The records of `count` runs of apply, each on the one before.
fn history(count: u64) -> Vec<ConfigRecord> {
    let mut records: Vec<ConfigRecord> = Vec::new();
    for generation in 1..=count {
        let id = ApplyId(generation.into());
        records.push(ConfigRecord::on_base(records.last(), id, document(generation)));
    }
    records
}

fn encode(record: &ConfigRecord) -> Vec<u8> {
    record.encode().expect("a small record")
}

fn offer(holder: &mut GenerationHolder, body: &[u8]) -> String {
    match holder.offer(body) {
        Ok(Some(record)) => format!("{} in force", record.generation),
        Ok(None) => format!("{} stays", holder.generation()),
        Err(error) => format!("{} stays: {error}", holder.generation()),
    }
}

#[test]
fn only_newer_whole_records_come_into_force() {
    let records = history(3);
    let bodies: Vec<Vec<u8>> = records.iter().map(encode).collect();
    let mut other_run = records[1].clone();
    other_run.apply_id = ApplyId(99);
    let mut trailing = bodies[2].clone();
    trailing.push(0);
    let mut holder = GenerationHolder::default();
    let steps = [
        ("the second", offer(&mut holder, &bodies[1])),
        ("a stale read", offer(&mut holder, &bodies[0])),
        ("the same again", offer(&mut holder, &bodies[1])),
        ("another run's second", offer(&mut holder, &encode(&other_run))),
        ("nothing", offer(&mut holder, &[])),
        ("half of the third", offer(&mut holder, &bodies[2][..bodies[2].len() / 2])),
        ("the third and a byte", offer(&mut holder, &trailing)),
        ("the third", offer(&mut holder, &bodies[2])),
        ("the second again", offer(&mut holder, &bodies[1])),
    ];
    let lines: Vec<String> = steps.iter().map(|(what, after)| format!("{what}: {after}")).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    the second: 2 in force
    a stale read: 2 stays
    the same again: 2 stays
    another run's second: 2 stays: generation 2 was written by two runs of apply
    nothing: 2 stays: the record is not a whole configuration: Io(Error { kind: UnexpectedEof, message: "failed to fill whole buffer" })
    half of the third: 2 stays: the record is not a whole configuration: Io(Error { kind: UnexpectedEof, message: "failed to fill whole buffer" })
    the third and a byte: 2 stays: the record is not a whole configuration: 1 bytes too many
    the third: 3 in force
    the second again: 3 stays
    "#);
}

#[test]
fn an_announcement_that_the_record_contradicts_is_refused() {
    let records = history(3);
    let mut holder = GenerationHolder::default();
    let wrong = holder.offer_announced(ConfigGeneration(3), &encode(&records[1]));
    insta::assert_snapshot!(wrong.expect_err("a contradiction"), @"the record is of generation 2, not of the announced 3");
    assert_eq!(holder.generation(), ConfigGeneration(0));
    let right = holder.offer_announced(ConfigGeneration(2), &encode(&records[1]));
    assert_eq!(right, Ok(Some(records[1].clone())));
}

#[test]
fn a_record_over_a_megabyte_is_refused() {
    let mut document = document(1);
    for number in 0..30_000 {
        let name = SiteName::from(format!("site-with-a-long-name-{number}"));
        document.sites.insert(name, SiteConfig { region: "nairobi".into() });
    }
    let record = ConfigRecord::on_base(None, ApplyId(1), document);
    let error = record.encode().expect_err("too large");
    insta::assert_snapshot!(error, @"the configuration takes 1339143 bytes, more than the 1 MiB that the key-value service holds");
}

#[test]
fn a_lost_answer_is_settled_by_the_run_that_wrote() {
    let records = history(12);
    let mine = &records[1];
    let mut other = records[1].clone();
    other.apply_id = ApplyId(99);
    let after_other = ConfigRecord::on_base(Some(&other), ApplyId(100), document(3));
    assert_eq!(mine.settle(None), Settlement::Open);
    assert_eq!(mine.settle(Some(&records[0])), Settlement::Open);
    assert_eq!(mine.settle(Some(mine)), Settlement::Accepted);
    assert_eq!(mine.settle(Some(&records[2])), Settlement::Accepted);
    assert_eq!(mine.settle(Some(&records[9])), Settlement::Accepted);
    assert_eq!(mine.settle(Some(&records[10])), Settlement::TooOld);
    assert_eq!(mine.settle(Some(&other)), Settlement::Lost);
    assert_eq!(mine.settle(Some(&after_other)), Settlement::Lost);
}

/// What reaches one process.
#[derive(Debug, Clone)]
enum Delivery {
    /// The service shows generation `shown`, which may be stale.
    Service { process: usize, shown: usize },
    /// A peer sends what it holds.
    Peer { from: usize, to: usize },
    /// A part of a record arrives.
    Part { process: usize, shown: usize, permille: usize },
    /// The process is replaced by one that holds nothing.
    Restart { process: usize },
}

const PROCESSES: usize = 5;
const GENERATIONS: usize = 8;

fn any_delivery() -> impl Strategy<Value = Delivery> {
    let process = 0..PROCESSES;
    let shown = 0..GENERATIONS;
    prop_oneof![
        4 => (process.clone(), shown.clone())
            .prop_map(|(process, shown)| Delivery::Service { process, shown }),
        4 => (process.clone(), process.clone()).prop_map(|(from, to)| Delivery::Peer { from, to }),
        2 => (process.clone(), shown, 0_usize..1000)
            .prop_map(|(process, shown, permille)| Delivery::Part { process, shown, permille }),
        1 => process.prop_map(|process| Delivery::Restart { process }),
    ]
}

proptest! {
    #[test]
    fn no_process_goes_back_and_all_converge(
        deliveries in prop::collection::vec(any_delivery(), 0..120),
    ) {
        let bodies: Vec<Vec<u8>> = history(GENERATIONS as u64).iter().map(encode).collect();
        let mut holders = vec![GenerationHolder::default(); PROCESSES];
        for delivery in deliveries {
            let before: Vec<ConfigGeneration> = holders.iter().map(|h| h.generation()).collect();
            let mut restarted = None;
            match delivery {
                Delivery::Service { process, shown } => {
                    let taken = holders[process].offer(&bodies[shown]);
                    prop_assert_eq!(taken.is_ok_and(|taken| taken.is_some()),
                        before[process].0 < shown as u64 + 1);
                }
                Delivery::Peer { from, to } => {
                    let generation = holders[from].generation();
                    if let Some(at) = generation.0.checked_sub(1) {
                        let body = &bodies[at as usize];
                        prop_assert!(holders[to].offer_announced(generation, body).is_ok());
                    }
                }
                Delivery::Part { process, shown, permille } => {
                    let body = &bodies[shown];
                    let part = &body[..body.len() * permille / 1000];
                    prop_assert!(holders[process].offer(part).is_err());
                }
                Delivery::Restart { process } => {
                    holders[process] = GenerationHolder::default();
                    restarted = Some(process);
                }
            }
            for (process, holder) in holders.iter().enumerate() {
                let kept = holder.generation() >= before[process];
                prop_assert!(kept || restarted == Some(process), "process {} went back", process);
            }
        }
        // One process reads the service, then everyone hears of it from the one before.
        prop_assert!(holders[0].offer(&bodies[GENERATIONS - 1]).is_ok());
        for process in 1..PROCESSES {
            let generation = holders[process - 1].generation();
            let body = &bodies[generation.0 as usize - 1];
            prop_assert!(holders[process].offer_announced(generation, body).is_ok());
        }
        let newest = ConfigGeneration(GENERATIONS as u64);
        prop_assert!(holders.iter().all(|holder| holder.generation() == newest));
    }
}
