//! Retries after failed attempts, the route table, the shared retry budget, and caller timeouts.

use buckthornwharf_core::direct::{
    AttemptFailure, CallerLimits, CallerTimeoutEstimate, FinalAnswer, NextStep, OrganisationKeys,
    RegionSet, RetryAllowance, RetryBudget, RouteTable, ServingConfig, ServingRoute, WorkKind,
    next_step, wait_allowance,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

const FAILURES: [AttemptFailure; 8] = [
    AttemptFailure::Unreached,
    AttemptFailure::NotRun,
    AttemptFailure::Stranger,
    AttemptFailure::Broken,
    AttemptFailure::Garbled,
    AttemptFailure::ServerError,
    AttemptFailure::Outdated,
    AttemptFailure::Silent,
];
const KINDS: [WorkKind; 4] =
    [WorkKind::Idempotent, WorkKind::Once, WorkKind::Stream, WorkKind::ResumableStream];

/// Makes attempts that fail with `failures`, with a budget of `retries`. Returns the number of
/// attempts that may have run the request, and the final answer if there is one.
fn run_attempts(
    kind: WorkKind,
    failures: &[AttemptFailure],
    retries: u32,
) -> (u32, Option<FinalAnswer>) {
    let mut possible_runs = 0;
    let mut retries_left = retries;
    for (index, failure) in failures.iter().enumerate() {
        let may_have_run = possible_runs > 0;
        possible_runs += u32::from(!failure.proves_not_run());
        let try_spend_retry = || {
            let may_retry = retries_left > 0;
            retries_left = retries_left.saturating_sub(1);
            may_retry
        };
        match next_step(kind, *failure, may_have_run, index as u32 + 1, 3, try_spend_retry) {
            NextStep::Retry => {}
            NextStep::Answer(answer) => return (possible_runs, Some(answer)),
        }
    }
    (possible_runs, None)
}

proptest! {
    #[test]
    fn non_repeatable_requests_run_at_most_once_and_not_run_is_never_wrong(
        kind in prop::sample::select(&KINDS),
        failures in prop::collection::vec(prop::sample::select(&FAILURES), 1..6),
        retries in 0_u32..5,
    ) {
        let (possible_runs, answer) = run_attempts(kind, &failures, retries);
        prop_assert!(
            kind.may_repeat() || possible_runs <= 1,
            "{kind} may have run {possible_runs} times"
        );
        if answer == Some(FinalAnswer::NotRun) {
            prop_assert_eq!(possible_runs, 0);
        }
        prop_assert!(possible_runs <= 3);
    }

    #[test]
    fn a_request_runs_at_most_once_where_unconditional_retries_would_repeat_it(
        failures in prop::collection::vec(prop::sample::select(&FAILURES), 2..4),
    ) {
        // Retrying after every failure runs a request twice as soon as two failures prove nothing.
        let unconditional_runs =
            failures.iter().filter(|failure| !failure.proves_not_run()).count();
        let (possible_runs, _) = run_attempts(WorkKind::Once, &failures, 9);
        prop_assert!(possible_runs as usize <= unconditional_runs.min(1));
    }

    #[test]
    fn all_entries_together_stay_within_the_retry_budget(
        entries in 1_u64..24,
        requests in 0_u64..400,
        attempted in 0_u64..600,
        ratio in 0.0..0.5_f64,
        extra in 0.0..300.0_f64,
    ) {
        let allowance = RetryAllowance { ratio, extra, entries };
        let now = MonoTime::from_millis(1000);
        let mut spent = 0;
        for _ in 0..entries {
            let mut budget = RetryBudget::new(Duration::from_secs(10));
            (0..requests).for_each(|_| budget.count_request(now));
            let retries = (0..attempted).filter(|_| budget.try_spend(now, allowance));
            spent += retries.count() as u64;
        }
        prop_assert!(spent as f64 <= (entries * requests) as f64 * ratio + extra);
    }
}

const ALLOWANCE: RetryAllowance = RetryAllowance { ratio: 0.2, extra: 100.0, entries: 1 };

/// Returns the number of retries that an entry may send for `requests`.
fn retries_of(requests: u64, allowance: RetryAllowance) -> usize {
    let now = MonoTime::from_millis(1000);
    let mut budget = RetryBudget::new(Duration::from_secs(10));
    (0..requests).for_each(|_| budget.count_request(now));
    (0..1000).filter(|_| budget.try_spend(now, allowance)).count()
}

#[test]
fn fractions_of_an_allowance_add_up_before_they_are_rounded_down() {
    // 0.7 of 3 * 0.2 + 39.705 / 23 retries is 1.6; rounded one by one, the parts come to 0.
    let allowance = RetryAllowance { ratio: 0.2, extra: 39.705, entries: 23 };
    assert_eq!(retries_of(3, allowance), 1);
    assert_eq!(retries_of(0, RetryAllowance { ratio: 0.2, extra: 22.9, entries: 23 }), 0);
}

#[test]
fn a_spent_budget_is_restored_after_its_window() {
    let mut budget = RetryBudget::new(Duration::from_secs(10));
    let start = MonoTime::from_millis(1000);
    while budget.try_spend(start, ALLOWANCE) {}
    assert!(!budget.try_spend(MonoTime::from_millis(9000), ALLOWANCE));
    assert!(budget.try_spend(MonoTime::from_millis(12_000), ALLOWANCE));
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
        allowed_regions: RegionSet::default(),
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
            allowed_regions: RegionSet::default(),
        }]),
        limits: CallerLimits::default(),
    }))
}

