//! How often requests with a cause were answered.

use super::CauseId;
use crate::prelude::*;

/// Size at which the older half of the counts is forgotten.
const GENERATION_SIZE: usize = 2_048;

/// A bounded table of the causes whose requests were answered most recently, with the number of answers.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerCounts {
    recent: SortedTable<CauseId, u32>,
    previous: SortedTable<CauseId, u32>,
}

impl AnswerCounts {
    /// Counts an answer to a request with the cause.
    pub fn count(&mut self, cause: CauseId) {
        if let Some(answers) = self.recent.get_mut(&cause) {
            *answers = answers.saturating_add(1);
            return;
        }
        if self.recent.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.recent);
        }
        let before = self.previous.remove(&cause).unwrap_or(0);
        self.recent.insert(cause, before.saturating_add(1));
    }

    /// Returns the number of answers to requests with the cause.
    pub fn get(&self, cause: CauseId) -> u32 {
        self.recent.get(&cause).or(self.previous.get(&cause)).copied().unwrap_or(0)
    }
}
