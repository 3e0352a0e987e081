//! Decides how large the answer to a watch may be before reading the items anew costs less.

/// Answers up to this size are always read, in bytes.
const MIN_LIMIT_BYTES: usize = 256 * 1024;
/// Largest answer relative to the items: one change of everything, encoded as text, and some more.
const LIMIT_PERCENT: usize = 200;

/// Limits the changes that a watch transfers after it fell behind. A large item that changes often may
/// have many revisions in the history, of which only the last one matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BacklogLimit {
    items_bytes: usize,
}

impl BacklogLimit {
    /// Records the sizes of all items, in bytes.
    pub fn on_items(&mut self, sizes: impl Iterator<Item = usize>) {
        self.items_bytes = sizes.sum();
    }

    /// Records the sizes of the items in an answer to the watch, in bytes.
    pub fn on_changes(&mut self, sizes: impl Iterator<Item = usize>) {
        self.items_bytes = self.items_bytes.max(sizes.max().unwrap_or(0));
    }

    /// Returns the size of the largest answer that is read, in bytes.
    pub fn max_answer_bytes(&self) -> usize {
        MIN_LIMIT_BYTES.max(self.items_bytes * LIMIT_PERCENT / 100)
    }
}