#[test]
fn a_path_takes_the_route_with_the_longest_prefix_of_its_host() {
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
    let routes = (0..5000).map(|n| route("a.example", &format!("/r{n}/"), &[("one", 1)])).collect();
    let table = table(routes);
    let found = table.find("a.example", "/r4321/deep/path").expect("route exists");
    assert_eq!(&*found.prefix, "/r4321/");
}

#[test]
fn requests_are_split_by_weight_and_each_id_keeps_its_service() {
    let route = route("a.example", "/", &[("old", 90), ("new", 10)]);
    let table = table(vec![route.clone()]);
    let to_new =
        (0..1000).filter(|n| table.service_of(&route, &format!("id-{n}")).as_str() == "new");
    let count = to_new.count();
    assert!((50..200).contains(&count), "{count} of 1000 requests went to the new service");
    assert_eq!(table.service_of(&route, "id-7"), table.service_of(&route, "id-7"));
}

#[test]
fn a_key_is_found_only_by_its_exact_value() {
    let table = table(Vec::new());
    assert_eq!(table.organisation("secret").map(|(name, _)| name.as_str()), Some("mill"));
    assert!(table.organisation("Secret").is_none());
}

#[test]
fn a_retry_is_recognised_by_its_shorter_timeout() {
    let mut estimate = CallerTimeoutEstimate::default();
    let now = MonoTime::from_millis(1000);
    let full_timeout = Duration::from_millis(6000);
    assert_eq!(estimate.observe(now, full_timeout), Duration::ZERO);
    assert_eq!(estimate.observe(now, Duration::from_millis(5990)), Duration::ZERO);
    assert_eq!(estimate.observe(now, Duration::from_millis(4500)), Duration::from_millis(1500));
    // Once the longer timeout is forgotten, a shorter one is taken for a first try.
    let later = MonoTime::from_millis(40_000);
    assert_eq!(estimate.observe(later, Duration::from_millis(4500)), Duration::ZERO);
}

#[test]
fn callers_with_different_timeouts_are_not_taken_for_retries() {
    for full_ms in [6000, 4000, 2500, 1500] {
        let mut estimate = CallerTimeoutEstimate::default();
        for step in 0..200_u64 {
            let timeout = Duration::from_millis(full_ms - full_ms * (step * 37 % 150) / 1000);
            let now = MonoTime::from_millis(1000 + step);
            assert_eq!(
                estimate.observe(now, timeout),
                Duration::ZERO,
                "{timeout:?} of {full_ms} ms"
            );
        }
        // A refused caller retries after the shortest retry-after time, or a third of its timeout.
        let full_timeout = Duration::from_millis(full_ms);
        let remaining = full_timeout - Duration::from_millis(1000).min(full_timeout / 3);
        assert!(
            estimate.observe(MonoTime::from_millis(1300), remaining) > Duration::ZERO,
            "{remaining:?}"
        );
    }
}

#[test]
fn a_request_that_missed_its_objective_is_late_and_may_wait_longer() {
    let objective = Duration::from_millis(400);
    let time_left = Duration::from_millis(5000);
    let in_time = wait_allowance(objective, Duration::ZERO, time_left);
    assert!(!in_time.late && in_time.max_wait < objective);
    let late = wait_allowance(objective, Duration::from_millis(1500), time_left);
    assert!(late.late && late.max_wait > in_time.max_wait);
}
