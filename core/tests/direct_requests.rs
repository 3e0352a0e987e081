//! What may follow an attempt, which route a request takes, and the shared retry budget.

use buckthornwharf_core::direct::{
    AttemptFailure, CallerLimits, CallerTimeoutEstimate, FinalAnswer, NextStep, OrganisationKeys,
    RetryBudget, RouteTable, ServingConfig, ServingRoute, WorkKind, next_step, wait_allowance,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

const ENDS: [AttemptFailure; 6] = [
    AttemptFailure::Unreached,
    AttemptFailure::NotRun,
    AttemptFailure::Stranger,
    AttemptFailure::Broken,
    AttemptFailure::Garbled,
    AttemptFailure::ServerError,
];
const KINDS: [WorkKind; 4] =
    [WorkKind::Idempotent, WorkKind::Once, WorkKind::Stream, WorkKind::ResumableStream];

/// Runs attempts that end as `ends` tells; the targets that may have run the request, and how it
/// ended.
fn play(kind: WorkKind, ends: &[AttemptFailure], budget: u32) -> (u32, Option<FinalAnswer>) {
    let mut runs = 0;
    let mut left = budget;
    for (attempt, end) in ends.iter().enumerate() {
        let may_have_run = runs > 0;
        runs += u32::from(!end.proves_not_run());
        let spend = || {
            let allowed = left > 0;
            left = left.saturating_sub(1);
            allowed
        };
        match next_step(kind, *end, may_have_run, attempt as u32 + 1, 3, spend) {
            NextStep::Retry => {}
            NextStep::Answer(answer) => return (runs, Some(answer)),
        }
    }
    (runs, None)
}

proptest! {
    #[test]
    fn work_runs_once_at_most_and_not_run_is_true(
        kind in prop::sample::select(&KINDS),
        ends in prop::collection::vec(prop::sample::select(&ENDS), 1..6),
        budget in 0_u32..5,
    ) {
        let (runs, answer) = play(kind, &ends, budget);
        prop_assert!(kind.may_repeat() || runs <= 1, "{kind} may have run {runs} times");
        if answer == Some(FinalAnswer::NotRun) {
            prop_assert_eq!(runs, 0);
        }
        prop_assert!(runs <= 3);
    }

    #[test]
    fn the_naive_rule_breaks_the_promise(ends in prop::collection::vec(prop::sample::select(&ENDS), 2..4)) {
        // Asking again whatever the end was runs work twice as soon as two ends prove nothing.
        let naive = ends.iter().filter(|end| !end.proves_not_run()).count();
        let (runs, _) = play(WorkKind::Once, &ends, 9);
        prop_assert!(runs as usize <= naive.min(1));
    }

    #[test]
    fn entries_together_stay_within_the_retry_budget(
        entries in 1_u64..6,
        requests in 0_u64..400,
        wanted in 0_u64..600,
    ) {
        const PERCENT: u64 = 20;
        const EXTRA: u64 = 102;
        let now = MonoTime::from_millis(1000);
        let mut spent = 0;
        for _ in 0..entries {
            let mut budget = RetryBudget::new(Duration::from_secs(10));
            (0..requests).for_each(|_| budget.count_request(now));
            let tries = (0..wanted).filter(|_| budget.try_spend(now, PERCENT, EXTRA, entries));
            spent += tries.count() as u64;
        }
        prop_assert!(spent <= entries * requests * PERCENT / 100 + EXTRA);
    }
}

#[test]
fn a_budget_is_whole_again_after_its_window() {
    let mut budget = RetryBudget::new(Duration::from_secs(10));
    let early = MonoTime::from_millis(1000);
    while budget.try_spend(early, 20, 100, 1) {}
    assert!(!budget.try_spend(MonoTime::from_millis(9000), 20, 100, 1));
    assert!(budget.try_spend(MonoTime::from_millis(12_000), 20, 100, 1));
}

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> ServingRoute {
    ServingRoute {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: WorkKind::Idempotent,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
        priority: 1,
        services: services
            .iter()
            .map(|(name, weight)| (ServiceName::from(*name), *weight))
            .collect(),
        max_attempts: 2,
        anonymous: false,
    }
}

fn table(routes: Vec<ServingRoute>) -> RouteTable {
    RouteTable::new(Arc::new(ServingConfig {
        generation: 1,
        routes,
        services: Vec::new(),
        organisations: Some(vec![OrganisationKeys {
            name: "mill".into(),
            keys: vec!["secret".into()],
            priority: Some(0),
        }]),
        limits: CallerLimits::default(),
    }))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("a.example", "/x/", &[("one", 1)]),
        route("a.example", "/x/y/", &[("two", 1)]),
        route("b.example", "/", &[("three", 1)]),
    ]);
    let name = |host: &str, path: &str| table.find(host, path).map(|found| found.name.to_string());
    assert_eq!(name("a.example", "/x/1").as_deref(), Some("a.example/x/"));
    assert_eq!(name("a.example", "/x/y/1").as_deref(), Some("a.example/x/y/"));
    assert_eq!(name("a.example", "/x/yy").as_deref(), Some("a.example/x/"));
    assert_eq!(name("a.example", "/other"), None);
    assert_eq!(name("b.example", "/anything/at/all").as_deref(), Some("b.example/"));
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn a_route_is_found_among_thousands() {
    let many = (0..5000).map(|n| route("a.example", &format!("/r{n}/"), &[("one", 1)])).collect();
    let table = table(many);
    let found = table.find("a.example", "/r4321/deep/path").expect("it is there");
    assert_eq!(&*found.prefix, "/r4321/");
}

