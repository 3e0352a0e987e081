//! Tests of the active configuration: it is never replaced by an older or a truncated record.

use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigRecord, GenerationTracker, SiteConfig, WriteOutcome,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

fn document(generation: u64) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    let region = RegionName::from(format!("region-{generation}"));
    document.sites.insert("nbo-a".into(), SiteConfig { region });
    document
}

/// The records of `count` successive runs of `apply`.
fn history(count: u64) -> Vec<ConfigRecord> {
    let mut records: Vec<ConfigRecord> = Vec::new();
    for generation in 1..=count {
        let id = ApplyId(generation.into());
        records.push(ConfigRecord::based_on(records.last(), id, document(generation)));
    }
    records
}

fn encode(record: &ConfigRecord) -> Vec<u8> {
    record.encode().expect("a small record")
}

fn offer(tracker: &mut GenerationTracker, body: &[u8]) -> String {
    match tracker.offer(body) {
        Ok(Some(record)) => format!("{} becomes active", record.generation),
        Ok(None) => format!("{} stays active", tracker.generation()),
        Err(error) => format!("{} stays active: {error}", tracker.generation()),
    }
}

#[test]
fn only_newer_whole_records_become_active() {
    let records = history(3);
    let bodies: Vec<Vec<u8>> = records.iter().map(encode).collect();
    let mut other_run = records[1].clone();
    other_run.apply_id = ApplyId(99);
    let mut trailing = bodies[2].clone();
    trailing.push(0);
    let mut tracker = GenerationTracker::default();
    let steps = [
        ("generation 2", offer(&mut tracker, &bodies[1])),
        ("generation 1, a stale read", offer(&mut tracker, &bodies[0])),
        ("generation 2 again", offer(&mut tracker, &bodies[1])),
        ("generation 2 of another run", offer(&mut tracker, &encode(&other_run))),
        ("an empty body", offer(&mut tracker, &[])),
        ("half of generation 3", offer(&mut tracker, &bodies[2][..bodies[2].len() / 2])),
        ("generation 3 with a trailing byte", offer(&mut tracker, &trailing)),
        ("generation 3", offer(&mut tracker, &bodies[2])),
        ("generation 2 after 3", offer(&mut tracker, &bodies[1])),
    ];
    let lines: Vec<String> =
        steps.iter().map(|(offered, result)| format!("{offered}: {result}")).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    generation 2: 2 becomes active
    generation 1, a stale read: 2 stays active
    generation 2 again: 2 stays active
    generation 2 of another run: 2 stays active: generation 2 was written by two different runs of apply
    an empty body: 2 stays active: the record is not a valid configuration: Io(Error { kind: UnexpectedEof, message: "failed to fill whole buffer" })
    half of generation 3: 2 stays active: the record is not a valid configuration: Io(Error { kind: UnexpectedEof, message: "failed to fill whole buffer" })
    generation 3 with a trailing byte: 2 stays active: the record is not a valid configuration: 1 unexpected bytes after the record
    generation 3: 3 becomes active
    generation 2 after 3: 3 stays active
    "#);
}

#[test]
fn a_record_of_another_generation_than_announced_is_refused() {
    let records = history(3);
    let mut tracker = GenerationTracker::default();
    let mismatch = tracker.offer_announced(ConfigGeneration(3), &encode(&records[1]));
    insta::assert_snapshot!(mismatch.expect_err("generation mismatch"), @"the record has generation 2, but generation 3 was announced");
    assert_eq!(tracker.generation(), ConfigGeneration(0));
    let accepted = tracker.offer_announced(ConfigGeneration(2), &encode(&records[1]));
    assert_eq!(accepted, Ok(Some(records[1].clone())));
}

#[test]
fn a_record_over_a_megabyte_is_refused() {
    let mut document = document(1);
    for number in 0..30_000 {
        let name = SiteName::from(format!("site-with-a-long-name-{number}"));
        document.sites.insert(name, SiteConfig { region: "nairobi".into() });
    }
    let record = ConfigRecord::based_on(None, ApplyId(1), document);
    let error = record.encode().expect_err("too large");
    insta::assert_snapshot!(error, @"the configuration takes 1339143 bytes, more than the 1 MiB that the key-value service stores under one key");
}

