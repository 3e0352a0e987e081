//! Takes in settings that change while the process runs.

use super::settings::DirectSettings;
use actix_rt::signal::unix::{SignalKind, signal};
use anyhow::Result;
use log::{info, warn};
use std::path::PathBuf;
use std::time::Duration;

/// Time between looks at the settings, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Hands changed settings to `take` for the rest of the process; SIGHUP makes it look at once.
///
/// # Errors
///
/// Fails if the signal cannot be caught.
pub fn watch_settings(path: PathBuf, mut take: impl FnMut(DirectSettings) + 'static) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = std::fs::read(&path).unwrap_or_default();
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = actix_rt::time::sleep(POLL_INTERVAL) => {}
            }
            let Ok(text) = std::fs::read(&path) else {
                continue;
            };
            if text == known {
                continue;
            }
            known = text;
            match DirectSettings::read(&path) {
                Ok(settings) => {
                    info!("event=settings_reloaded file={}", path.display());
                    take(settings);
                }
                Err(error) => warn!("event=settings_kept reason=\"{error:#}\""),
            }
        }
    });
    Ok(())
}
