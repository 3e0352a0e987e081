//! Events, actions and limits of the fetch machine.

use crate::prelude::*;
use crate::weights::ChunkSet;
use crate::weights::plan::DistributionPlan;
use bytes::Bytes;

/// Default of [`FetchLimits::min_stall_timeout`].
const DEFAULT_MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a chunk is fetched from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChunkSource {
    /// The platform's weight store.
    Origin,
    /// Another host.
    Peer(HostName),
}

/// Identifies one fetch of a machine.
pub type FetchId = u64;

/// A request to fetch one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkFetch {
    /// Identifies the fetch in events and in [`FetchAction::Cancel`].
    pub id: FetchId,
    /// Position of the chunk in the manifest.
    pub chunk: usize,
    /// Where to fetch the chunk from.
    pub source: ChunkSource,
    /// Maximum rate in bytes per second; `None` if only the host's own limit applies.
    pub bytes_per_second: Option<u64>,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source did not answer.
    Unreachable,
    /// The answer was truncated or too long.
    Cut,
    /// The source does not hold the chunk.
    NotHere,
    /// The source has no free upload slot.
    Busy,
}

/// Which chunks of a version a host may fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchShare {
    /// Whether the host may fetch chunks that its region does not hold, from the origin or another region.
    pub imports: bool,
    /// Whether the version has precedence on the host's own link.
    pub has_precedence: bool,
}

impl FetchShare {
    /// The share of the version that the host loads next.
    pub const ALL: Self = Self { imports: true, has_precedence: true };

    /// Returns the share of a version that is to be loaded after another one that the host does not hold
    /// yet. `missing` is the number of chunks of that one that are not known to be in the host's region;
    /// `None` if this is not known.
    pub fn after(missing: Option<usize>) -> Self {
        Self { imports: missing == Some(0), has_precedence: false }
    }
}

/// Input of the fetch machine.
#[derive(Debug, Clone)]
pub enum FetchEvent {
    /// The time of [`FetchMachine::next_wake`](super::FetchMachine::next_wake) has come.
    Tick,
    /// Total bytes of the chunk received so far.
    Progress(FetchId, u64),
    /// All bytes of the chunk have arrived, not yet verified.
    Arrived(FetchId, Bytes),
    /// The fetch failed.
    Failed(FetchId, FetchFailure),
    /// The chunks that a host reported to hold.
    HeldBy(HostName, ChunkSet),
    /// A poll of a host failed.
    PollFailed(HostName),
    /// The list of hosts or the configuration changed; this is the new plan.
    Replanned(Arc<DistributionPlan>),
    /// Percentage of the host's capacity that live requests take.
    LiveLoad(u8),
    /// Which chunks may be fetched, while the host fetches another version as well.
    Share(FetchShare),
}

/// Output of the fetch machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a chunk.
    Fetch(ChunkFetch),
    /// Cancel a fetch; the machine ignores any later event of it.
    Cancel(FetchId),
    /// Ask a host which chunks it holds, and report [`FetchEvent::HeldBy`] or
    /// [`FetchEvent::PollFailed`].
    Poll(HostName),
    /// Store a verified chunk and serve it to other hosts.
    Store(usize, Bytes),
    /// Report that a source sent a chunk whose hash does not match.
    ReportCorrupt(ChunkSource, usize),
    /// All chunks are stored.
    Complete,
}

/// Rate and concurrency limits, and timing, of the distribution of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchLimits {
    /// Rate at which all hosts together read from the origin.
    pub origin_bytes_per_second: u64,
    /// Rate of the host's link in each direction.
    pub host_bytes_per_second: u64,
    /// Rate of all hosts together from one region to another.
    pub region_pair_bytes_per_second: u64,
    /// Maximum fetches in flight from the origin.
    pub max_origin_fetches: usize,
    /// Maximum fetches in flight from hosts of this region, not counting slow ones.
    pub max_peer_fetches: usize,
    /// Time at the start during which the origin is not read, because other hosts hold the version.
    pub origin_delay: Duration,
    /// Scale of the machine's pauses and timeouts: 100 suits versions that take minutes to
    /// distribute.
    pub time_scale_percent: u32,
    /// Lower bound of the stall timeout at any scale: a source with a narrowed link is not dead.
    pub min_stall_timeout: Duration,
    /// Whether the version must be distributed within seconds. Slow hosts are then bypassed, at the price
    /// of fetching some chunks twice.
    pub is_urgent: bool,
}

impl FetchLimits {
    /// [`FetchLimits::time_scale_percent`] for urgent versions.
    pub const URGENT_TIME_SCALE_PERCENT: u32 = 20;
    /// [`FetchLimits::max_peer_fetches`] for urgent versions. Few, because the target's requests queue
    /// behind chunks on the same link.
    pub const URGENT_MAX_PEER_FETCHES: usize = 3;

    /// Limits for versions that are not urgent, with the given rates in bytes per second.
    pub fn new(origin: u64, host: u64, region_pair: u64) -> Self {
        Self {
            origin_bytes_per_second: origin.max(1),
            host_bytes_per_second: host.max(1),
            region_pair_bytes_per_second: region_pair.max(1),
            max_origin_fetches: 2,
            max_peer_fetches: 6,
            origin_delay: Duration::ZERO,
            time_scale_percent: 100,
            min_stall_timeout: DEFAULT_MIN_STALL_TIMEOUT,
            is_urgent: false,
        }
    }

    /// `span` scaled by [`FetchLimits::time_scale_percent`].
    pub(super) fn scaled(&self, span: Duration) -> Duration {
        span * self.time_scale_percent / 100
    }
}
