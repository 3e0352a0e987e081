//! Which configuration is in force: the newest whole one that the process has seen, never an older
//! one.

use crate::config::record::{ApplyId, ConfigRecord, RecordError};
use crate::prelude::*;

/// Remembers which generation is in force.
#[derive(Debug, Clone, Default)]
pub struct GenerationHolder {
    held: Option<HeldGeneration>,
}

#[derive(Debug, Clone, Copy)]
struct HeldGeneration {
    generation: ConfigGeneration,
    apply_id: ApplyId,
}

/// Why a configuration that was offered is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum OfferError {
    /// {0}
    Record(RecordError),
    /// the record is of generation {found}, not of the announced {announced}
    WrongGeneration {
        /// What was announced.
        announced: ConfigGeneration,
        /// What the record says.
        found: ConfigGeneration,
    },
    /// generation {0} was written by two runs of apply
    Conflict(ConfigGeneration),
}

impl std::error::Error for OfferError {}

impl GenerationHolder {
    /// The generation in force; zero before the first.
    pub fn generation(&self) -> ConfigGeneration {
        self.held.map_or(ConfigGeneration::default(), |held| held.generation)
    }

    /// Offers an encoded record that was announced as being of generation `announced`. It comes back
    /// if it is in force now, and does not if the one in force is as new or newer.
    ///
    /// # Errors
    ///
    /// [`OfferError`] if it is no whole record or contradicts the announcement.
    pub fn offer_announced(
        &mut self,
        announced: ConfigGeneration,
        body: &[u8],
    ) -> Result<Option<ConfigRecord>, OfferError> {
        if announced < self.generation() {
            return Ok(None);
        }
        let record = ConfigRecord::decode(body).map_err(OfferError::Record)?;
        if record.generation != announced {
            let found = record.generation;
            return Err(OfferError::WrongGeneration { announced, found });
        }
        self.offer_record(record)
    }

    /// Offers an encoded record. It comes back if it is in force now, and does not if the one in
    /// force is as new or newer.
    ///
    /// # Errors
    ///
    /// [`OfferError`] if it is no whole record.
    pub fn offer(&mut self, body: &[u8]) -> Result<Option<ConfigRecord>, OfferError> {
        let record = ConfigRecord::decode(body).map_err(OfferError::Record)?;
        self.offer_record(record)
    }

    fn offer_record(&mut self, record: ConfigRecord) -> Result<Option<ConfigRecord>, OfferError> {
        let ConfigRecord { generation, apply_id, .. } = record;
        if let Some(held) = self.held {
            if held.generation == generation && held.apply_id != apply_id {
                return Err(OfferError::Conflict(generation));
            }
            if held.generation >= generation {
                return Ok(None);
            }
        }
        self.held = Some(HeldGeneration { generation, apply_id });
        Ok(Some(record))
    }
}
