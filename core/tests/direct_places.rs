//! Slots at targets under load: which requests are granted one, queued or refused.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, DeclaredVersion, LoadedModel, RegisteredTarget, SlotGrant, SlotRequest,
    SlotScheduler, WaitAllowance,
};
use buckthornwharf_core::prelude::*;
use slot_samples::{sample_request, sample_target};

const SLOTS: u32 = 4;

fn target(id: &str, site: &str, version: u64) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: id.into(),
        site: site.into(),
        slots: SLOTS,
        models: vec![LoadedModel { model: "m".into(), version }],
        ..sample_target()
    })
}

fn scheduler(targets: &[Arc<RegisteredTarget>]) -> SlotScheduler {
    let sites = ["here", "far"].map(|name| (SiteName::from(name), RegionName::from(name)));
    let regions = EntryRegions::new("here".into(), sites.into_iter().collect());
    let mut scheduler = SlotScheduler::new(regions);
    scheduler.set_other_entries(["far", "far", "far"].map(RegionName::from).iter());
    scheduler.set_targets(targets.iter());
    scheduler
}

fn request(late: bool) -> SlotRequest {
    SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_millis(600), late },
        model: Some("m".into()),
        ..sample_request()
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// The declaration of version 2, with its times in milliseconds.
fn version_2(declared_at: u64, required_from: u64, begin_by: u64) -> DeclaredVersion {
    DeclaredVersion {
        version: 2,
        declared_at: at(declared_at),
        required_from: at(required_from),
        begin_by: at(begin_by),
    }
}

/// A scheduler with one target, whose first byte took 600 ms at the start.
fn slow_scheduler() -> SlotScheduler {
    let mut scheduler = scheduler(&[target("slow", "here", 1)]);
    let first = try_slot(&mut scheduler, at(0)).expect("a slot");
    scheduler.prefill_done(at(600), &first);
    scheduler
}

/// Requests a slot; cancels the request if it is queued.
fn try_slot(scheduler: &mut SlotScheduler, now: MonoTime) -> Option<SlotGrant> {
    match scheduler.request(now, request(false)) {
        Admission::Granted(grant) => Some(grant),
        Admission::Queued(ticket) => {
            scheduler.cancel(ticket);
            None
        }
        Admission::Refused(_) => None,
    }
}

#[test]
fn requests_are_balanced_over_the_targets_of_the_own_region_first() {
    let mut scheduler =
        scheduler(&[target("a", "here", 1), target("b", "here", 1), target("c", "far", 1)]);
    let ids: Vec<Arc<str>> = (0..8)
        .filter_map(|_| try_slot(&mut scheduler, at(0)))
        .map(|grant| grant.target.id.clone())
        .collect();
    let count = |id: &str| ids.iter().filter(|other| &***other == id).count();
    assert_eq!(ids.len(), 8);
    assert!(count("a") >= 3 && count("b") >= 3, "{ids:?}");
    assert!(ids[..4].iter().all(|id| &**id != "c"), "{ids:?}");
}

#[test]
fn a_full_region_sends_few_requests_to_a_remote_target_without_a_load_report() {
    let mut scheduler = scheduler(&[target("a", "here", 1), target("c", "far", 1)]);
    let mut remote = 0;
    while let Some(grant) = try_slot(&mut scheduler, at(0)) {
        remote += u32::from(&*grant.target.id == "c");
    }
    assert_eq!(remote, 1);
}

#[test]
fn a_target_that_reports_to_be_full_or_not_accepting_gets_no_requests() {
    let mut scheduler = scheduler(&[target("a", "here", 1), target("b", "here", 1)]);
    scheduler.set_load(at(0), "a", SLOTS, true);
    scheduler.set_load(at(0), "b", 0, false);
    assert!(try_slot(&mut scheduler, at(10)).is_none());
    scheduler.set_load(at(20), "b", 0, true);
    assert_eq!(
        try_slot(&mut scheduler, at(30)).map(|grant| grant.target.id.clone()),
        Some("b".into())
    );
}

#[test]
fn entries_with_the_same_load_report_do_not_oversubscribe_a_target() {
    let taken = |in_region: bool| {
        let site = if in_region { "here" } else { "far" };
        let mut scheduler = scheduler(&[target("a", site, 1)]);
        scheduler.set_load(at(0), "a", 0, true);
        (0..10).filter(|_| try_slot(&mut scheduler, at(1)).is_some()).count() as u32
    };
    // One entry runs in the target's region, three run elsewhere.
    assert!(taken(true) + 3 * taken(false) <= SLOTS);
    assert!(taken(true) > 0);
}

