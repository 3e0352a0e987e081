//! The active configuration of a process: the newest valid record that it has received. It never
//! goes back to an older generation.

use crate::config::record::{ApplyId, ConfigRecord, RecordError};
use crate::prelude::*;

/// Tracks the active generation and accepts only records that are newer.
#[derive(Debug, Clone, Default)]
pub struct GenerationTracker {
    active: Option<ActiveGeneration>,
}

#[derive(Debug, Clone, Copy)]
struct ActiveGeneration {
    generation: ConfigGeneration,
    apply_id: ApplyId,
}

/// Error that rejects an offered configuration.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum OfferError {
    /// {0}
    Record(RecordError),
    /// the record has generation {found}, but generation {announced} was announced
    WrongGeneration {
        /// Generation announced by the peer.
        announced: ConfigGeneration,
        /// Generation in the record.
        found: ConfigGeneration,
    },
    /// generation {0} was written by two different runs of apply
    Conflict(ConfigGeneration),
}

impl std::error::Error for OfferError {}

impl GenerationTracker {
    /// The active generation; 0 before the first.
    pub fn generation(&self) -> ConfigGeneration {
        self.active.map_or(ConfigGeneration::default(), |active| active.generation)
    }

    /// Offers an encoded record that a peer announced as generation `announced`. Returns the record
    /// if it becomes active, `None` if the active generation is the same or newer.
    ///
    /// # Errors
    ///
    /// [`OfferError`] if `body` is not exactly one valid record, has another generation than
    /// announced, or conflicts with the active record of the same generation.
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

    /// Offers an encoded record. Returns the record if it becomes active, `None` if the active
    /// generation is the same or newer.
    ///
    /// # Errors
    ///
    /// [`OfferError`] if `body` is not exactly one valid record, or conflicts with the active record
    /// of the same generation.
    pub fn offer(&mut self, body: &[u8]) -> Result<Option<ConfigRecord>, OfferError> {
        let record = ConfigRecord::decode(body).map_err(OfferError::Record)?;
        self.offer_record(record)
    }

    fn offer_record(&mut self, record: ConfigRecord) -> Result<Option<ConfigRecord>, OfferError> {
        let ConfigRecord { generation, apply_id, .. } = record;
        if let Some(active) = self.active {
            if active.generation == generation && active.apply_id != apply_id {
                return Err(OfferError::Conflict(generation));
            }
            if active.generation >= generation {
                return Ok(None);
            }
        }
        self.active = Some(ActiveGeneration { generation, apply_id });
        Ok(Some(record))
    }
}
