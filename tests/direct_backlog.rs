//! End-to-end tests of an entry that has fallen behind on a large configuration: an entry process against
//! the stand-in of the platform, whose answers take as long as on a link between regions.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf_platform::keys;
use fleet::{DirectFleet, eventually};
use std::time::Duration;

/// Routes of the configuration besides the few of each fleet.
const MORE_ROUTES: usize = 2000;
/// An entry's share of the link between two regions, in bytes per second.
const BANDWIDTH: f64 = 700_000.0;
/// Time after its acknowledgement by which a configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_secs(4);

/// Writes large configurations up to `versions`, `gap` apart; each one has another route.
async fn put_configs(fleet: &DirectFleet, versions: std::ops::RangeInclusive<u64>, gap: Duration) {
    for version in versions {
        fleet.put_large_config(version, &prefix(version), "secret", MORE_ROUTES);
        actix_rt::time::sleep(gap).await;
    }
}

fn prefix(version: u64) -> String {
    format!("/version-{version}/")
}

async fn wait_in_force(fleet: &DirectFleet, version: u64) {
    fleet.wait_status(&format!("{}x", prefix(version)), "secret", 200).await;
}

#[actix_rt::test]
async fn revisions_of_a_large_configuration_missed_in_an_outage_are_not_all_read() {
    let fleet = DirectFleet::start(1).await;
    put_configs(&fleet, 2..=2, Duration::ZERO).await;
    wait_in_force(&fleet, 2).await;
    let config_bytes = fleet.store.largest_value_bytes(keys::CONFIG);
    fleet.store.silent.set(true);
    fleet.pause().await;
    put_configs(&fleet, 3..=20, Duration::ZERO).await;
    fleet.store.bandwidth.set(Some(BANDWIDTH));
    fleet.store.sent_bytes.set(0);
    fleet.store.silent.set(false);
    wait_in_force(&fleet, 20).await;
    let sent = fleet.store.sent_bytes.get();
    assert!(sent < 4 * config_bytes, "{sent} bytes for a configuration of {config_bytes}");
}

#[actix_rt::test]
async fn the_last_of_many_changes_is_in_force_in_time_whatever_the_size_of_the_configuration() {
    let fleet = DirectFleet::start(1).await;
    put_configs(&fleet, 2..=2, Duration::ZERO).await;
    wait_in_force(&fleet, 2).await;
    fleet.store.bandwidth.set(Some(BANDWIDTH));
    put_configs(&fleet, 3..=52, Duration::from_millis(80)).await;
    fleet.store.sent_bytes.set(0);
    wait_in_force(&fleet, 52).await;
    let sent = fleet.store.sent_bytes.get();
    let sent_in_time = BANDWIDTH * CONFIG_TIME.as_secs_f64();
    assert!((sent as f64) < sent_in_time, "{sent} bytes after the last change, of {sent_in_time}");
    eventually("the watch goes on", || fleet.store.is_watch_current(keys::OPERATOR)).await;
}
