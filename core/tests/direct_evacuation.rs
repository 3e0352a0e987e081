//! Evacuated sites: which value holds, their form in messages, and what it means for requests.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::evacuation::{MAX_PART_BYTES, MAX_PARTS};
use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, EvacuatedSites, EvacuationReader, EvacuationRepeat, EvacuationState,
    RegisteredTarget, SlotGrant, SlotRequest, SlotScheduler, StoreEra, StorePosition,
    WaitAllowance,
};
use buckthornwharf_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use slot_samples::{sample_request, sample_target};
use std::collections::{BTreeMap, BTreeSet};

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra::new(era), revision }
}

fn value(era: u64, revision: u64, sites: &[&str]) -> EvacuatedSites {
    EvacuatedSites::new(position(era, revision), sites.iter().map(|site| SiteName::from(*site)))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

type SiteSet = BTreeSet<SiteName>;

/// Sites of the simulated store; more than fit into one part.
fn site(number: usize) -> SiteName {
    SiteName::from(format!("{number}-{}", "x".repeat(MAX_PART_BYTES / 3)))
}

const SITES: usize = 6;
const PROCESSES: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    /// The operator evacuates the site, or withdraws that.
    Toggle(usize),
    /// The operator evacuates all sites, or withdraws all.
    All(bool),
    /// Another key changes.
    OtherKey,
    /// The store is set back by this many revisions.
    SetBack(u64),
    /// The process reads the store anew.
    Read(usize),
    /// The process gets the changes since it read the store.
    Watch(usize),
    /// The first process sends what it knows to the second one, up to this many messages.
    Send(usize, usize, usize),
    /// The process starts again without what it knew.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..SITES).prop_map(Step::Toggle),
        1 => any::<bool>().prop_map(Step::All),
        1 => Just(Step::OtherKey),
        1 => (0..8_u64).prop_map(Step::SetBack),
        2 => (0..PROCESSES).prop_map(Step::Read),
        4 => (0..PROCESSES).prop_map(Step::Watch),
        6 => (0..PROCESSES, 0..PROCESSES, 1..=SITES)
            .prop_map(|(from, to, messages)| Step::Send(from, to, messages)),
        1 => (0..PROCESSES).prop_map(Step::Restart),
    ]
}

/// The evacuated sites at each position of the store.
struct StoreHistory {
    now: StorePosition,
    sites: BTreeMap<StorePosition, SiteSet>,
}

impl StoreHistory {
    fn current(&self) -> &SiteSet {
        &self.sites[&self.now]
    }

    fn change(&mut self, change: impl FnOnce(&mut SiteSet)) {
        let mut sites = self.current().clone();
        change(&mut sites);
        self.now.revision += 1;
        self.sites.insert(self.now, sites);
    }

    fn set_back(&mut self, by: u64) {
        let revision = self.now.revision.saturating_sub(by);
        let copied: Vec<SiteSet> = (0..=revision)
            .map(|revision| self.sites[&StorePosition { revision, ..self.now }].clone())
            .collect();
        let era = StoreEra::new(self.now.era.number() + 1);
        self.now = StorePosition { era, revision };
        for (revision, sites) in (0..).zip(copied) {
            self.sites.insert(StorePosition { era, revision }, sites);
        }
    }
}

#[derive(Default)]
struct Process {
    state: EvacuationState,
    reader: EvacuationReader,
    /// Where its watch continues.
    read_at: Option<StorePosition>,
}

impl Process {
    fn read(&mut self, store: &StoreHistory) {
        let value = self.reader.replace(store.now, store.current().iter().cloned());
        self.read_at = Some(store.now);
        self.state.merge(&value);
    }

    fn watch(&mut self, store: &StoreHistory) {
        let Some(read_at) = self.read_at.filter(|at| at.era == store.now.era) else {
            return self.read(store);
        };
        let mut changes = Vec::new();
        for revision in read_at.revision..store.now.revision {
            let before = &store.sites[&StorePosition { revision, ..read_at }];
            let after = &store.sites[&StorePosition { revision: revision + 1, ..read_at }];
            changes.extend(before.difference(after).map(|site| (site.clone(), false)));
            changes.extend(after.difference(before).map(|site| (site.clone(), true)));
        }
        self.read_at = Some(store.now);
        if let Some(value) = self.reader.apply(store.now, changes) {
            self.state.merge(&value);
        }
    }
}

fn send(processes: &mut [Process], from: usize, to: usize, messages: usize) {
    let mut link = EvacuationRepeat::default();
    for _ in 0..messages {
        let Some(part) = link.due_part(at(0), &processes[from].state) else {
            return;
        };
        processes[to].state.merge_part(part);
        if !link.has_unsent() {
            break;
        }
    }
}

