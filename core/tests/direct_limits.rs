//! Limits of the request rate that targets name: several entries' schedulers in virtual time.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{Admission, RegisteredTarget, SlotGrant, SlotScheduler};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;
use slot_samples::{sample_request, sample_target};

const REGIONS: [&str; 3] = ["x", "y", "z"];
/// Window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4000;
/// Length of a simulation, in milliseconds.
const LENGTH_MS: u64 = 20_000;

fn target(id: &str, site: &str, started_unix_ms: u64) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: id.into(),
        site: site.into(),
        slots: 16,
        started_unix_ms,
        ..sample_target()
    })
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// One scheduler for each entry; `entries` has the region of each.
fn schedulers(entries: &[&str], targets: &[Arc<RegisteredTarget>]) -> Vec<SlotScheduler> {
    let sites = || REGIONS.iter().map(|name| ((*name).into(), (*name).into())).collect();
    let scheduler = |own: usize| {
        let mut scheduler = SlotScheduler::new(EntryRegions::new(entries[own].into(), sites()));
        let others = entries.iter().enumerate().filter(|(other, _)| *other != own);
        let regions: Vec<RegionName> = others.map(|(_, region)| (*region).into()).collect();
        scheduler.set_other_entries(regions.iter());
        scheduler.set_targets(targets.iter());
        scheduler
    };
    (0..entries.len()).map(scheduler).collect()
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

/// The most of `times` that lie in one window.
fn most_in_window(times: &[u64]) -> usize {
    let in_window =
        |start: u64| times.iter().filter(|time| (start..start + WINDOW_MS).contains(*time)).count();
    times.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

proptest! {
    #[test]
    fn all_entries_together_keep_to_a_limit_and_use_it(
        regions in prop::collection::vec(prop::sample::select(&REGIONS), 1..6),
        per_second in 0.5_f64..30.0,
        is_only_target in any::<bool>(),
        idle_from in 0_u64..LENGTH_MS,
    ) {
        let mut targets = vec![target("limited", "x", 0)];
        if !is_only_target {
            targets.extend(["y", "z"].map(|site| target(site, site, 0)));
        }
        let mut schedulers = schedulers(&regions, &targets);
        for scheduler in &mut schedulers {
            scheduler.record_limit(at(0), &targets[0], Some(per_second));
        }
        let mut sent = Vec::new();
        for millis in (0..LENGTH_MS).step_by(5) {
            for (index, scheduler) in schedulers.iter_mut().enumerate() {
                // The first entry is idle for a while, and must not make up for it afterwards.
                if index == 0 && (idle_from..idle_from + WINDOW_MS).contains(&millis) {
                    continue;
                }
                while try_send(scheduler, at(millis)).is_some_and(|grant| &*grant.target.id == "limited") {
                    sent.push(millis);
                }
            }
        }
        let allowed = per_second * 1.5 * WINDOW_MS as f64 / 1000.0 + 5.0;
        prop_assert!(most_in_window(&sent) as f64 <= allowed, "{} of {allowed}", most_in_window(&sent));
        let busy_time = (LENGTH_MS - WINDOW_MS) as f64 / 1000.0;
        if is_only_target {
            let least = per_second * busy_time * 0.8 - regions.len() as f64;
            prop_assert!(sent.len() as f64 >= least, "{} of at least {least}", sent.len());
        }
    }

    #[test]
    fn the_shares_of_all_entries_add_up_to_the_whole(
        entries in prop::collection::vec(prop::sample::select(&REGIONS), 1..8),
        target_region in prop::sample::select(&REGIONS),
        service_regions in prop::collection::btree_set(prop::sample::select(&REGIONS), 0..4),
    ) {
        let sites = || REGIONS.iter().map(|name| ((*name).into(), (*name).into())).collect();
        let service_regions: Vec<RegionName> =
            service_regions.into_iter().map(RegionName::from).collect();
        let shares = (0..entries.len()).map(|own| {
            let mut regions = EntryRegions::new(entries[own].into(), sites());
            let others = entries.iter().enumerate().filter(|(other, _)| *other != own);
            let others: Vec<RegionName> = others.map(|(_, region)| (*region).into()).collect();
            regions.set_others(others.iter());
            regions.limit_share(&target_region.into(), &service_regions)
        });
        let total: f64 = shares.sum();
        prop_assert!((total - 1.0).abs() < 1e-9, "{total}");
    }
}

#[test]
fn the_entries_of_a_limited_targets_region_share_its_limit() {
    let targets = [target("a", "x", 0), target("b", "y", 0)];
    let sent_in_10_s = |entries: &[&str], own: usize| {
        let scheduler = &mut schedulers(entries, &targets)[own];
        targets.iter().for_each(|target| {
            scheduler.record_limit(at(0), target, Some(4.0));
        });
        let sent = (0..10_000).filter_map(|millis| try_send(scheduler, at(millis)));
        sent.filter(|grant| &*grant.target.id == "a").count()
    };
    assert_eq!(sent_in_10_s(&["x", "y", "y", "y"], 0), 34);
    assert_eq!(sent_in_10_s(&["x", "x", "y", "y"], 0), 19);
    assert_eq!(sent_in_10_s(&["x", "y", "y", "y"], 1), 1);
    // No target is in region z, so its entry needs those of other regions.
    assert_eq!(sent_in_10_s(&["x", "y", "z"], 2), 19);
}

#[test]
fn a_request_that_was_not_sent_does_not_count_against_a_limit() {
    let targets = [target("a", "x", 0)];
    let scheduler = &mut schedulers(&["x"], &targets)[0];
    scheduler.record_limit(at(0), &targets[0], Some(1.0));
    for _ in 0..3 {
        let Admission::Granted(grant) = scheduler.request(at(1100), sample_request()) else {
            panic!("the limit allows a request");
        };
        scheduler.release_unused(at(1100), &grant);
    }
    assert!(try_send(scheduler, at(1100)).is_some());
    assert!(try_send(scheduler, at(1100)).is_none());
}

#[test]
fn a_limit_ends_when_the_target_names_none_or_starts_again() {
    let targets = [target("a", "x", 0)];
    let scheduler = &mut schedulers(&["x"], &targets)[0];
    let sent_at = |scheduler: &mut SlotScheduler, millis| {
        (0..10).filter_map(|_| try_send(scheduler, at(millis))).count()
    };
    assert!(scheduler.record_limit(at(0), &targets[0], Some(2.0)));
    assert!(!scheduler.record_limit(at(600), &targets[0], Some(2.0)));
    assert_eq!(sent_at(scheduler, 600), 1);
    assert!(scheduler.record_limit(at(700), &targets[0], None));
    assert!(!scheduler.record_limit(at(700), &targets[0], None));
    assert_eq!(sent_at(scheduler, 700), 10);
    scheduler.record_limit(at(800), &targets[0], Some(2.0));
    assert_eq!(sent_at(scheduler, 800), 0);
    scheduler.set_targets([target("a", "x", 1)].iter());
    assert_eq!(sent_at(scheduler, 800), 10);
}

#[test]
fn a_limit_of_zero_lets_a_rare_request_through() {
    let targets = [target("a", "x", 0)];
    let scheduler = &mut schedulers(&["x"], &targets)[0];
    scheduler.record_limit(at(0), &targets[0], Some(0.0));
    let sent = (0..120_000).step_by(100).filter_map(|millis| try_send(scheduler, at(millis)));
    assert_eq!(sent.count(), 2);
}

#[test]
fn a_request_is_refused_at_once_if_all_targets_are_limited_for_longer_than_it_can_wait() {
    let targets = [target("a", "x", 0), target("b", "x", 0)];
    let scheduler = &mut schedulers(&["x"], &targets)[0];
    targets.iter().for_each(|target| {
        scheduler.record_limit(at(0), target, Some(0.25));
    });
    let Admission::Refused(retry_after) = scheduler.request(at(0), sample_request()) else {
        panic!("the request is not refused");
    };
    assert_eq!(retry_after, Duration::from_secs(4));
    // Shortly before a limit allows a request, it waits for that.
    let Admission::Queued(ticket) = scheduler.request(at(3900), sample_request()) else {
        panic!("the request is not queued");
    };
    assert_eq!(scheduler.next_wake(at(3900)), Some(at(4000)));
    let granted = scheduler.grant_free_slots(at(4000));
    assert_eq!(granted.first().map(|(granted, _)| *granted), Some(ticket));
}
