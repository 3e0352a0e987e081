//! Cold targets: when a target counts as cold, and how the entries share what it bears. Several entries'
//! schedulers in virtual time.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, ColdLimit, ColdReason, PlacementObstacle, PlacementVerdict, RegisteredTarget,
    ServingConfig, ServingService, SlotGrant, SlotScheduler,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;
use slot_samples::{sample_request, sample_target};

const START_TIME: Duration = Duration::from_secs(3);
/// Time to live of the registration of an entry, in milliseconds.
const LEASE_MS: u64 = 6000;
const RENEW_MS: u64 = 2000;
const STEP_MS: u64 = 10;
const MAX_ENTRIES: usize = 16;

fn target(started_unix_ms: u64, cold_remaining_ms: Option<u64>) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        slots: 1000,
        started_unix_ms,
        cold_remaining: cold_remaining_ms.map(Duration::from_millis),
        ..sample_target()
    })
}

fn config(per_second: f64) -> ServingConfig {
    ServingConfig {
        generation: 1,
        routes: Vec::new(),
        services: vec![ServingService {
            name: "llm".into(),
            engine: None,
            origin: None,
            cold_limit: Some(ColdLimit { start_time: START_TIME, per_second }),
        }],
        organisations: None,
        limits: Default::default(),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn new_scheduler(per_second: f64) -> SlotScheduler {
    let sites = [(SiteName::from("x"), RegionName::from("x"))].into_iter().collect();
    let mut scheduler = SlotScheduler::new(EntryRegions::new("x".into(), sites));
    scheduler.set_config(&config(per_second));
    scheduler
}

fn set_target(scheduler: &mut SlotScheduler, now: MonoTime, record: &Arc<RegisteredTarget>) {
    scheduler.set_targets([record].into_iter());
    scheduler.observe_starts(now);
}

/// The scheduler of the only entry, which has been settled for long, with a target that is warm.
fn lone_scheduler(per_second: f64) -> SlotScheduler {
    let mut scheduler = new_scheduler(per_second);
    let hosts: [HostName; 0] = [];
    scheduler.set_entry_hosts(at(0), &"e".into(), hosts.iter());
    scheduler.set_registered_until(at(0), at(1_000_000));
    set_target(&mut scheduler, at(0), &target(1, None));
    scheduler
}

/// Requests a slot, which is released at once. A request that is queued leaves the queue.
fn try_send(scheduler: &mut SlotScheduler, now: MonoTime) -> Option<SlotGrant> {
    match scheduler.request(now, sample_request()) {
        Admission::Granted(grant) => {
            scheduler.prefill_done(now, &grant);
            scheduler.release(now, &grant.target.id, SlotOutcome::Answered);
            Some(grant)
        }
        Admission::Queued(ticket) => {
            scheduler.cancel(ticket);
            None
        }
        Admission::Refused(_) => None,
    }
}

/// Sends as much as is possible from `from` to `until`, and returns how much that was.
fn send_all(scheduler: &mut SlotScheduler, from: u64, until: u64) -> usize {
    let steps = (from..until).step_by(STEP_MS as usize);
    let sent = |millis: u64| (0..20).filter(|_| try_send(scheduler, at(millis)).is_some()).count();
    steps.map(sent).sum()
}

fn verdict(scheduler: &SlotScheduler, now: MonoTime) -> PlacementVerdict {
    scheduler.verdicts(now, &sample_request())[0].verdict
}

fn is_cold(scheduler: &SlotScheduler, now: MonoTime) -> bool {
    scheduler.cold_targets(now) == 1
}

#[test]
fn a_target_counts_as_cold_after_a_start_and_as_long_as_its_registration_says() {
    // Guards against full load on a target that has just started, and against a target that stays limited.
    let mut scheduler = lone_scheduler(10.0);
    assert!(!is_cold(&scheduler, at(10_000)));
    set_target(&mut scheduler, at(10_000), &target(2, None));
    assert_eq!(scheduler.take_cold_begun(), [("t".into(), ColdReason::Started)]);
    assert!(is_cold(&scheduler, at(12_999)));
    assert!(!is_cold(&scheduler, at(13_000)));

    // It becomes cold again, and warm before that time is over.
    set_target(&mut scheduler, at(20_000), &target(2, Some(5000)));
    assert!(is_cold(&scheduler, at(24_999)));
    set_target(&mut scheduler, at(22_000), &target(2, Some(0)));
    assert!(!is_cold(&scheduler, at(22_000)));
    // It starts again and is warm at once.
    set_target(&mut scheduler, at(23_000), &target(3, Some(0)));
    assert!(!is_cold(&scheduler, at(23_000)));
    // It writes the same registration twice.
    set_target(&mut scheduler, at(24_000), &target(3, Some(1000)));
    scheduler.set_cold_remaining(at(24_500), &"t".into(), Duration::from_secs(1));
    assert!(is_cold(&scheduler, at(25_400)));
    assert!(!is_cold(&scheduler, at(25_500)));
}

#[test]
fn targets_of_the_first_list_are_warm_unless_they_say_that_they_are_cold() {
    // Guards against an entry that limits the whole fleet when it starts, and against one that loads a target
    // that is still cold.
    assert!(!is_cold(&lone_scheduler(10.0), at(0)));
    let mut scheduler = new_scheduler(10.0);
    set_target(&mut scheduler, at(0), &target(1, Some(2000)));
    assert!(is_cold(&scheduler, at(1999)));
}

#[test]
fn a_target_that_was_unreachable_counts_as_cold_until_its_registration_says_otherwise() {
    // Guards against full load on a target that restarted under the same id.
    let mut scheduler = lone_scheduler(10.0);
    scheduler.record_unreached(at(10_000), &"t".into());
    assert!(is_cold(&scheduler, at(12_999)));
    scheduler.record_unreached(at(11_000), &"t".into());
    assert!(is_cold(&scheduler, at(13_999)));
    set_target(&mut scheduler, at(13_500), &target(1, Some(0)));
    assert!(!is_cold(&scheduler, at(13_500)));
}

#[test]
fn a_target_that_appears_is_cold_and_one_that_registers_again_after_a_lapse_is_not() {
    // Guards against a limit on the whole fleet when its registrations lapse in an outage of the store.
    let mut scheduler = lone_scheduler(10.0);
    let none: [Arc<RegisteredTarget>; 0] = [];
    scheduler.set_targets(none.iter());
    scheduler.observe_starts(at(10_000));
    set_target(&mut scheduler, at(11_000), &target(1, None));
    assert!(!is_cold(&scheduler, at(11_000)));
    let other = Arc::new(RegisteredTarget { id: "new".into(), ..(*target(1, None)).clone() });
    set_target(&mut scheduler, at(12_000), &other);
    assert!(is_cold(&scheduler, at(12_000)));
}

#[test]
fn the_only_entry_uses_a_cold_target_up_to_its_limit() {
    // Guards against a cold target that is avoided, or that gets a burst.
    let mut scheduler = lone_scheduler(20.0);
    set_target(&mut scheduler, at(10_000), &target(2, None));
    let first_second = send_all(&mut scheduler, 10_000, 11_000);
    assert!((19..=20).contains(&first_second), "{first_second}");
    let second = send_all(&mut scheduler, 11_000, 12_000);
    assert!((19..=21).contains(&second), "{second}");
    assert!(send_all(&mut scheduler, 13_000, 13_100) >= 200);
}

#[test]
fn an_entry_that_is_cut_off_or_knows_no_others_uses_the_smallest_share() {
    // Guards against entries that each take the whole limit because they do not see each other.
    let mut scheduler = new_scheduler(20.0);
    set_target(&mut scheduler, at(0), &target(1, Some(100_000)));
    // The smallest share is a 64th.
    assert_eq!(send_all(&mut scheduler, 0, 3000), 0);
    assert_eq!(send_all(&mut scheduler, 3000, 6500), 2);

    let mut scheduler = lone_scheduler(20.0);
    scheduler.set_registered_until(at(20_000), at(20_000 + LEASE_MS));
    let mut cut_off = new_scheduler(20.0);
    let hosts: [HostName; 0] = [];
    cut_off.set_entry_hosts(at(0), &"e".into(), hosts.iter());
    cut_off.set_registered_until(at(0), at(LEASE_MS + 4000));
    set_target(&mut cut_off, at(0), &target(1, Some(100_000)));
    assert!(send_all(&mut cut_off, 7000, 8000) >= 19);
    assert!(send_all(&mut cut_off, 8000, 10_000) >= 39);
    assert!(send_all(&mut cut_off, 10_000, 13_000) <= 2);
    // Others may have taken over its share until they know it again.
    cut_off.set_registered_until(at(13_000), at(100_000));
    assert!(send_all(&mut cut_off, 13_000, 18_000) <= 3);
    assert!(send_all(&mut cut_off, 19_500, 20_500) >= 19);
}

#[test]
fn a_request_for_cold_targets_only_is_refused_until_their_next_token() {
    // Guards against a time to retry that does not fit the missing resource, and against a wait in vain.
    let mut scheduler = lone_scheduler(0.25);
    set_target(&mut scheduler, at(10_000), &target(2, Some(20_000)));
    let Admission::Refused(retry_after) = scheduler.request(at(10_000), sample_request()) else {
        panic!("not refused")
    };
    assert_eq!(retry_after, Duration::from_secs(4));
    let until = Some(at(14_000));
    let cold = PlacementVerdict::Blocked { obstacle: PlacementObstacle::Cold, until };
    assert_eq!(verdict(&scheduler, at(10_000)), cold);
    assert_eq!(
        scheduler.main_obstacle(at(10_000), &sample_request()),
        Some(PlacementObstacle::Cold)
    );
    assert!(try_send(&mut scheduler, at(14_000)).is_some());
}

#[test]
fn a_request_that_waits_for_a_token_is_woken_when_it_is_due() {
    // Guards against a token that is left unused while requests wait.
    let mut scheduler = lone_scheduler(10.0);
    set_target(&mut scheduler, at(10_000), &target(2, None));
    let Admission::Queued(_) = scheduler.request(at(10_000), sample_request()) else {
        panic!("not queued")
    };
    assert_eq!(scheduler.next_wake(at(10_000)), Some(at(10_100)));
    assert_eq!(scheduler.grant_free_slots(at(10_100)).len(), 1);
}

#[test]
fn a_request_that_is_not_sent_does_not_count_and_one_that_was_granted_before_does() {
    // Guards against a limit that is spent without requests, and against requests that pass it because their
    // slot was granted while the target was warm.
    let mut scheduler = lone_scheduler(1.0);
    let grants: Vec<SlotGrant> = (0..2)
        .filter_map(|_| match scheduler.request(at(9_999), sample_request()) {
            Admission::Granted(grant) => Some(grant),
            _ => None,
        })
        .collect();
    set_target(&mut scheduler, at(10_000), &target(2, Some(20_000)));
    let obstacle = scheduler.recheck_grant(at(10_001), &sample_request(), &grants[0]);
    assert_eq!(obstacle, Some(PlacementObstacle::Cold));
    assert_eq!(scheduler.recheck_grant(at(11_000), &sample_request(), &grants[1]), None);
    grants.iter().for_each(|grant| scheduler.release_unused(at(11_000), grant));
    assert!(try_send(&mut scheduler, at(11_500)).is_none());

    let Admission::Granted(unused) = scheduler.request(at(12_000), sample_request()) else {
        panic!("no slot")
    };
    assert!(try_send(&mut scheduler, at(12_001)).is_none());
    scheduler.release_unused(at(12_002), &unused);
    assert!(try_send(&mut scheduler, at(12_003)).is_some());
}

#[test]
fn targets_of_a_site_whose_evacuation_is_withdrawn_are_cold_unless_they_are_warm() {
    // Guards against full load on targets that have served nothing for a while.
    let mut scheduler = lone_scheduler(10.0);
    assert!(scheduler.set_evacuated(at(10_000), ["x".into()]));
    assert!(!scheduler.set_evacuated(at(10_500), ["x".into()]));
    let evacuated =
        PlacementVerdict::Blocked { obstacle: PlacementObstacle::Evacuated, until: None };
    assert_eq!(verdict(&scheduler, at(11_000)), evacuated);
    assert!(matches!(scheduler.request(at(11_000), sample_request()), Admission::Refused(_)));
    assert!(scheduler.set_evacuated(at(12_000), []));
    assert!(is_cold(&scheduler, at(14_999)));
    assert!(!is_cold(&scheduler, at(15_000)));

    set_target(&mut scheduler, at(20_000), &target(1, Some(0)));
    scheduler.set_evacuated(at(21_000), ["x".into()]);
    scheduler.set_evacuated(at(22_000), []);
    assert!(!is_cold(&scheduler, at(22_000)));
}

#[test]
fn without_a_limit_no_target_is_treated_as_cold() {
    // Guards against a change for deployments that do not limit cold targets.
    let mut scheduler = lone_scheduler(10.0);
    scheduler.set_config(&ServingConfig { services: Vec::new(), ..config(1.0) });
    set_target(&mut scheduler, at(10_000), &target(2, Some(5000)));
    scheduler.record_unreached(at(10_000), &"t".into());
    assert!(!is_cold(&scheduler, at(10_000)));
    assert!(matches!(verdict(&scheduler, at(10_000)), PlacementVerdict::Allowed { .. }));
    assert_eq!(scheduler.take_cold_begun(), []);
}

/// What happens to the fleet at some time.
#[derive(Debug, Clone)]
enum FleetEvent {
    /// The target starts again, and says that it is cold or says nothing.
    Start(bool),
    /// The target becomes cold again, for this time in milliseconds.
    ColdAgain(u64),
    /// This number of entries starts.
    Join(usize),
    /// The entry with this number, modulo the entries, restarts on its host.
    Restart(usize),
    /// Each entry from this number on, up to this number of them, is cut off from the store for some time.
    CutOff(usize, usize, u64),
    /// The entry with this number ends.
    End(usize),
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        1 => any::<bool>().prop_map(FleetEvent::Start),
        3 => (3000_u64..15_000).prop_map(FleetEvent::ColdAgain),
        1 => (1_usize..16).prop_map(FleetEvent::Join),
        1 => (0_usize..20).prop_map(FleetEvent::Restart),
        2 => (0_usize..20, 1_usize..16, 500_u64..15_000)
            .prop_map(|(entry, count, time)| FleetEvent::CutOff(entry, count, time)),
        1 => (0_usize..20).prop_map(FleetEvent::End),
    ]
}

/// An entry with its registration.
struct Entry {
    host: HostName,
    scheduler: SlotScheduler,
    started_at: u64,
    cut_off_until: u64,
}

/// The entries, one target, and the store in which the entries register.
struct Fleet {
    per_second: f64,
    entries: Vec<Entry>,
    /// Ends of the entries' registrations in the store.
    leases: SortedTable<HostName, u64>,
    record: Arc<RegisteredTarget>,
    cold_until: u64,
    joined: usize,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(per_second: f64, entries: usize) -> Self {
        let mut fleet = Self {
            per_second,
            entries: Vec::new(),
            leases: SortedTable::new(),
            record: target(1, None),
            cold_until: 0,
            joined: 0,
            sent: Vec::new(),
        };
        (0..entries).for_each(|_| fleet.join(0));
        fleet
    }

    fn start_entry(&self, now: u64, host: HostName) -> Entry {
        let mut scheduler = new_scheduler(self.per_second);
        let remaining = self.cold_until.saturating_sub(now);
        let remaining = (remaining > 0).then_some(remaining);
        let record = target(self.record.started_unix_ms, remaining);
        set_target(&mut scheduler, at(now), &record);
        Entry { host, scheduler, started_at: now, cut_off_until: 0 }
    }

    fn join(&mut self, now: u64) {
        let host = HostName::from(format!("host-{}", self.joined).as_str());
        self.joined += 1;
        let entry = self.start_entry(now, host);
        self.entries.push(entry);
    }

    fn apply(&mut self, now: u64, event: &FleetEvent) {
        let count = self.entries.len();
        match event {
            FleetEvent::Start(says) => {
                let started = self.record.started_unix_ms + 1;
                let remaining = says.then_some(START_TIME.as_millis() as u64);
                let end = now + START_TIME.as_millis() as u64;
                self.change_target(now, end, &target(started, remaining));
            }
            FleetEvent::ColdAgain(time) => {
                let record = target(self.record.started_unix_ms, Some(*time));
                self.change_target(now, now + time, &record);
            }
            // There are at most 16 entries, as in the largest deployment.
            FleetEvent::Join(more) => {
                (0..(*more).min(MAX_ENTRIES.saturating_sub(count))).for_each(|_| self.join(now));
            }
            FleetEvent::Restart(number) => {
                let host = self.entries[number % count].host.clone();
                self.entries[number % count] = self.start_entry(now, host);
            }
            FleetEvent::CutOff(number, many, time) => {
                for offset in 0..*many {
                    self.entries[(number + offset) % count].cut_off_until = now + time;
                }
            }
            FleetEvent::End(number) if count > 1 => drop(self.entries.remove(number % count)),
            FleetEvent::End(_) => {}
        }
    }

    /// Changes the target, which is cold until `cold_until`. Entries that are cut off do not see its registration,
    /// but its connections break; then they assume that it is cold for the usual time.
    fn change_target(&mut self, now: u64, cold_until: u64, record: &Arc<RegisteredTarget>) {
        self.record = record.clone();
        self.cold_until = cold_until;
        for entry in &mut self.entries {
            if entry.cut_off_until > now {
                entry.scheduler.record_unreached(at(now), &record.id);
                continue;
            }
            set_target(&mut entry.scheduler, at(now), record);
            if let Some(remaining) = record.cold_remaining {
                entry.scheduler.set_cold_remaining(at(now), &record.id, remaining);
            }
        }
    }

    /// Renews the registrations that are due, and passes the list of entries on.
    fn update_entries(&mut self, now: u64) {
        let remaining = Duration::from_millis(self.cold_until.saturating_sub(now));
        let is_back = |entry: &&mut Entry| entry.cut_off_until > 0 && entry.cut_off_until <= now;
        for entry in self.entries.iter_mut().filter(is_back) {
            entry.cut_off_until = 0;
            set_target(&mut entry.scheduler, at(now), &self.record);
            entry.scheduler.set_cold_remaining(at(now), &self.record.id, remaining);
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.cut_off_until <= now) {
            if (now - entry.started_at).is_multiple_of(RENEW_MS) {
                entry.scheduler.set_registered_until(at(now), at(now + LEASE_MS));
                self.leases.insert(entry.host.clone(), now + LEASE_MS);
            }
        }
        self.leases.retain(|_, until| *until > now);
        for entry in self.entries.iter_mut().filter(|entry| entry.cut_off_until <= now) {
            // The list is up to a second old.
            if (now - entry.started_at) % 1000 == 200 {
                let others = self.leases.keys().filter(|host| **host != entry.host);
                entry.scheduler.set_entry_hosts(at(now), &entry.host, others);
            }
        }
    }

    /// Sends all that the entries may send while the target is cold.
    fn send(&mut self, now: u64) {
        if now >= self.cold_until {
            return;
        }
        for entry in &mut self.entries {
            // An entry that is cut off learns of a cold time beyond the usual one only from failures.
            if entry.cut_off_until > now && now.is_multiple_of(1000) {
                entry.scheduler.record_unreached(at(now), &self.record.id);
            }
            // Many more than an entry may send at once.
            let sent = (0..60).take_while(|_| try_send(&mut entry.scheduler, at(now)).is_some());
            self.sent.extend(sent.map(|_| now));
        }
    }

    /// The most requests in a second, with the second.
    fn most_in_second(&self) -> (usize, u64) {
        let in_second = |start: u64| {
            let from = self.sent.partition_point(|time| *time < start);
            self.sent.partition_point(|time| *time < start + 1000) - from
        };
        self.sent.iter().map(|start| (in_second(*start), *start)).max().unwrap_or_default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn all_entries_together_keep_to_what_a_cold_target_bears(
        per_second in 1.0_f64..40.0,
        entries in 1_usize..17,
        events in prop::collection::vec((0_u64..30_000, fleet_event()), 1..16),
    ) {
        // Guards against a target that crashes just after its start, whatever happens to entries meanwhile.
        let mut events = events;
        events.sort_by_key(|(time, _)| *time);
        let mut events = events.into_iter().peekable();
        let mut fleet = Fleet::new(per_second, entries);
        for now in (0..33_000).step_by(STEP_MS as usize) {
            while let Some((_, event)) = events.next_if(|(time, _)| *time <= now) {
                fleet.apply(now, &event);
            }
            fleet.update_entries(now);
            fleet.send(now);
        }
        let (most, second) = fleet.most_in_second();
        let allowed = per_second * 1.5 + 5.0;
        prop_assert!(most as f64 <= allowed, "{most} of {allowed} from {second} on");
    }

    #[test]
    fn all_entries_together_use_what_a_cold_target_bears(
        per_second in 4.0_f64..40.0,
        entries in 1_usize..17,
    ) {
        // Guards against cold targets that are avoided.
        let mut fleet = Fleet::new(per_second, entries);
        for now in (0..23_000).step_by(STEP_MS as usize) {
            if now == 20_000 {
                fleet.apply(now, &FleetEvent::Start(true));
            }
            fleet.update_entries(now);
            fleet.send(now);
        }
        let least = per_second * START_TIME.as_secs_f64() * 0.85 - 5.0;
        prop_assert!(fleet.sent.len() as f64 >= least, "{} of {least}", fleet.sent.len());
    }
}
