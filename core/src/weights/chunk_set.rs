//! A set of the chunks of a manifest.

/// A set of chunk indices of one manifest, stored as a bit set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: usize,
    count: usize,
}

impl ChunkSet {
    /// An empty set for a manifest of `len` chunks.
    pub fn new(len: usize) -> Self {
        Self { words: vec![0; len.div_ceil(64)], len, count: 0 }
    }

    /// Number of chunks in the manifest, not in the set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the manifest has no chunks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of chunks in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether every chunk of the manifest is in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.len
    }

    /// Whether `index` is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.words.get(index / 64).is_some_and(|word| word >> (index % 64) & 1 == 1)
    }

    /// Adds `index` and returns whether it was absent. An index past the end is ignored.
    pub fn insert(&mut self, index: usize) -> bool {
        if index >= self.len || self.contains(index) {
            return false;
        }
        self.words[index / 64] |= 1 << (index % 64);
        self.count += 1;
        true
    }

    /// Removes `index`, if it is in the set.
    pub fn remove(&mut self, index: usize) {
        if self.contains(index) {
            self.words[index / 64] &= !(1 << (index % 64));
            self.count -= 1;
        }
    }

    /// Adds all chunks of `other`, which must be a set for the same manifest.
    pub fn insert_all(&mut self, other: &ChunkSet) {
        for (word, added) in self.words.iter_mut().zip(&other.words) {
            *word |= added;
        }
        self.count = self.words.iter().map(|word| word.count_ones() as usize).sum();
    }

    /// The chunks that are not in the set, in order.
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.len).filter(|index| !self.contains(*index))
    }

    /// The set as bytes; chunk 0 is the lowest bit of the first byte.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes: Vec<u8> = self.words.iter().flat_map(|word| word.to_le_bytes()).collect();
        bytes.truncate(self.len.div_ceil(8));
        bytes
    }

    /// Decodes a set for a manifest of `len` chunks. Chunks of missing bytes are absent, and surplus bytes
    /// are ignored.
    pub fn from_bytes(bytes: &[u8], len: usize) -> Self {
        let mut set = Self::new(len);
        for index in 0..len.min(bytes.len() * 8) {
            if bytes[index / 8] >> (index % 8) & 1 == 1 {
                set.insert(index);
            }
        }
        set
    }
}