#[test]
fn a_request_queued_past_the_retirement_of_a_version_goes_only_to_a_newer_one() {
    let mut scheduler = scheduler(&[target("old", "here", 1)]);
    let granted: Vec<SlotGrant> =
        (0..SLOTS).filter_map(|_| try_slot(&mut scheduler, at(0))).collect();
    assert_eq!(granted.len() as u32, SLOTS);
    let declared = version_2(0, 100, 150);
    assert!(scheduler.declare(&"m".into(), declared));
    assert!(matches!(scheduler.request(at(50), request(true)), Admission::Queued(_)));
    scheduler.release(at(120), "old", SlotOutcome::Answered);
    assert!(scheduler.grant_free_slots(at(120)).is_empty(), "version 1 is retired");
    scheduler.set_targets([target("old", "here", 1), target("new", "here", 2)].iter());
    let grants = scheduler.grant_free_slots(at(130));
    assert_eq!(grants.iter().map(|(_, grant)| &*grant.target.id).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn a_request_without_any_target_is_refused_at_once() {
    let mut scheduler = scheduler(&[]);
    let Admission::Refused(retry_after) = scheduler.request(at(0), request(false)) else {
        panic!("request was not refused although there is no target");
    };
    assert!(retry_after >= Duration::from_millis(500));
}

#[test]
fn a_late_request_is_served_after_one_that_can_meet_its_objective() {
    let mut scheduler = scheduler(&[target("a", "here", 1)]);
    while try_slot(&mut scheduler, at(0)).is_some() {}
    let Admission::Queued(late) = scheduler.request(at(1), request(true)) else {
        panic!("late request was not queued")
    };
    let Admission::Queued(in_time) = scheduler.request(at(2), request(false)) else {
        panic!("request was not queued")
    };
    scheduler.release(at(3), "a", SlotOutcome::Answered);
    let first = scheduler.grant_free_slots(at(3));
    assert_eq!(first.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [in_time]);
    scheduler.release(at(4), "a", SlotOutcome::Answered);
    let second = scheduler.grant_free_slots(at(4));
    assert_eq!(second.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [late]);
}

/// For ten seconds, twice the load that the targets can serve. The targets must stay busy, and most
/// excess requests must be refused at once instead of after a wait.
#[test]
fn under_overload_slots_stay_in_use_and_few_requests_expire_in_the_queue() {
    let service_time_ms = 100;
    let mut scheduler = scheduler(&[target("a", "here", 1), target("b", "here", 1)]);
    let mut ends_ms: Vec<u64> = Vec::new();
    let (mut served, mut refused, mut expired) = (0, 0, 0);
    for now_ms in 0..10_000_u64 {
        let ended = ends_ms.iter().filter(|end| **end == now_ms).count();
        ends_ms.retain(|end| *end > now_ms);
        for _ in 0..ended {
            let id = if scheduler.in_flight().is_multiple_of(2) { "a" } else { "b" };
            scheduler.release(at(now_ms), id, SlotOutcome::Answered);
        }
        // Two targets with 4 slots and 100 ms per request serve 80 requests a second; 160 arrive.
        if now_ms % 25 < 4 && now_ms % 25 != 3 || now_ms % 25 == 12 {
            match scheduler.request(at(now_ms), request(false)) {
                Admission::Granted(grant) => {
                    scheduler.prefill_done(at(now_ms), &grant);
                    served += 1;
                    ends_ms.push(now_ms + service_time_ms);
                }
                Admission::Refused(_) => refused += 1,
                Admission::Queued(_) => {}
            }
        }
        for (_, grant) in scheduler.grant_free_slots(at(now_ms)) {
            scheduler.prefill_done(at(now_ms), &grant);
            served += 1;
            ends_ms.push(now_ms + service_time_ms);
        }
        expired += scheduler.expire(at(now_ms)).len();
    }
    assert!(served > 760, "{served} requests served, about 800 are possible");
    assert!(refused > expired, "{refused} refused at once, {expired} after a wait");
}

/// Without a prefill limit, an engine that has just come back gets more prompts than it can read in
/// time, and their first tokens are late.
#[test]
fn an_empty_target_gets_only_as_many_prompts_as_it_can_read_in_time() {
    let mut scheduler = scheduler(&[target("a", "here", 1)]);
    scheduler.set_prefill_rate(&"llm".into(), 30_000);
    let prompt = || SlotRequest { prompt_tokens: 1300, ..request(false) };
    let mut granted = Vec::new();
    while let Admission::Granted(grant) = scheduler.request(at(0), prompt()) {
        granted.push(grant);
    }
    assert_eq!(granted.len(), 2, "two prompts of 1300 tokens fit into 100 ms of prefill");
    scheduler.prefill_done(at(40), &granted[0]);
    assert_eq!(scheduler.grant_free_slots(at(50)).len(), 1);
}

/// A caller may disconnect at the moment its request is granted a slot. The slot and its prefill
/// tokens must then be released.
#[test]
fn an_unused_slot_is_released_with_its_prefill_tokens() {
    let mut scheduler = scheduler(&[target("a", "here", 1)]);
    scheduler.set_prefill_rate(&"llm".into(), 30_000);
    let prompt = || SlotRequest { prompt_tokens: 1300, ..request(false) };
    for _ in 0..3 * SLOTS {
        let Admission::Granted(first) = scheduler.request(at(0), prompt()) else {
            panic!("no slot for the first prompt")
        };
        let Admission::Granted(second) = scheduler.request(at(0), prompt()) else {
            panic!("no slot for the second prompt")
        };
        scheduler.release_unused(at(0), &first);
        scheduler.release_unused(at(0), &second);
    }
    assert_eq!(scheduler.in_flight(), 0);
}

#[test]
fn a_slot_at_an_outdated_target_has_a_deadline_to_begin() {
    let mut scheduler = scheduler(&[target("old", "here", 1), target("new", "there", 2)]);
    let early = try_slot(&mut scheduler, at(0)).expect("a slot");
    assert_eq!((&*early.target.id, early.begin_by), ("old", None));
    let declared = version_2(10, 100, 150);
    assert!(scheduler.declare(&"m".into(), declared));
    let before = try_slot(&mut scheduler, at(20)).expect("a slot");
    assert_eq!((&*before.target.id, before.begin_by), ("old", Some(at(150))));
    let after = try_slot(&mut scheduler, at(110)).expect("a slot");
    assert_eq!((&*after.target.id, after.begin_by), ("new", None));
}

#[test]
fn a_request_without_a_usable_version_is_refused_at_once() {
    let mut scheduler = scheduler(&[target("old", "here", 1), target("older", "there", 1)]);
    let declared = version_2(0, 100, 150);
    assert!(scheduler.declare(&"m".into(), declared));
    assert!(try_slot(&mut scheduler, at(50)).is_some());
    assert!(matches!(scheduler.request(at(110), request(false)), Admission::Refused(_)));
    scheduler.set_targets([target("new", "here", 2)].iter());
    scheduler.set_load(at(120), "new", 0, false);
    assert!(
        matches!(scheduler.request(at(120), request(false)), Admission::Refused(_)),
        "the target is loading"
    );
    assert!(matches!(scheduler.request(at(120), request(true)), Admission::Queued(_)));
}

/// A target that hangs, or whose link is far too slow, does not begin its responses in time.
#[test]
fn a_stuck_target_gets_no_requests_until_its_response_begins() {
    let mut scheduler = scheduler(&[target("stuck", "here", 1), target("healthy", "there", 1)]);
    let first = try_slot(&mut scheduler, at(0)).expect("a slot");
    assert_eq!(&*first.target.id, "stuck");
    let second = try_slot(&mut scheduler, at(600)).expect("a slot");
    assert_eq!(&*second.target.id, "stuck");
    let third = try_slot(&mut scheduler, at(800)).expect("a slot");
    assert_eq!(&*third.target.id, "healthy", "the first request has waited for 0.8 s");
    scheduler.prefill_done(at(850), &first);
    assert_eq!(&*try_slot(&mut scheduler, at(900)).expect("a slot").target.id, "stuck");
}

/// The retirement of a version cannot wait for requests in transit on a slow link.
#[test]
fn an_outdated_target_gets_no_request_that_would_begin_too_late() {
    let mut scheduler = slow_scheduler();
    let declared = version_2(700, 3000, 3200);
    assert!(scheduler.declare(&"m".into(), declared));
    assert!(try_slot(&mut scheduler, at(1300)).is_some(), "3 x 0.6 s fit into 1.9 s");
    assert!(try_slot(&mut scheduler, at(2400)).is_none(), "3 x 0.6 s exceed 0.8 s");
}

/// The slow target gets no requests for some seconds, so nothing newer is known of it.
#[test]
fn an_outdated_target_that_was_slow_when_it_was_last_used_gets_no_request_near_the_end() {
    let mut scheduler = slow_scheduler();
    let declared = version_2(700, 7700, 8000);
    assert!(scheduler.declare(&"m".into(), declared));
    assert!(try_slot(&mut scheduler, at(7200)).is_none(), "3 x 0.6 s exceed 0.8 s");
    let unused = try_slot(&mut scheduler, at(6100)).expect("3 x 0.6 s fit into 1.9 s");
    scheduler.release_unused(at(6100), &unused);
    assert!(try_slot(&mut scheduler, at(7200)).is_none(), "an unsent request is no evidence");
}

#[test]
fn a_cooldown_that_has_ended_does_not_wake_the_queue_again() {
    let mut scheduler = scheduler(&[target("a", "here", 1)]);
    let grants: Vec<SlotGrant> =
        (0..SLOTS).map(|_| try_slot(&mut scheduler, at(0)).expect("a free slot")).collect();
    scheduler.release(at(0), "a", SlotOutcome::Full);
    let cooldown_end = scheduler.next_wake(at(0));
    assert_eq!(cooldown_end, None, "no request waits");
    let Admission::Queued(_) = scheduler.request(at(0), request(true)) else {
        panic!("the target is in its cool-down");
    };
    assert_eq!(scheduler.next_wake(at(0)), Some(at(60)));
    assert_eq!(scheduler.next_wake(at(60)), Some(at(600)), "only the request's own time is left");
    drop(grants);
}

#[test]
fn a_target_that_stops_reporting_is_silent_and_comes_after_those_that_report() {
    let mut scheduler = scheduler(&[target("a", "here", 1), target("b", "here", 1)]);
    assert!(!scheduler.is_silent(at(5000), "a"), "it has never reported");
    scheduler.set_load(at(0), "a", 0, true);
    scheduler.set_load(at(900), "b", 2, true);
    assert!(!scheduler.is_silent(at(900), "a"));
    let grant = try_slot(&mut scheduler, at(900)).expect("a free target");
    assert_eq!(&*grant.target.id, "a");
    scheduler.release_unused(at(900), &grant);
    assert!(scheduler.is_silent(at(1100), "a"));
    assert_eq!(scheduler.silent_targets(at(1100)), [Arc::from("a")]);
    let grant = try_slot(&mut scheduler, at(1100)).expect("a free target");
    assert_eq!(&*grant.target.id, "b");
    scheduler.set_load(at(1200), "a", 0, true);
    assert!(scheduler.silent_targets(at(1200)).is_empty());
}

#[test]
fn targets_with_very_many_slots_are_used_like_others() {
    let many =
        |id, site| Arc::new(RegisteredTarget { slots: u32::MAX, ..(*target(id, site, 1)).clone() });
    let mut scheduler = scheduler(&[many("a", "here"), many("b", "here"), many("c", "far")]);
    for now in [at(0), at(10)] {
        assert!(try_slot(&mut scheduler, now).is_some());
        for id in ["a", "b", "c"] {
            scheduler.set_load(now, id, 0, true);
        }
        assert!(try_slot(&mut scheduler, now).is_some());
    }
    let mut last = request(false);
    last.tried = ["a", "b", "c"].map(Arc::from).to_vec();
    assert!(matches!(scheduler.request(at(20), last), Admission::Queued(_)));
}

#[test]
fn a_remote_target_with_very_many_slots_counts_as_free() {
    let many = RegisteredTarget { slots: u32::MAX, ..(*target("c", "far", 1)).clone() };
    let mut scheduler = scheduler(&[Arc::new(many)]);
    let granted = (0..100).filter(|_| try_slot(&mut scheduler, at(0)).is_some()).count();
    assert_eq!(granted, 100);
}

#[test]
fn a_load_report_of_very_many_requests_counts_as_full() {
    let mut scheduler = scheduler(&[target("a", "here", 1), target("b", "here", 1)]);
    let first = try_slot(&mut scheduler, at(0)).expect("a slot");
    scheduler.set_load(at(0), &first.target.id, u32::MAX, true);
    let second = try_slot(&mut scheduler, at(1)).expect("a slot");
    assert_ne!(first.target.id, second.target.id);
    scheduler.set_load(at(100), &first.target.id, u32::MAX, true);
    scheduler.release(at(101), &first.target.id, SlotOutcome::Answered);
    for _ in 0..3 {
        let grant = try_slot(&mut scheduler, at(102)).expect("a slot");
        assert_eq!(grant.target.id, second.target.id);
    }
}