#[test]
fn the_outcome_of_a_write_is_derived_from_the_record_read_back() {
    let records = history(12);
    let own = &records[1];
    let mut other = records[1].clone();
    other.apply_id = ApplyId(99);
    let after_other = ConfigRecord::based_on(Some(&other), ApplyId(100), document(3));
    assert_eq!(own.write_outcome(None), WriteOutcome::Undecided);
    assert_eq!(own.write_outcome(Some(&records[0])), WriteOutcome::Undecided);
    assert_eq!(own.write_outcome(Some(own)), WriteOutcome::Accepted);
    assert_eq!(own.write_outcome(Some(&records[2])), WriteOutcome::Accepted);
    assert_eq!(own.write_outcome(Some(&records[9])), WriteOutcome::Accepted);
    assert_eq!(own.write_outcome(Some(&records[10])), WriteOutcome::Unknown);
    assert_eq!(own.write_outcome(Some(&other)), WriteOutcome::LostRace);
    assert_eq!(own.write_outcome(Some(&after_other)), WriteOutcome::LostRace);
}

/// An event that delivers a record to a process, or restarts it.
#[derive(Debug, Clone)]
enum Delivery {
    /// The process reads the record at index `record` from the key-value service; it may be stale.
    Read { process: usize, record: usize },
    /// A peer sends its active record.
    Peer { from: usize, to: usize },
    /// A record arrives truncated to `permille` thousandths of its length.
    Truncated { process: usize, record: usize, permille: usize },
    /// The process restarts without a configuration.
    Restart { process: usize },
}

const PROCESSES: usize = 5;
const GENERATIONS: usize = 8;

fn any_delivery() -> impl Strategy<Value = Delivery> {
    let process = 0..PROCESSES;
    let record = 0..GENERATIONS;
    prop_oneof![
        4 => (process.clone(), record.clone())
            .prop_map(|(process, record)| Delivery::Read { process, record }),
        4 => (process.clone(), process.clone()).prop_map(|(from, to)| Delivery::Peer { from, to }),
        2 => (process.clone(), record, 0_usize..1000)
            .prop_map(|(process, record, permille)| Delivery::Truncated { process, record, permille }),
        1 => process.prop_map(|process| Delivery::Restart { process }),
    ]
}

proptest! {
    /// Under any order of reads, peer frames, truncated records and restarts, no process returns to
    /// an older generation, and all converge on the newest.
    #[test]
    fn no_process_goes_back_and_all_converge(
        deliveries in prop::collection::vec(any_delivery(), 0..120),
    ) {
        let bodies: Vec<Vec<u8>> = history(GENERATIONS as u64).iter().map(encode).collect();
        let mut trackers = vec![GenerationTracker::default(); PROCESSES];
        for delivery in deliveries {
            let before: Vec<ConfigGeneration> = trackers.iter().map(|h| h.generation()).collect();
            let mut restarted = None;
            match delivery {
                Delivery::Read { process, record } => {
                    let offered = trackers[process].offer(&bodies[record]);
                    prop_assert_eq!(offered.is_ok_and(|activated| activated.is_some()),
                        before[process].0 < record as u64 + 1);
                }
                Delivery::Peer { from, to } => {
                    let generation = trackers[from].generation();
                    if let Some(index) = generation.0.checked_sub(1) {
                        let body = &bodies[index as usize];
                        prop_assert!(trackers[to].offer_announced(generation, body).is_ok());
                    }
                }
                Delivery::Truncated { process, record, permille } => {
                    let body = &bodies[record];
                    let truncated = &body[..body.len() * permille / 1000];
                    prop_assert!(trackers[process].offer(truncated).is_err());
                }
                Delivery::Restart { process } => {
                    trackers[process] = GenerationTracker::default();
                    restarted = Some(process);
                }
            }
            for (process, tracker) in trackers.iter().enumerate() {
                let is_monotonic = tracker.generation() >= before[process];
                prop_assert!(
                    is_monotonic || restarted == Some(process),
                    "process {} went back",
                    process
                );
            }
        }
        // One process reads the newest record, then each process sends it to the next.
        prop_assert!(trackers[0].offer(&bodies[GENERATIONS - 1]).is_ok());
        for process in 1..PROCESSES {
            let generation = trackers[process - 1].generation();
            let body = &bodies[generation.0 as usize - 1];
            prop_assert!(trackers[process].offer_announced(generation, body).is_ok());
        }
        let newest = ConfigGeneration(GENERATIONS as u64);
        prop_assert!(trackers.iter().all(|tracker| tracker.generation() == newest));
    }
}