proptest! {
    /// Guards against a value that mixes two positions of the store, a process that goes back to an
    /// earlier value, and one that never hears of a withdrawal.
    #[test]
    fn processes_agree_on_the_newest_value_whatever_the_order_of_messages(
        steps in vec(step(), 0..80),
    ) {
        let mut store = StoreHistory {
            now: StorePosition::default(),
            sites: [(StorePosition::default(), SiteSet::new())].into(),
        };
        let mut processes: Vec<Process> = (0..PROCESSES).map(|_| Process::default()).collect();
        for step in steps {
            let before: Vec<_> =
                processes.iter().map(|process| process.state.newest().position()).collect();
            let mut restarted = None;
            match step {
                Step::Toggle(number) => store.change(|sites| {
                    if !sites.remove(&site(number)) {
                        sites.insert(site(number));
                    }
                }),
                Step::All(true) => store.change(|sites| sites.extend((0..SITES).map(site))),
                Step::All(false) => store.change(SiteSet::clear),
                Step::OtherKey => store.change(|_| ()),
                Step::SetBack(by) => store.set_back(by),
                Step::Read(process) => processes[process].read(&store),
                Step::Watch(process) => processes[process].watch(&store),
                Step::Send(from, to, messages) => send(&mut processes, from, to, messages),
                Step::Restart(process) => {
                    processes[process] = Process::default();
                    restarted = Some(process);
                }
            }
            for (number, process) in processes.iter().enumerate() {
                let newest = process.state.newest();
                let sites: SiteSet = newest.sites().iter().cloned().collect();
                prop_assert_eq!(&sites, &store.sites[&newest.position()]);
                prop_assert!(restarted == Some(number) || before[number] <= newest.position());
            }
        }
        processes[0].watch(&store);
        for (from, to) in [0, 1].iter().flat_map(|_| {
            (0..PROCESSES).flat_map(|from| (0..PROCESSES).map(move |to| (from, to)))
        }) {
            send(&mut processes, from, to, SITES);
        }
        for process in &processes {
            let sites: SiteSet = process.state.newest().sites().iter().cloned().collect();
            prop_assert_eq!(&sites, store.current());
        }
    }

    /// Guards against a rule for two values that depends on their order.
    #[test]
    fn the_value_with_the_latest_position_holds_in_any_order(
        positions in vec((0..4_u64, 0..20_u64), 1..12),
        shift in 0..12_usize,
    ) {
        let values: Vec<EvacuatedSites> = positions
            .iter()
            .map(|(era, revision)| value(*era, *revision, &[&format!("{era}-{revision}")]))
            .collect();
        let merged = |values: &mut dyn Iterator<Item = &EvacuatedSites>| {
            let mut merged = EvacuatedSites::default();
            for value in values {
                merged.merge(value);
            }
            merged
        };
        let latest = merged(&mut values.iter());
        let is_unknown = |value: &EvacuatedSites| value.position() == StorePosition::default();
        let expected = values.iter().filter(|value| !is_unknown(value)).max_by_key(|value| value.position());
        prop_assert_eq!(&latest, &expected.cloned().unwrap_or_default());
        prop_assert_eq!(&latest, &merged(&mut values.iter().rev()));
        let rotated = values.iter().cycle().skip(shift).take(values.len());
        prop_assert_eq!(&latest, &merged(&mut rotated.chain(&values)));
    }
}

#[test]
fn nothing_is_passed_on_before_an_evacuation_and_its_withdrawal_is() {
    let mut state = EvacuationState::default();
    assert!(!state.merge(&value(0, 3, &[])));
    assert_eq!(state.passed_on(), None, "messages stay as small as before");
    assert!(state.merge(&value(0, 4, &["a"])));
    assert!(state.merge(&value(0, 5, &[])));
    assert_eq!(state.passed_on(), Some(&value(0, 5, &[])));
}

#[test]
fn a_process_that_knows_of_no_evacuation_corrects_one_that_missed_the_withdrawal() {
    let mut state = EvacuationState::default();
    state.merge(&value(0, 9, &[]));
    assert!(state.merge(&value(0, 4, &["a"])), "there is something to pass on now");
    assert_eq!(state.passed_on(), Some(&value(0, 9, &[])));
}

#[test]
fn a_value_is_sent_at_once_and_repeated_while_a_site_is_evacuated() {
    let mut state = EvacuationState::default();
    let mut link = EvacuationRepeat::default();
    assert_eq!(link.due_part(at(0), &state), None);
    state.merge(&value(0, 4, &["a"]));
    let mut sent = |now, state: &EvacuationState| {
        link.due_part(at(now), state).map(|part| (part.position.revision, part.sites.len()))
    };
    assert_eq!(sent(100, &state), Some((4, 1)));
    assert_eq!(sent(600, &state), None, "nothing has changed");
    assert_eq!(sent(1100, &state), Some((4, 1)), "repeated");
    state.merge(&value(0, 5, &[]));
    assert_eq!(sent(1200, &state), Some((5, 0)), "withdrawn");
    assert_eq!(sent(9000, &state), None);
}

