//! Virtual start times, by which flows take turns in start-time fair queueing.

/// Units of virtual time per unit of cost at weight 1.
const UNITS_PER_COST: u64 = 1 << 16;

/// Virtual time at which the next request of a flow starts; the flow with the lowest one is next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTag(u64);

impl StartTag {
    /// Advances the tag to the virtual time of its class, so that idle time earns no credit.
    pub fn catch_up(&mut self, virtual_time: StartTag) {
        *self = (*self).max(virtual_time);
    }

    /// Charges `cost` to a flow of this weight.
    pub fn charge(&mut self, cost: u32, weight: u64) {
        self.0 += virtual_cost(cost, weight);
    }

    /// Charges `actual` instead of `charged`.
    pub fn adjust(&mut self, charged: u32, actual: u32, weight: u64) {
        let adjusted = self.0 + virtual_cost(actual, weight);
        self.0 = adjusted.saturating_sub(virtual_cost(charged, weight));
    }
}

fn virtual_cost(cost: u32, weight: u64) -> u64 {
    u64::from(cost) * UNITS_PER_COST / weight.max(1)
}
