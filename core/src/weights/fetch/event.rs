//! What a fetch machine takes in and gives out.

use crate::prelude::*;
use crate::weights::ChunkSet;
use crate::weights::plan::SpreadPlan;
use bytes::Bytes;

const LEAST_STALL: Duration = Duration::from_secs(1);

/// Where a chunk is fetched from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChunkSource {
    /// The platform's weight store.
    Origin,
    /// Another host.
    Peer(HostName),
}

/// Names one fetch of a machine.
pub type FetchTicket = u64;

/// A chunk to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchOrder {
    /// Names the fetch in events and in [`FetchAction::Cancel`].
    pub ticket: FetchTicket,
    /// Position of the chunk in the manifest.
    pub chunk: usize,
    /// Where to fetch it.
    pub source: ChunkSource,
    /// Most bytes a second; none if only the host's own cap applies.
    pub bytes_per_second: Option<u64>,
}

/// Why a fetch brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source does not answer.
    Unreachable,
    /// The answer broke off or was too long.
    Cut,
    /// The source does not hold the chunk.
    NotHere,
    /// The source has no room for another upload.
    Busy,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum FetchEvent {
    /// Time has passed.
    Tick,
    /// So many bytes of a chunk have arrived.
    Progress(FetchTicket, u64),
    /// All bytes of a chunk have arrived; not verified yet.
    Arrived(FetchTicket, Bytes),
    /// A fetch brought nothing.
    Failed(FetchTicket, FetchFailure),
    /// A host told which chunks it holds.
    HeldBy(HostName, ChunkSet),
    /// A host did not tell which chunks it holds.
    PollFailed(HostName),
    /// The list of hosts or the configuration changed.
    Replanned(Arc<SpreadPlan>),
    /// Live requests take so many percent of what the host can do.
    LiveLoad(u8),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a chunk.
    Fetch(FetchOrder),
    /// Break a fetch off; no event of it is expected any more.
    Cancel(FetchTicket),
    /// Ask a host which chunks it holds.
    Poll(HostName),
    /// Keep a chunk, which is verified, and pass it on to whoever asks.
    Keep(usize, Bytes),
    /// A source sent bytes that are not those of the chunk.
    Corrupt(ChunkSource, usize),
    /// Every chunk is kept.
    Complete,
}

/// What the spread may take of each link, in bytes a second, and how much may run at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchLimits {
    /// From the origin, over all hosts.
    pub origin_bytes_per_second: u64,
    /// Up or down the host's link.
    pub host_bytes_per_second: u64,
    /// One way between two regions, over all hosts.
    pub region_pair_bytes_per_second: u64,
    /// Fetches from the origin at once.
    pub origin_fetches: usize,
    /// Fetches from hosts of the own region at once.
    pub peer_fetches: usize,
    /// Time for which the origin is left alone, because other hosts hold the version.
    pub origin_delay: Duration,
    /// The machine's pauses and patience, in percent of those for versions that take minutes.
    pub time_percent: u32,
    /// Stall that counts at any pace: a narrowed link is not a dead source.
    pub least_stall: Duration,
    /// Whether slow hosts are worked round at the price of some chunks that are fetched twice, because
    /// the version has seconds to spread.
    pub is_urgent: bool,
}

impl FetchLimits {
    /// Pace of the machine for versions that take seconds.
    pub const SECONDS_PERCENT: u32 = 20;
    /// Fetches from hosts of the own region at once for versions that take seconds. The target's
    /// requests come by the same link, so that only few chunks may stand before them.
    pub const SECONDS_PEER_FETCHES: usize = 3;

    /// Limits under these allowances, with the usual number of fetches at once.
    pub fn new(origin: u64, host: u64, region_pair: u64) -> Self {
        Self {
            origin_bytes_per_second: origin.max(1),
            host_bytes_per_second: host.max(1),
            region_pair_bytes_per_second: region_pair.max(1),
            origin_fetches: 2,
            peer_fetches: 6,
            origin_delay: Duration::ZERO,
            time_percent: 100,
            least_stall: LEAST_STALL,
            is_urgent: false,
        }
    }

    /// `span` at the pace of the machine.
    pub(super) fn paced(&self, span: Duration) -> Duration {
        span * self.time_percent / 100
    }
}
