//! Reloads settings that change while the process runs.

use super::settings::DirectSettings;
use actix_rt::signal::unix::{SignalKind, signal};
use anyhow::Result;
use log::{info, warn};
use prometheus::IntCounter;
use std::path::PathBuf;
use std::time::Duration;

/// Time between checks of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Calls `on_change` with each valid change of the settings file at `path` for the rest of the process.
/// Invalid settings are logged, counted in `rejected` and change nothing. SIGHUP triggers a check at once.
///
/// # Errors
///
/// Fails if the handler of SIGHUP cannot be installed.
pub fn watch_settings(
    path: PathBuf,
    rejected: IntCounter,
    mut on_change: impl FnMut(DirectSettings) + 'static,
) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut current = std::fs::read(&path).unwrap_or_default();
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = actix_rt::time::sleep(POLL_INTERVAL) => {}
            }
            let Ok(text) = std::fs::read(&path) else {
                continue;
            };
            if text == current {
                continue;
            }
            current = text;
            match DirectSettings::read(&path) {
                Ok(settings) => {
                    info!("event=settings_reloaded file={}", path.display());
                    on_change(settings);
                }
                Err(error) => {
                    warn!("event=settings_kept reason=\"{error:#}\"");
                    rejected.inc();
                }
            }
        }
    });
    Ok(())
}
