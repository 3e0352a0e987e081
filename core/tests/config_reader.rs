//! Tests of the schedule of calls to the key-value service, for one process and for a fleet in
//! virtual time.

#[path = "support/fleet.rs"]
mod fleet;

use buckthornwharf_core::config::budget::{CallBudget, RetryBackoff};
use buckthornwharf_core::config::reader::WATCHERS_PER_SITE;
use buckthornwharf_core::config::{ConfigReader, KvCall, ReaderEvent};
use buckthornwharf_core::prelude::*;
use fleet::FleetModel;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SITES: usize = 11;
/// Reads per second that the key-value service can spare for the configuration, since it also
/// serves other calls.
const MAX_READS_PER_SECOND: u64 = 1_000;
const ACTIVE_LIMIT: Duration = Duration::from_secs(11);

fn site_host_names(size: usize) -> Vec<HostName> {
    (0..size).map(|number| HostName::from(format!("host-{number}"))).collect()
}

#[test]
fn each_site_has_two_watchers_and_a_lost_one_is_replaced() {
    let mut rng = StdRng::seed_from_u64(1);
    for size in [1, 2, 3, 30] {
        let mut site_hosts = site_host_names(size);
        let watchers = |site_hosts: &[HostName], rng: &mut StdRng| -> Vec<HostName> {
            let reader = |host: &HostName| {
                let mut reader = ConfigReader::new(host.clone(), MonoTime::ZERO, rng);
                reader.on_event(
                    MonoTime::ZERO,
                    ReaderEvent::Hosts { site_hosts, fleet_size: size },
                    rng,
                );
                reader.is_watcher().then(|| host.clone())
            };
            site_hosts.iter().filter_map(reader).collect()
        };
        let before = watchers(&site_hosts, &mut rng);
        assert_eq!(before.len(), size.min(WATCHERS_PER_SITE));
        site_hosts.retain(|host| *host != before[0]);
        let after = watchers(&site_hosts, &mut rng);
        assert_eq!(after.len(), (size - 1).min(WATCHERS_PER_SITE));
        assert!(before[1..].iter().all(|host| after.contains(host)));
    }
}

#[test]
fn a_service_that_does_not_hold_watches_is_not_called_in_a_tight_loop() {
    let mut rng = StdRng::seed_from_u64(1);
    let site_hosts = site_host_names(1);
    let mut reader = ConfigReader::new(site_hosts[0].clone(), MonoTime::ZERO, &mut rng);
    let mut now = MonoTime::ZERO;
    let mut call = reader.on_event(
        now,
        ReaderEvent::Hosts { site_hosts: &site_hosts, fleet_size: 1 },
        &mut rng,
    );
    let mut watches = 0;
    while now < MonoTime::from_millis(60_000) {
        let event = match call {
            Some(KvCall::Watch { after_index }) => {
                watches += 1;
                ReaderEvent::Row { index: after_index }
            }
            Some(KvCall::Read) => ReaderEvent::Row { index: 7 },
            None => ReaderEvent::Tick,
        };
        now = reader.due().unwrap_or(now).max(now);
        call = reader.on_event(now, event, &mut rng);
    }
    assert!((5..60).contains(&watches), "{watches} watches in a minute");
}

#[test]
fn calls_stay_bounded_as_the_fleet_grows() {
    for size in [20, 200, 2_000] {
        let mut fleet = FleetModel::start(size, SITES, 1);
        fleet.apply();
        fleet.run_until_active(ACTIVE_LIMIT).expect("active after the start");
        fleet.run_for(Duration::from_secs(60));
        let before = fleet.counts.calls;
        fleet.run_for(Duration::from_secs(60));
        let calls = fleet.counts.calls - before;
        assert!(calls / 60 <= 30, "{size} processes: {calls} calls in a minute");
        let peak = fleet.calls_by_second.iter().max().copied().unwrap_or(0);
        assert!(peak <= MAX_READS_PER_SECOND, "{size} processes: {peak} calls in a second");
    }
}

#[test]
fn recovery_of_the_service_causes_no_load_spike() {
    for has_config in [true, false] {
        let mut fleet = FleetModel::start(2_000, SITES, 2);
        if has_config {
            fleet.apply();
            fleet.run_until_active(ACTIVE_LIMIT).expect("active after the start");
        }
        fleet.set_down(true);
        let before = fleet.counts.calls;
        fleet.run_for(Duration::from_secs(600));
        let calls = fleet.counts.calls - before;
        assert!(
            calls / 600 <= 200,
            "{calls} calls in ten minutes of outage, has_config: {has_config}"
        );
        let recovered_at_second = fleet.calls_by_second.len();
        fleet.set_down(false);
        fleet.apply();
        let activation = fleet.run_until_active(ACTIVE_LIMIT);
        assert!(activation.is_some(), "not active after recovery, has_config: {has_config}");
        fleet.run_for(Duration::from_secs(30));
        let peak = fleet.calls_by_second[recovered_at_second..].iter().max().copied().unwrap_or(0);
        assert!(peak <= MAX_READS_PER_SECOND, "{peak} calls in a second, has_config: {has_config}");
    }
}

#[test]
fn first_reads_are_spread_when_all_processes_start_without_a_configuration() {
    let mut fleet = FleetModel::start(2_000, SITES, 4);
    fleet.run_for(Duration::from_secs(30));
    let peak = fleet.calls_by_second.iter().max().copied().unwrap_or(0);
    assert!((100..=MAX_READS_PER_SECOND).contains(&peak), "{peak} calls in a second");
}

#[test]
fn a_new_generation_spreads_without_any_watcher() {
    let mut fleet = FleetModel::start(2_000, SITES, 3);
    fleet.apply();
    fleet.run_until_active(ACTIVE_LIMIT).expect("active after the start");
    fleet.run_for(Duration::from_secs(60));
    assert!(fleet.link_ends > 2_000);
    assert_eq!(fleet.kill_watchers(), SITES * WATCHERS_PER_SITE);
    fleet.apply();
    assert!(fleet.run_until_active(ACTIVE_LIMIT).is_some());
}

proptest! {
    #[test]
    fn call_budget_never_exceeds_its_rate(
        calls in prop::collection::vec(0_u64..400, 1..200),
    ) {
        let mut budget = CallBudget::new(10.0, 5.0, MonoTime::ZERO);
        let mut now = 0;
        let mut taken = 0_u64;
        for pause in calls {
            now += pause;
            taken += u64::from(budget.try_take(MonoTime::from_millis(now)));
            prop_assert!(taken <= 5 + now / 100);
        }
    }

    #[test]
    fn backoff_grows_to_its_cap_with_jitter(attempt in 0_u32..70, seed in any::<u64>()) {
        let backoff = RetryBackoff::default();
        let delay = backoff.delay(attempt, &mut StdRng::seed_from_u64(seed));
        let max_delay = backoff.base.saturating_mul(1 << attempt.min(16)).min(backoff.cap);
        prop_assert!(delay <= max_delay && delay >= max_delay / 2);
    }
}
