//! Reads the body of a chunk's response at a limited rate.

use actix_http::error::PayloadError;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::FetchId;
use buckthornwharf_core::weights::{FetchEvent, FetchFailure};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Minimum time between two progress events of a fetch.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// A rate-limited read of one chunk.
pub struct PacedBody {
    /// The fetch whose progress is reported.
    pub id: FetchId,
    /// Bytes of the chunk; a longer body is rejected.
    pub length: usize,
    /// Maximum rate in bytes per second.
    pub bytes_per_second: u64,
    /// Receives the progress events.
    pub events: UnboundedSender<FetchEvent>,
}

impl PacedBody {
    /// Reads `stream` to its end.
    ///
    /// # Errors
    ///
    /// [`FetchFailure::Cut`] if reading fails or the body does not have the chunk's length.
    pub async fn read<S>(self, mut stream: S) -> Result<Bytes, FetchFailure>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let started = Instant::now();
        let mut last_report = started;
        let mut body = BytesMut::with_capacity(self.length);
        while let Some(data) = stream.next().await {
            let data = data.map_err(|_| FetchFailure::Cut)?;
            if body.len() + data.len() > self.length {
                return Err(FetchFailure::Cut);
            }
            body.extend_from_slice(&data);
            if last_report.elapsed() >= PROGRESS_INTERVAL {
                last_report = Instant::now();
                let _ = self.events.send(FetchEvent::Progress(self.id, body.len() as u64));
            }
            self.pace(started, body.len()).await;
        }
        if body.len() != self.length {
            return Err(FetchFailure::Cut);
        }
        Ok(body.freeze())
    }

    async fn pace(&self, started: Instant, bytes: usize) {
        let due = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1) as f64);
        if started.elapsed() < due {
            tokio::time::sleep_until(started + due).await;
        }
    }
}
