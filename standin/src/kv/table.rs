//! The rows and sessions of the key-value service, independent of HTTP.

use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use std::time::Instant;

/// A row: the state of a key after one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvRow {
    /// The value.
    pub value: Bytes,
    /// Index of the write that created the row.
    pub create_index: u64,
    /// Index of the last write.
    pub modify_index: u64,
    /// Session that holds the row.
    pub session: Option<String>,
}

/// The current and the previous state of a key; none if it is absent.
#[derive(Debug, Clone, Default)]
struct KeyHistory {
    current: Option<KvRow>,
    previous: Option<KvRow>,
}

/// What happens to the rows that a session holds when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SessionBehavior {
    /// They are kept, held by no session.
    #[default]
    Release,
    /// They are deleted.
    Delete,
}

#[derive(Debug)]
struct SessionRow {
    ttl: Option<Duration>,
    expires_at: Option<Instant>,
    behavior: SessionBehavior,
}

/// Which state of each key a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadView {
    /// The current one.
    Current,
    /// The one before the last write of each key, as from a lagging replica.
    Previous,
}

/// All rows and sessions.
#[derive(Debug, Default)]
pub struct KvTable {
    index: u64,
    last_delete_index: u64,
    keys: SortedTable<String, KeyHistory>,
    sessions: SortedTable<String, SessionRow>,
}

impl KvTable {
    /// Returns the row of `key` and the index for a watch to compare with. For an absent key, that
    /// is the index of the last deletion of any key.
    pub fn get(&self, key: &str, view: ReadView) -> (Option<&KvRow>, u64) {
        let row = self.keys.get(key).and_then(|history| history.row(view));
        let index = row.map_or(self.last_delete_index.max(1), |row| row.modify_index);
        (row, index)
    }

    /// Returns the rows whose keys start with `prefix`, and the highest index among them and the
    /// last deletion of any key.
    pub fn list(&self, prefix: &str, view: ReadView) -> (Vec<(&str, &KvRow)>, u64) {
        let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let rows: Vec<_> = matching
            .filter_map(|(key, history)| Some((key.as_str(), history.row(view)?)))
            .collect();
        let highest_index = rows.iter().map(|(_, row)| row.modify_index).max().unwrap_or(1);
        (rows, highest_index.max(self.last_delete_index))
    }

    /// Writes `value` if `cas` is none or equals the row's index (0 if the row is absent). Returns
    /// whether it was written.
    pub fn put(&mut self, key: &str, value: Bytes, cas: Option<u64>) -> bool {
        if !self.cas_matches(key, cas) {
            return false;
        }
        let session = self.current(key).and_then(|row| row.session.clone());
        self.write(key, value, session);
        true
    }

    /// Deletes the row under the same condition as [`KvTable::put`]. Returns whether the condition
    /// was met.
    pub fn delete(&mut self, key: &str, cas: Option<u64>) -> bool {
        if !self.cas_matches(key, cas) {
            return false;
        }
        self.remove(key);
        true
    }

    /// Writes `value` and makes `session` the holder of the row, unless another session holds it or
    /// `session` is unknown. Returns whether it was written.
    pub fn acquire(&mut self, key: &str, value: Bytes, session: &str) -> bool {
        if !self.sessions.contains_key(session) {
            return false;
        }
        let holder = self.current(key).and_then(|row| row.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        self.write(key, value, Some(session.to_owned()));
        true
    }

    /// Releases the row from `session`; returns false if it is not the holder.
    pub fn release(&mut self, key: &str, session: &str) -> bool {
        let Some(row) = self.current(key) else { return false };
        if row.session.as_deref() != Some(session) {
            return false;
        }
        let value = row.value.clone();
        self.write(key, value, None);
        true
    }

    /// Opens the session `id`; without `ttl` it never expires.
    pub fn open_session(
        &mut self,
        id: String,
        ttl: Option<Duration>,
        behavior: SessionBehavior,
        now: Instant,
    ) {
        let expires_at = ttl.map(|ttl| now + ttl);
        self.sessions.insert(id, SessionRow { ttl, expires_at, behavior });
    }

    /// Extends the session by its TTL; returns false if there is none with this id.
    pub fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.expires_at = session.ttl.map(|ttl| now + ttl);
        true
    }

    /// Ends the session and releases or deletes its rows.
    pub fn close_session(&mut self, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        for key in self.keys_held_by(id) {
            self.release_or_delete(&key, session.behavior);
        }
    }

    /// Ends the expired sessions; returns their number.
    pub fn expire_sessions(&mut self, now: Instant) -> usize {
        let expired = self.sessions.iter().filter(|(_, session)| session.is_expired(now));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.close_session(id));
        expired.len()
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    fn current(&self, key: &str) -> Option<&KvRow> {
        self.keys.get(key)?.current.as_ref()
    }

    fn cas_matches(&self, key: &str, cas: Option<u64>) -> bool {
        let index = self.current(key).map_or(0, |row| row.modify_index);
        cas.is_none_or(|cas| cas == index)
    }

    fn keys_held_by(&self, session: &str) -> Vec<String> {
        let held_rows = self.keys.iter().filter(|(_, history)| history.is_held_by(session));
        held_rows.map(|(key, _)| key.clone()).collect()
    }

    fn release_or_delete(&mut self, key: &str, behavior: SessionBehavior) {
        let Some(value) = self.current(key).map(|row| row.value.clone()) else { return };
        match behavior {
            SessionBehavior::Release => self.write(key, value, None),
            SessionBehavior::Delete => self.remove(key),
        }
    }

    fn write(&mut self, key: &str, value: Bytes, session: Option<String>) {
        self.index = self.index.max(1) + 1;
        let modify_index = self.index;
        let history = self.keys.get_or_insert_with(key.to_owned(), KeyHistory::default);
        let create_index = history.current.as_ref().map_or(modify_index, |row| row.create_index);
        history.push(Some(KvRow { value, create_index, modify_index, session }));
    }

    fn remove(&mut self, key: &str) {
        let Some(history) = self.keys.get_mut(key) else { return };
        if history.current.is_none() {
            return;
        }
        history.push(None);
        self.index += 1;
        self.last_delete_index = self.index;
    }
}

impl KeyHistory {
    fn row(&self, view: ReadView) -> Option<&KvRow> {
        match view {
            ReadView::Current => self.current.as_ref(),
            ReadView::Previous => self.previous.as_ref(),
        }
    }

    fn push(&mut self, row: Option<KvRow>) {
        self.previous = std::mem::replace(&mut self.current, row);
    }

    fn is_held_by(&self, session: &str) -> bool {
        self.current.as_ref().is_some_and(|row| row.session.as_deref() == Some(session))
    }
}

impl SessionRow {
    fn is_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }
}
