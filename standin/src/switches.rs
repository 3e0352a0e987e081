//! Sets fault switches from partial JSON objects.

use crate::call::StandinError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Sets the fields of `switches` given in the JSON object `patch`; the others keep their values.
///
/// # Errors
///
/// 400 if `patch` is not an object or has an unknown field or an invalid value. Nothing is set
/// then.
pub fn patch_switches<T: Serialize + DeserializeOwned>(
    switches: &mut T,
    patch: &[u8],
) -> Result<(), StandinError> {
    let bad = |error: serde_json::Error| StandinError::bad_request(error.to_string());
    let patch: serde_json::Map<String, Value> = serde_json::from_slice(patch).map_err(bad)?;
    let mut merged = serde_json::to_value(&*switches).map_err(bad)?;
    let Some(fields) = merged.as_object_mut() else {
        return Err(StandinError::bad_request("the role has no switches"));
    };
    fields.extend(patch);
    *switches = serde_json::from_value(merged).map_err(bad)?;
    Ok(())
}
