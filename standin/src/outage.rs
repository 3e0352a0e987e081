//! Simulated outages of a whole service.

use crate::call::StandinError;
use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use std::future::pending;

/// How a service is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// No outage.
    #[default]
    Off,
    /// Every request gets status 503 at once.
    Refuse,
    /// No request gets a response. Those received during the outage never get one, even after it
    /// ends.
    Hang,
}

impl OutageMode {
    /// Applies the outage to a request: returns at once, fails with 503 or never returns.
    ///
    /// # Errors
    ///
    /// 503 for [`OutageMode::Refuse`].
    pub async fn apply(self) -> Result<(), StandinError> {
        match self {
            OutageMode::Off => Ok(()),
            OutageMode::Refuse => Err(StandinError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "service unavailable: simulated outage",
            )),
            OutageMode::Hang => pending().await,
        }
    }
}