#[test]
fn requests_are_split_by_weight_and_stay_with_their_service() {
    let split = route("a.example", "/", &[("old", 90), ("new", 10)]);
    let table = table(vec![split.clone()]);
    let new = (0..1000).filter(|n| table.service_of(&split, &format!("id-{n}")).as_str() == "new");
    let count = new.count();
    assert!((50..200).contains(&count), "{count} of 1000");
    assert_eq!(table.service_of(&split, "id-7"), table.service_of(&split, "id-7"));
}

#[test]
fn a_key_belongs_to_its_organisation_only() {
    let table = table(Vec::new());
    assert_eq!(table.organisation("secret").map(|(name, _)| name.as_str()), Some("mill"));
    assert!(table.organisation("Secret").is_none());
}

#[test]
fn a_caller_that_comes_back_is_told_by_its_patience() {
    let mut usual = CallerTimeoutEstimate::default();
    let now = MonoTime::from_millis(1000);
    let full = Duration::from_millis(6000);
    assert_eq!(usual.observe(now, full), Duration::ZERO);
    assert_eq!(usual.observe(now, Duration::from_millis(5990)), Duration::ZERO);
    assert_eq!(usual.observe(now, Duration::from_millis(4500)), Duration::from_millis(1500));
    // A shorter patience becomes the usual one once the longer is forgotten.
    let later = MonoTime::from_millis(40_000);
    assert_eq!(usual.observe(later, Duration::from_millis(4500)), Duration::ZERO);
}

#[test]
fn callers_that_differ_in_patience_are_not_taken_for_ones_that_come_back() {
    for full_ms in [6000, 4000, 2500, 1500] {
        let mut usual = CallerTimeoutEstimate::default();
        for step in 0..200_u64 {
            let shown = Duration::from_millis(full_ms - full_ms * (step * 37 % 150) / 1000);
            let now = MonoTime::from_millis(1000 + step);
            assert_eq!(usual.observe(now, shown), Duration::ZERO, "{shown:?} of {full_ms} ms");
        }
        // The shortest time after which a refused caller comes back, or a third of what it has.
        let patient = Duration::from_millis(full_ms);
        let back = patient - Duration::from_millis(1000).min(patient / 3);
        assert!(usual.observe(MonoTime::from_millis(1300), back) > Duration::ZERO, "{back:?}");
    }
}

#[test]
fn only_a_request_that_can_be_in_time_goes_before_others() {
    let objective = Duration::from_millis(400);
    let left = Duration::from_millis(5000);
    let fresh = wait_allowance(objective, Duration::ZERO, left);
    assert!(!fresh.late && fresh.max_wait < objective);
    let late = wait_allowance(objective, Duration::from_millis(1500), left);
    assert!(late.late && late.max_wait > fresh.max_wait);
}