#[test]
fn many_sites_are_split_into_messages_of_bounded_size() {
    let names: Vec<String> = (0..1500).map(|number| format!("site-{number:05}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let many = value(1, 7, &names);
    let parts = many.parts().expect("few enough parts");
    assert!((2..=MAX_PARTS).contains(&parts.len()));
    let bytes = |names: &[SiteName]| names.iter().map(|name| name.as_str().len()).sum::<usize>();
    assert!(parts.iter().all(|part| bytes(&part.sites) <= MAX_PART_BYTES));
    let mut state = EvacuationState::default();
    for part in parts.iter().rev().skip(1) {
        assert!(!state.merge_part(part.clone()), "an incomplete value does not hold");
    }
    // A part of an earlier value comes late.
    assert!(!state.merge_part(value(0, 9, &names).parts().expect("parts")[0].clone()));
    assert!(state.merge_part(parts[parts.len() - 1].clone()));
    assert_eq!(state.newest(), &many);
    assert_eq!(value(0, 1, &[&"x".repeat(MAX_PART_BYTES)]).parts(), None, "too long a name");
}

#[test]
fn parts_with_any_numbers_are_ignored_unless_they_are_complete() {
    let mut state = EvacuationState::default();
    let part = value(0, 1, &["a"]).parts().expect("parts")[0].clone();
    for (index, count) in [(0, 0), (1, 1), (7, 3), (0, u32::MAX), (u32::MAX, u32::MAX)] {
        let mut odd = part.clone();
        (odd.index, odd.count) = (index, count);
        assert!(!state.merge_part(odd));
    }
    assert!(state.merge_part(part));
}

fn target(id: &str, site: &str) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: id.into(),
        site: site.into(),
        slots: if site == "a" { 2 } else { 8 },
        ..sample_target()
    })
}

fn scheduler(targets: &[Arc<RegisteredTarget>]) -> SlotScheduler {
    let sites = ["a", "b"].map(|name| (SiteName::from(name), RegionName::from(name)));
    let mut scheduler =
        SlotScheduler::new(EntryRegions::new("a".into(), sites.into_iter().collect()));
    scheduler.set_targets(targets.iter());
    scheduler
}

fn request() -> SlotRequest {
    SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_secs(2), late: true },
        ..sample_request()
    }
}

fn sites(names: &[&str]) -> Vec<SiteName> {
    names.iter().map(|name| SiteName::from(*name)).collect()
}

fn granted(admission: Admission) -> SlotGrant {
    match admission {
        Admission::Granted(grant) => grant,
        other => panic!("no slot: {other:?}"),
    }
}

#[test]
fn no_slot_is_granted_in_an_evacuated_site_and_others_are_used() {
    let mut scheduler = scheduler(&[target("near", "a"), target("far", "b")]);
    assert_eq!(&*granted(scheduler.request(at(0), request())).target.id, "near");
    scheduler.set_evacuated(at(1), sites(&["a", "unknown"]));
    assert_eq!(scheduler.in_flight_at(&sites(&["a"])), 1, "what has begun is finished");
    assert_eq!(&*granted(scheduler.request(at(2), request())).target.id, "far");
    // A target that appears in an evacuated site gets nothing either.
    scheduler.set_targets([target("near", "a"), target("new", "a"), target("far", "b")].iter());
    let next = scheduler.request(at(3), request());
    assert!(!matches!(&next, Admission::Granted(grant) if &*grant.target.id != "far"), "{next:?}");
}

#[test]
fn a_request_whose_targets_are_all_evacuated_is_refused_at_once() {
    let mut scheduler = scheduler(&[target("near", "a"), target("far", "b")]);
    scheduler.set_evacuated(at(0), sites(&["a", "b"]));
    assert!(matches!(scheduler.request(at(1), request()), Admission::Refused(_)));
    scheduler.set_evacuated(at(2), sites(&["b"]));
    assert_eq!(&*granted(scheduler.request(at(3), request())).target.id, "near", "withdrawn");
}

#[test]
fn a_waiting_request_goes_elsewhere_or_is_refused_as_soon_as_no_target_is_left() {
    let mut scheduler = scheduler(&[target("near", "a"), target("far", "b")]);
    scheduler.set_load(at(0), "far", 8, true);
    let running = [(); 2].map(|()| granted(scheduler.request(at(0), request())));
    let Admission::Queued(first) = scheduler.request(at(1), request()) else {
        panic!("all slots are taken");
    };
    scheduler.set_evacuated(at(2), sites(&["a"]));
    running.iter().for_each(|grant| {
        scheduler.release(at(3), &grant.target.id, SlotOutcome::Answered);
    });
    assert_eq!(scheduler.grant_free_slots(at(3)), []);
    assert_eq!(scheduler.refuse_unplaceable(), [], "the other site may get free slots");
    scheduler.set_load(at(4), "far", 0, true);
    let grants = scheduler.grant_free_slots(at(4));
    let ids: Vec<_> = grants.iter().map(|(ticket, grant)| (*ticket, &*grant.target.id)).collect();
    assert_eq!(ids, [(first, "far")]);
    scheduler.set_load(at(5), "far", 8, true);
    let Admission::Queued(second) = scheduler.request(at(5), request()) else {
        panic!("all slots are taken");
    };
    scheduler.set_evacuated(at(6), sites(&["a", "b"]));
    let refused = scheduler.refuse_unplaceable();
    assert_eq!(refused.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [second]);
}
