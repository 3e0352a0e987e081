//! An entry whose connections to the store go silent without a reset, while new ones work, against the stand-in
//! of the platform.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf_standin::relay::{RelaySwitches, SilenceMode};
use fleet::{SoakFleet, VERSION_TIME, eventually, set_switches};
use standin::operator;
use standin::origin::OriginFault;
use std::time::Duration;
use tokio::time::Instant;

/// Time between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the end of the old version for which requests are sent.
const LATE_TIME: Duration = Duration::from_millis(2500);

/// Starts an entry and two engines, and silences the entry's open connections to the store once the entry serves
/// requests.
async fn start_silenced() -> SoakFleet {
    let fleet = SoakFleet::start(1, 2).await;
    fleet.wait_status("entry-0", 200).await;
    let silence = RelaySwitches { silence: SilenceMode::Both, ..RelaySwitches::default() };
    set_switches(&fleet.process("entry-0").store_relay, &silence);
    fleet
}

// An entry heard of a new version late over a silent connection, and used the old one for that much longer.
#[actix_rt::test]
async fn requests_do_not_begin_on_a_version_whose_successor_was_heard_of_late() {
    let fleet = start_silenced().await;
    fleet.origin.fault.set(OriginFault::Down);
    operator::declare_version(&fleet.store, 2);
    let version_end = Instant::now() + VERSION_TIME;
    let mut refusals = 0;
    for number in 0.. {
        if Instant::now() > version_end + LATE_TIME {
            break;
        }
        let status = fleet.status("entry-0", &format!("request-{number}")).await;
        refusals += u32::from(status == Some(503));
        actix_rt::time::sleep(REQUEST_INTERVAL).await;
    }
    let runs = fleet.recorder.runs.borrow();
    let late: Vec<Duration> =
        runs.iter().filter_map(|run| run.started_at.checked_duration_since(version_end)).collect();
    assert!(late.is_empty(), "{} late runs, the last by {:?}", late.len(), late.last());
    assert!(runs.iter().all(|run| run.version == 1), "the origin is down");
    assert!(refusals > 0, "the entry retires version 1");
}

// An entry used a removed key until the call on a silent connection had timed out.
#[actix_rt::test]
async fn a_configuration_is_heard_of_before_the_call_on_a_silent_connection_times_out() {
    let fleet = start_silenced().await;
    fleet.configure(|config| config.key = "key-2".to_owned());
    let generation = fleet.config.borrow().version;
    let entry = fleet.process("entry-0");
    let heard = || entry.output().contains(&format!("event=config generation={generation}"));
    eventually("the entry hears of the configuration", heard).await;
    assert!(!entry.output().contains("event=store_lost prefix=op/"), "{}", entry.output());
    assert_eq!(fleet.status("entry-0", "new-key").await, Some(200));
}
