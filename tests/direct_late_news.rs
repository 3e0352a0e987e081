//! Processes that hear of a declared version later than others, against the stand-in of the platform.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{SoakFleet, eventually};
use standin::operator;
use standin::origin::OriginFault;
use std::time::Duration;

/// Time for which the entry stands still; far longer than the difference that is allowed afterwards.
const SUSPENDED_TIME: Duration = Duration::from_secs(4);
/// Allowed difference between the times at which two entries retire a version.
const RETIREMENT_DIFFERENCE: Duration = Duration::from_secs(1);

#[actix_rt::test]
async fn an_entry_that_stood_still_at_a_declaration_retires_the_old_version_with_the_others() {
    let fleet = SoakFleet::start(2, 2).await;
    let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(1));
    eventually("all engines load version 1", loaded).await;
    fleet.wait_status("entry-0", 200).await;
    fleet.wait_status("entry-1", 200).await;
    fleet.origin.fault.set(OriginFault::Down);
    let late = fleet.process("entry-1");
    late.with_process(|process| process.suspend());
    operator::declare_version(&fleet.store, 2);
    actix_rt::time::sleep(SUSPENDED_TIME).await;
    late.with_process(|process| process.resume());
    fleet.wait_status("entry-1", 200).await;
    assert!(loaded(), "no engine has version 2");
    fleet.wait_status("entry-0", 503).await;
    actix_rt::time::sleep(RETIREMENT_DIFFERENCE).await;
    assert_eq!(fleet.status("entry-1", "late").await, Some(503));
}
