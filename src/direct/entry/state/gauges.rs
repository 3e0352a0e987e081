//! Gauges that follow the state of an entry.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::prelude::*;
use std::rc::Rc;

/// Time between updates of the gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the gauges of evacuated sites and of learned limits for the lifetime of the process.
pub async fn run_gauges(state: Rc<EntryState>) {
    loop {
        let now = clock::now();
        state.update_evacuation_metrics(now);
        state.update_limit_metrics(now);
        actix_rt::time::sleep(UPDATE_INTERVAL).await;
    }
}
