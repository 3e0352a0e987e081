//! Polls a condition until it holds or a time limit expires.

use anyhow::{Result, bail};
use buckthornwharf_core::prelude::*;
use tokio::time::{sleep, timeout};

/// Interval between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` every [`POLL_INTERVAL`] until it holds.
///
/// # Errors
///
/// Fails if `condition` does not hold within `time_limit`; `description` says in the message
/// which condition it is.
pub async fn wait_until(
    description: &str,
    time_limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let holds = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    match timeout(time_limit, holds).await {
        Ok(()) => Ok(()),
        Err(_) => bail!("timed out after {time_limit:?}: {description}"),
    }
}
