//! The preview of a decision on a request.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, CallerTime, PlacementVerdict, RegisteredTarget, SlotRequest, SlotScheduler,
    TargetPhase, TargetVerdict, WaitAllowance,
};
use buckthornwharf_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slot_samples::{sample_request, sample_target};

fn target(number: usize) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: format!("target-{number}").into(),
        site: if number.is_multiple_of(2) { "a" } else { "b" }.into(),
        slots: 3,
        phase: if number == 5 { TargetPhase::Draining } else { TargetPhase::Ready },
        ..sample_target()
    })
}

fn request(rng: &mut StdRng) -> SlotRequest {
    let late = rng.random_bool(0.5);
    SlotRequest {
        priority: rng.random_range(0..3),
        wait: WaitAllowance { max_wait: Duration::from_millis(rng.random_range(50..900)), late },
        prompt_tokens: rng.random_range(0..2000),
        ..sample_request()
    }
}

/// Guards against an answer to an operator that differs from what happens, and against a question that
/// takes a slot or a place in the queue.
#[test]
fn a_preview_is_what_happens_to_a_request_that_arrives_at_the_same_time() {
    for learned in [false, true] {
        let mut rng = StdRng::seed_from_u64(7);
        let sites = ["a", "b"].map(|name| (SiteName::from(name), RegionName::from(name)));
        let mut scheduler =
            SlotScheduler::new(EntryRegions::new("a".into(), sites.into_iter().collect()));
        if learned {
            scheduler.enable_learned_limits(1);
        }
        let targets: Vec<_> = (0..6).map(target).collect();
        scheduler.set_targets(targets.iter());
        scheduler.set_prefill_rate(&"llm".into(), 30_000);
        let mut grants = Vec::new();
        let mut decided = [0; 3];
        for step in 0..2000_u64 {
            let now = MonoTime::from_millis(step * 10);
            if rng.random_bool(0.4) && !grants.is_empty() {
                let grant: buckthornwharf_core::direct::SlotGrant =
                    grants.swap_remove(rng.random_range(0..grants.len()));
                scheduler.prefill_done(now, &grant);
                scheduler.release(now, &grant.target.id, SlotOutcome::Answered);
            }
            if rng.random_bool(0.02) {
                let evacuated = [vec![], vec!["a".into()], vec!["a".into(), "b".into()]];
                scheduler.set_evacuated(now, evacuated[rng.random_range(0..3)].clone());
            }
            grants.extend(scheduler.grant_free_slots(now).into_iter().map(|(_, grant)| grant));
            scheduler.refuse_unplaceable();
            scheduler.expire(now);
            let request = request(&mut rng);
            let (waiting, in_flight) = (scheduler.waiting(), scheduler.in_flight());
            let preview = scheduler.preview(now, &request, CallerTime::default());
            assert_eq!((scheduler.waiting(), scheduler.in_flight()), (waiting, in_flight));
            assert_eq!(preview.targets.len(), targets.len());
            let admission = scheduler.request(now, request);
            assert_eq!(preview.admission, admission);
            match admission {
                Admission::Granted(grant) => {
                    let id = &grant.target.id;
                    let is_chosen = |verdict: &&TargetVerdict| verdict.target.id == *id;
                    let chosen =
                        preview.targets.iter().map(|target| &target.verdict).find(is_chosen);
                    let verdict = chosen.expect("a verdict on each target").verdict;
                    assert!(matches!(verdict, PlacementVerdict::Allowed { .. }), "{verdict:?}");
                    decided[0] += 1;
                    grants.push(grant);
                }
                Admission::Queued(_) => decided[1] += 1,
                Admission::Refused(_) => decided[2] += 1,
            }
        }
        assert!(decided.iter().all(|count| *count > 50), "each decision is met: {decided:?}");
    }
}
