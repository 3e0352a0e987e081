//! Finds the causes that explain a set of crashes.

use super::record::CauseRecord;
use super::{CauseId, CrashId};
use crate::prelude::*;
use std::cmp::Reverse;

/// Rounds of crashes that make a cause a suspect which was never answered, while requests without it are.
const SUSPECT_ROUNDS: u32 = 3;
/// Rounds of crashes that make any other cause a suspect.
pub(super) const DOUBTFUL_SUSPECT_ROUNDS: u32 = 5;
/// Rounds that no other cause explains, after which a suspect is guilty too that was never answered.
const UNEXPLAINED_ROUNDS: u32 = 2;
/// The same if it has been in flight at [`DOUBTFUL_SUSPECT_ROUNDS`] in all.
const LAST_UNEXPLAINED_ROUNDS: u32 = 1;

/// A cause with enough crashes to be guilty.
#[derive(Debug)]
struct Suspect<'a> {
    cause: CauseId,
    record: &'a CauseRecord,
    answers: u32,
}

/// Causes that share the blame for the same crashes: a request is refused if it has all of them.
pub type GuiltyGroup = Vec<CauseId>;

/// Returns the causes that explain the crashes of `causes`. Those that are answered least often are blamed
/// first, and each of the others only for the crashes that remain.
pub(super) fn guilty_groups(causes: &SortedTable<CauseId, CauseRecord>) -> Vec<GuiltyGroup> {
    let mut suspects: Vec<Suspect<'_>> = causes.iter().filter_map(Suspect::of).collect();
    suspects.sort_by_key(|suspect| (suspect.answers, Reverse(suspect.record.counting().len())));
    let mut explained: Vec<CrashId> = Vec::new();
    let mut groups: Vec<Vec<&Suspect<'_>>> = Vec::new();
    for (index, suspect) in suspects.iter().enumerate() {
        let unexplained = suspect.unexplained(&explained);
        if suspect.record.evidence(&unexplained) < suspect.required_rounds(&unexplained) {
            continue;
        }
        let is_tied = |other: &&Suspect<'_>| {
            other.answers == suspect.answers && other.unexplained(&explained) == unexplained
        };
        groups.push(suspects[index..].iter().filter(is_tied).collect());
        explained.extend(unexplained);
        explained.sort_unstable();
    }
    drop_redundant(&mut groups);
    let ids = |group: Vec<&Suspect<'_>>| group.iter().map(|suspect| suspect.cause).collect();
    groups.into_iter().map(ids).collect()
}

/// Drops the groups whose crashes the others explain, those that are answered most often first.
fn drop_redundant(groups: &mut Vec<Vec<&Suspect<'_>>>) {
    for index in (0..groups.len()).rev() {
        let others = groups.iter().enumerate().filter(|(other, _)| *other != index);
        let mut explained: Vec<CrashId> =
            others.flat_map(|(_, group)| group[0].record.counting()).collect();
        explained.sort_unstable();
        if groups[index][0].unexplained(&explained).is_empty() {
            groups.remove(index);
        }
    }
}

impl<'a> Suspect<'a> {
    fn of((cause, record): (&CauseId, &'a CauseRecord)) -> Option<Self> {
        let suspect = Self { cause: *cause, record, answers: record.answers };
        // What was answered before is blamed only if something else still is.
        let may_be_guilty = suspect.answers == 0 || record.has_contrast;
        let evidence = record.evidence(&record.counting());
        (may_be_guilty && evidence >= suspect.suspect_rounds()).then_some(suspect)
    }

    fn suspect_rounds(&self) -> u32 {
        match self.answers == 0 && self.record.has_contrast {
            true => SUSPECT_ROUNDS,
            false => DOUBTFUL_SUSPECT_ROUNDS,
        }
    }

    /// Returns the rounds among the crashes that no other cause explains from which the suspect is guilty.
    fn required_rounds(&self, unexplained: &[CrashId]) -> u32 {
        let crashes = self.record.counting();
        if self.answers > 0 || unexplained.len() == crashes.len() {
            return self.suspect_rounds();
        }
        match self.record.evidence(&crashes) >= DOUBTFUL_SUSPECT_ROUNDS {
            true => LAST_UNEXPLAINED_ROUNDS,
            false => UNEXPLAINED_ROUNDS,
        }
    }

    fn unexplained(&self, explained: &[CrashId]) -> Vec<CrashId> {
        let mut crashes = self.record.counting();
        crashes.retain(|crash| explained.binary_search(crash).is_err());
        crashes
    }
}
