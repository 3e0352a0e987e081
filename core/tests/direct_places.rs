//! Places at targets under load: who gets one, who waits and who is refused.

use buckthornwharf_core::direct::slots::{EntryCounts, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, DeclaredVersion, LoadedModel, RegisteredTarget, SlotGrant, SlotRequest,
    SlotScheduler, TargetPhase, WaitAllowance,
};
use buckthornwharf_core::prelude::*;

const SLOTS: u32 = 4;

fn target(id: &str, site: &str, version: u64) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        site: site.into(),
        slots: SLOTS,
        phase: TargetPhase::Ready,
        models: vec![LoadedModel { model: "m".into(), version }],
        started_unix_ms: 0,
    })
}

fn book(targets: &[Arc<RegisteredTarget>]) -> SlotScheduler {
    let mut book = SlotScheduler::new(vec!["here".into()]);
    book.set_entry_counts(EntryCounts { entries: 4, in_region: 1 });
    book.set_targets(targets.iter());
    book
}

fn request(late: bool) -> SlotRequest {
    SlotRequest {
        service: "llm".into(),
        priority: 1,
        wait: WaitAllowance { max_wait: Duration::from_millis(600), late },
        objective: Duration::from_millis(400),
        tried: Vec::new(),
        prompt_tokens: 0,
        model: Some("m".into()),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A place for a request that does not wait.
fn place(book: &mut SlotScheduler, now: MonoTime) -> Option<SlotGrant> {
    match book.request(now, request(false)) {
        Admission::Granted(grant) => Some(grant),
        Admission::Queued(ticket) => {
            book.cancel(ticket);
            None
        }
        Admission::Refused(_) => None,
    }
}

#[test]
fn requests_are_spread_over_the_targets_of_the_region_first() {
    let mut book = book(&[target("a", "here", 1), target("b", "here", 1), target("c", "far", 1)]);
    let ids: Vec<Arc<str>> = (0..8)
        .filter_map(|_| place(&mut book, at(0)))
        .map(|grant| grant.target.id.clone())
        .collect();
    let count = |id: &str| ids.iter().filter(|other| &***other == id).count();
    assert_eq!(ids.len(), 8);
    assert!(count("a") >= 3 && count("b") >= 3, "{ids:?}");
    assert!(ids[..4].iter().all(|id| &**id != "c"), "{ids:?}");
}

#[test]
fn a_full_region_sends_few_requests_to_a_target_whose_load_it_does_not_know() {
    let mut book = book(&[target("a", "here", 1), target("c", "far", 1)]);
    let mut far = 0;
    while let Some(grant) = place(&mut book, at(0)) {
        far += u32::from(&*grant.target.id == "c");
    }
    assert_eq!(far, 1);
}

#[test]
fn a_target_that_says_it_is_full_or_loads_gets_nothing() {
    let mut book = book(&[target("a", "here", 1), target("b", "here", 1)]);
    book.set_load(at(0), "a", SLOTS, true);
    book.set_load(at(0), "b", 0, false);
    assert!(place(&mut book, at(10)).is_none());
    book.set_load(at(20), "b", 0, true);
    assert_eq!(place(&mut book, at(30)).map(|grant| grant.target.id.clone()), Some("b".into()));
}

#[test]
fn entries_that_hear_of_the_same_free_places_do_not_all_take_them() {
    let taken = |in_region: bool| {
        let site = if in_region { "here" } else { "far" };
        let mut book = book(&[target("a", site, 1)]);
        book.set_load(at(0), "a", 0, true);
        (0..10).filter(|_| place(&mut book, at(1)).is_some()).count() as u32
    };
    // One entry stands in the region, three elsewhere.
    assert!(taken(true) + 3 * taken(false) <= SLOTS);
    assert!(taken(true) > 0);
}

#[test]
fn a_request_that_waits_past_the_end_of_a_version_goes_to_the_next_one_only() {
    let mut book = book(&[target("old", "here", 1)]);
    let held: Vec<SlotGrant> = (0..SLOTS).filter_map(|_| place(&mut book, at(0))).collect();
    assert_eq!(held.len() as u32, SLOTS);
    let declared = DeclaredVersion {
        version: 2,
        declared_at: at(0),
        required_from: at(100),
        begin_by: at(150),
    };
    assert!(book.declare(&"m".into(), declared));
    assert!(matches!(book.request(at(50), request(true)), Admission::Queued(_)));
    book.release(at(120), "old", SlotOutcome::Answered);
    assert!(book.grant_free_slots(at(120)).is_empty(), "version 1 must not be used any more");
    book.set_targets([target("old", "here", 1), target("new", "here", 2)].iter());
    let grants = book.grant_free_slots(at(130));
    assert_eq!(grants.iter().map(|(_, grant)| &*grant.target.id).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn what_cannot_be_served_is_refused_at_once() {
    let mut book = book(&[]);
    let Admission::Refused(after) = book.request(at(0), request(false)) else {
        panic!("there is no target at all");
    };
    assert!(after >= Duration::from_millis(500));
}

#[test]
fn a_request_that_is_late_anyway_waits_behind_one_that_can_be_in_time() {
    let mut book = book(&[target("a", "here", 1)]);
    while place(&mut book, at(0)).is_some() {}
    let Admission::Queued(late) = book.request(at(1), request(true)) else { panic!("it waits") };
    let Admission::Queued(fresh) = book.request(at(2), request(false)) else { panic!("it waits") };
    book.release(at(3), "a", SlotOutcome::Answered);
    let first = book.grant_free_slots(at(3));
    assert_eq!(first.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [fresh]);
    book.release(at(4), "a", SlotOutcome::Answered);
    let second = book.grant_free_slots(at(4));
    assert_eq!(second.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [late]);
}

/// Twice the load that the targets can take, for ten seconds; every request is answered or refused
/// within its patience, and the targets are never idle.
#[test]
fn under_overload_places_stay_taken_and_no_one_waits_in_vain() {
    let service_time = 100;
    let mut book = book(&[target("a", "here", 1), target("b", "here", 1)]);
    let mut running: Vec<u64> = Vec::new();
    let (mut served, mut refused, mut expired) = (0, 0, 0);
    for now in 0..10_000_u64 {
        let ended = running.iter().filter(|end| **end == now).count();
        running.retain(|end| *end > now);
        for _ in 0..ended {
            let id = if book.in_flight().is_multiple_of(2) { "a" } else { "b" };
            book.release(at(now), id, SlotOutcome::Answered);
        }
        // Two targets of four places and 100 ms each take 80 requests a second; 160 come.
        if now % 25 < 4 && now % 25 != 3 || now % 25 == 12 {
            match book.request(at(now), request(false)) {
                Admission::Granted(grant) => {
                    book.prefill_done(at(now), &grant);
                    served += 1;
                    running.push(now + service_time);
                }
                Admission::Refused(_) => refused += 1,
                Admission::Queued(_) => {}
            }
        }
        for (_, grant) in book.grant_free_slots(at(now)) {
            book.prefill_done(at(now), &grant);
            served += 1;
            running.push(now + service_time);
        }
        expired += book.expire(at(now)).len();
    }
    assert!(served > 760, "{served} served of about 800 that could be");
    assert!(refused > expired, "{refused} refused at once, {expired} after a wait");
}

/// An engine that has just come back takes prompts no faster than it can read them, so that their first
/// tokens are not late.
#[test]
fn an_empty_target_gets_only_as_many_prompts_as_it_reads_in_time() {
    let mut book = book(&[target("a", "here", 1)]);
    book.set_prefill_rate(&"llm".into(), 30_000);
    let prompt = || SlotRequest { prompt_tokens: 1300, ..request(false) };
    let mut placed = Vec::new();
    while let Admission::Granted(grant) = book.request(at(0), prompt()) {
        placed.push(grant);
    }
    assert_eq!(placed.len(), 2, "100 ms of reading hold two prompts of 1300 tokens");
    book.prefill_done(at(40), &placed[0]);
    assert_eq!(book.grant_free_slots(at(50)).len(), 1);
}

/// A caller may leave in the moment in which it gets its place.
#[test]
fn a_place_that_was_not_used_is_free_again_whole() {
    let mut book = book(&[target("a", "here", 1)]);
    book.set_prefill_rate(&"llm".into(), 30_000);
    let prompt = || SlotRequest { prompt_tokens: 1300, ..request(false) };
    for _ in 0..3 * SLOTS {
        let Admission::Granted(first) = book.request(at(0), prompt()) else {
            panic!("there is room")
        };
        let Admission::Granted(second) = book.request(at(0), prompt()) else {
            panic!("there is room for a second prompt")
        };
        book.release_unused(at(0), &first);
        book.release_unused(at(0), &second);
    }
    assert_eq!(book.in_flight(), 0);
}

#[test]
fn a_place_at_an_old_version_tells_until_when_it_may_begin() {
    let mut book = book(&[target("old", "here", 1), target("new", "there", 2)]);
    let early = place(&mut book, at(0)).expect("a place");
    assert_eq!((&*early.target.id, early.begin_by), ("old", None));
    let declared = DeclaredVersion {
        version: 2,
        declared_at: at(10),
        required_from: at(100),
        begin_by: at(150),
    };
    assert!(book.declare(&"m".into(), declared));
    let before = place(&mut book, at(20)).expect("a place");
    assert_eq!((&*before.target.id, before.begin_by), ("old", Some(at(150))));
    let after = place(&mut book, at(110)).expect("a place");
    assert_eq!((&*after.target.id, after.begin_by), ("new", None));
}

#[test]
fn what_no_target_can_serve_is_refused_at_once() {
    let mut book = book(&[target("old", "here", 1), target("older", "there", 1)]);
    let declared = DeclaredVersion {
        version: 2,
        declared_at: at(0),
        required_from: at(100),
        begin_by: at(150),
    };
    assert!(book.declare(&"m".into(), declared));
    assert!(place(&mut book, at(50)).is_some());
    assert!(matches!(book.request(at(110), request(false)), Admission::Refused(_)));
    book.set_targets([target("new", "here", 2)].iter());
    book.set_load(at(120), "new", 0, false);
    assert!(
        matches!(book.request(at(120), request(false)), Admission::Refused(_)),
        "it is loading"
    );
    assert!(matches!(book.request(at(120), request(true)), Admission::Queued(_)));
}

/// A target that hangs, or whose link is far too narrow, keeps what it was sent waiting.
#[test]
fn a_target_that_keeps_a_request_waiting_gets_no_more_until_it_begins() {
    let mut book = book(&[target("stuck", "here", 1), target("sound", "there", 1)]);
    let first = place(&mut book, at(0)).expect("a place");
    assert_eq!(&*first.target.id, "stuck");
    let second = place(&mut book, at(600)).expect("a place");
    assert_eq!(&*second.target.id, "stuck");
    let third = place(&mut book, at(800)).expect("a place");
    assert_eq!(&*third.target.id, "sound", "the first has waited for 0.8 s");
    book.prefill_done(at(850), &first);
    assert_eq!(&*place(&mut book, at(900)).expect("a place").target.id, "stuck");
}

/// The end of a version cannot wait for requests that are on their way over a narrowed link.
#[test]
fn an_old_version_gets_nothing_that_would_begin_too_late() {
    let mut book = book(&[target("slow", "here", 1)]);
    let first = place(&mut book, at(0)).expect("a place");
    book.prefill_done(at(600), &first);
    let declared = DeclaredVersion {
        version: 2,
        declared_at: at(700),
        required_from: at(3000),
        begin_by: at(3200),
    };
    assert!(book.declare(&"m".into(), declared));
    assert!(place(&mut book, at(1300)).is_some(), "0.6 s of 1.9 s");
    assert!(place(&mut book, at(2400)).is_none(), "0.6 s of 0.8 s leave too little");
}
