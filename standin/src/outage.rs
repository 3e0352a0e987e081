//! Outages of a whole service.

use crate::call::StandinError;
use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use std::future::pending;

/// How a service is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// The service works.
    #[default]
    Off,
    /// Each call is answered 503 at once.
    Refuse,
    /// No call is answered; one that came in the outage is never answered.
    Hang,
}

impl OutageMode {
    /// Returns at once if the service works; otherwise fails with 503 or never returns.
    ///
    /// # Errors
    ///
    /// 503 in an outage that refuses.
    pub async fn apply(self) -> Result<(), StandinError> {
        match self {
            OutageMode::Off => Ok(()),
            OutageMode::Refuse => {
                Err(StandinError::new(StatusCode::SERVICE_UNAVAILABLE, "the service is down"))
            }
            OutageMode::Hang => pending().await,
        }
    }
}
