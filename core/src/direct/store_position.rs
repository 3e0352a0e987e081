//! Positions in the history of the platform's store, which may be set back to an older copy.

/// Bits of a fencing token that hold the revision.
const REVISION_BITS: u32 = 40;

/// How often the store has been set back to an older copy. Revisions can be compared only within an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates the era with this number; 0 for a store that does not count them.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// A revision of the store in its era. Positions of a later era are later than all of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision.
    pub revision: u64,
}

impl StorePosition {
    /// Returns a fencing token that rises with each position, also where the revision went back.
    pub fn fencing_token(self) -> u64 {
        let revision = self.revision.min((1 << REVISION_BITS) - 1);
        (self.era.0 << REVISION_BITS) | revision
    }
}
