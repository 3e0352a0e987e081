//! Evacuations of sites during the faults, and the check that the sites are empty in time.

use super::faults::FaultState;
use super::fleet::SoakFleet;
use super::standin::operator;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The sites of the fleet.
const SITES: [&str; 2] = ["a", "b"];
/// Time after the operator's write from which nothing may be sent to an evacuated site.
const COMPLIANCE_TIME: Duration = Duration::from_secs(5);
/// Bounds of the time before an evacuation and of its duration, in milliseconds. It lasts into the time in
/// which the site has to be empty.
const PAUSE_MS: std::ops::Range<u64> = 0..3000;
const DURATION_MS: std::ops::Range<u64> = 6000..9000;
/// Distinguishes the generator from that of the faults, whose plans stay the same.
const SEED_SALT: u64 = 0x6576_6163;

/// An evacuation that was withdrawn.
#[derive(Debug, Clone, Copy)]
pub struct SoakEvacuation {
    site: &'static str,
    written: Instant,
    withdrawn: Instant,
}

impl fmt::Display for SoakEvacuation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let duration = self.withdrawn - self.written;
        write!(f, "site {} evacuated for {:.1}s", self.site, duration.as_secs_f64())
    }
}

/// Evacuates one site after the other, or both at the same time.
pub async fn evacuate_sites(fleet: &SoakFleet, seed: u64) -> Vec<SoakEvacuation> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let first = rng.random_range(0..SITES.len());
    let count = if rng.random_bool(0.3) { 2 } else { 1 };
    let mut open = Vec::new();
    for number in 0..count {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        actix_rt::time::sleep(pause).await;
        let site = SITES[(first + number) % SITES.len()];
        operator::evacuate(&fleet.store, site);
        open.push((site, Instant::now()));
    }
    let mut evacuations = Vec::new();
    for (site, written) in open {
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        tokio::time::sleep_until(written + duration).await;
        // A withdrawal is noted before it is written, so that no request that follows it counts.
        let withdrawn = Instant::now();
        operator::withdraw_evacuation(&fleet.store, site);
        evacuations.push(SoakEvacuation { site, written, withdrawn });
    }
    evacuations
}

/// Describes each request that began at an evacuated site later than it may.
pub fn violations(
    evacuations: &[SoakEvacuation],
    fleet: &SoakFleet,
    state: &FaultState,
) -> Vec<String> {
    let runs = fleet.recorder.runs.borrow();
    let mut lines = Vec::new();
    for evacuation in evacuations {
        let empty_from = empty_from(evacuation.written, &state.store_outages.borrow());
        let late = runs.iter().filter(|run| {
            run.site == evacuation.site
                && run.started_at > empty_from
                && run.started_at <= evacuation.withdrawn
        });
        lines.extend(late.map(|run| {
            let after = run.started_at - evacuation.written;
            format!("{} began at evacuated site {} after {after:?}", run.id, run.site)
        }));
    }
    lines
}

/// Returns when a site has to be empty that was evacuated at `written`. If the store answers no process
/// for some of the time until then, none may have heard of it before the outage ended.
fn empty_from(written: Instant, outages: &[(Instant, Instant)]) -> Instant {
    let mut sorted = outages.to_vec();
    sorted.sort_unstable();
    let mut empty_from = written + COMPLIANCE_TIME;
    for (start, end) in sorted {
        if start <= empty_from && end >= written {
            empty_from = empty_from.max(end + COMPLIANCE_TIME);
        }
    }
    empty_from
}
