//! Waits on conditions.

use anyhow::{Result, bail};
use buckthornwharf_core::prelude::*;
use tokio::time::{sleep, timeout};

/// Pause between two looks at a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
///
/// Names `what` if it does not hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let holds = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    match timeout(limit, holds).await {
        Ok(()) => Ok(()),
        Err(_) => bail!("not within {limit:?}: {what}"),
    }
}
