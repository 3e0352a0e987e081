//! Range checks of the numbers in the settings, which may be fractions, zero or absent.

use super::BoundSettings;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::settings::source_field;
use serde::de::{Error, IgnoredAny};
use serde::{Deserialize, Deserializer};

/// Longest time that a bound may name.
const MAX_TIME: Duration = Duration::from_hours(24);
/// Largest ratio of retries to requests.
const MAX_RETRY_RATIO: f64 = 100.0;
/// Largest number of retries beyond the ratio.
const MAX_RETRY_EXTRA: f64 = 1e9;
/// Largest bandwidth of a host's link, in megabits per second.
const MAX_LINK_MEGABITS: f64 = 1e7;
/// Bandwidth of a link for which none is given, in megabits per second.
const DEFAULT_LINK_MEGABITS: f64 = 100.0;
/// Length of the retry window if none is given.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Grace period if none is given.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Time for a rollout if none is given.
const DEFAULT_VERSION_TIME: Duration = Duration::from_secs(8);

/// `{setting}` must be a number from 0 to {max} (the platform's field `{field}`)
#[derive(Debug, displaydoc::Display)]
pub struct BoundError {
    /// Name of the setting.
    setting: &'static str,
    /// Field that the template takes the setting from.
    field: &'static str,
    /// Largest value.
    max: f64,
}

/// A value that should be a number.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(untagged)]
enum NumberField {
    Number(f64),
    Other(IgnoredAny),
}

/// The fields of [`BoundSettings`] as they are written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BoundFields {
    #[serde(default)]
    retry_ratio: Option<NumberField>,
    #[serde(default)]
    retry_extra: Option<NumberField>,
    /// In seconds.
    #[serde(default)]
    retry_window: Option<NumberField>,
    /// In seconds.
    #[serde(default)]
    grace: Option<NumberField>,
    /// In milliseconds.
    #[serde(default)]
    version_time: Option<NumberField>,
}

impl TryFrom<BoundFields> for BoundSettings {
    type Error = BoundError;

    fn try_from(fields: BoundFields) -> Result<Self, BoundError> {
        let ratio = checked("retry_ratio", fields.retry_ratio, MAX_RETRY_RATIO)?;
        let extra = checked("retry_extra", fields.retry_extra, MAX_RETRY_EXTRA)?;
        let retry_window = time("retry_window", fields.retry_window, Duration::from_secs(1))?;
        let grace = time("grace", fields.grace, Duration::from_secs(1))?;
        let version_time = time("version_time", fields.version_time, Duration::from_millis(1))?;
        Ok(Self {
            retry_ratio: ratio.unwrap_or(0.0),
            retry_extra: extra.unwrap_or(0.0),
            // A window or rollout of no length bounds nothing.
            retry_window: retry_window.filter(is_positive).unwrap_or(DEFAULT_RETRY_WINDOW),
            grace: grace.unwrap_or(DEFAULT_GRACE),
            version_time: version_time.filter(is_positive).unwrap_or(DEFAULT_VERSION_TIME),
        })
    }
}

/// Reads the bandwidth of a link; absent or 0 means that it is not known.
pub(super) fn link_megabits<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let value = Option::<NumberField>::deserialize(deserializer)?;
    let megabits = checked("link_megabits", value, MAX_LINK_MEGABITS);
    let megabits = megabits.map_err(Error::custom)?;
    Ok(megabits.filter(|megabits| *megabits > 0.0).unwrap_or(DEFAULT_LINK_MEGABITS))
}

fn is_positive(time: &Duration) -> bool {
    !time.is_zero()
}

fn time(
    setting: &'static str,
    value: Option<NumberField>,
    unit: Duration,
) -> Result<Option<Duration>, BoundError> {
    let max = MAX_TIME.as_secs_f64() / unit.as_secs_f64();
    let value = checked(setting, value, max)?;
    Ok(value.map(|value| unit.mul_f64(value)))
}

fn checked(
    setting: &'static str,
    value: Option<NumberField>,
    max: f64,
) -> Result<Option<f64>, BoundError> {
    match value {
        None => Ok(None),
        Some(NumberField::Number(number)) if (0.0..=max).contains(&number) => Ok(Some(number)),
        Some(_) => {
            let field = source_field(setting).unwrap_or("none");
            Err(BoundError { setting, field, max })
        }
    }
}
