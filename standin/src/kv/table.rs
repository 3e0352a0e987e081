//! The rows and sessions of the key-value service, without HTTP.

use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use std::time::Instant;

/// One state of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvRow {
    /// The value.
    pub value: Bytes,
    /// Index of the write that created the row.
    pub create_index: u64,
    /// Index of the last write.
    pub modify_index: u64,
    /// The session that holds the row.
    pub session: Option<String>,
}

/// The present and the previous state of a key.
#[derive(Debug, Clone, Default)]
struct KeyHistory {
    present: Option<KvRow>,
    previous: Option<KvRow>,
}

/// What happens to the rows of a session that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SessionBehavior {
    /// They are kept and belong to nobody.
    #[default]
    Release,
    /// They are deleted.
    Delete,
}

#[derive(Debug)]
struct SessionRow {
    ttl: Option<Duration>,
    expires: Option<Instant>,
    behavior: SessionBehavior,
}

/// Which states a read sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadView {
    /// The present one.
    Present,
    /// The one before the last write of each key, as from a replica that lags.
    Previous,
}

/// All rows and sessions.
#[derive(Debug, Default)]
pub struct KvTable {
    index: u64,
    delete_index: u64,
    keys: SortedTable<String, KeyHistory>,
    sessions: SortedTable<String, SessionRow>,
}

impl KvTable {
    /// The row of `key` and the index that a watch compares; that of an absent key is the index of
    /// the last deletion of any key.
    pub fn get(&self, key: &str, view: ReadView) -> (Option<&KvRow>, u64) {
        let row = self.keys.get(key).and_then(|history| history.row(view));
        let index = row.map_or(self.delete_index.max(1), |row| row.modify_index);
        (row, index)
    }

    /// The rows whose keys start with `prefix`, and the highest index among them and the last
    /// deletion.
    pub fn list(&self, prefix: &str, view: ReadView) -> (Vec<(&str, &KvRow)>, u64) {
        let below = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let rows: Vec<_> =
            below.filter_map(|(key, keyed)| Some((key.as_str(), keyed.row(view)?))).collect();
        let newest = rows.iter().map(|(_, row)| row.modify_index).max().unwrap_or(1);
        (rows, newest.max(self.delete_index))
    }

    /// Writes `value`, if `cas` is absent or the row's index (0: the row is absent); tells whether
    /// it did.
    pub fn put(&mut self, key: &str, value: Bytes, cas: Option<u64>) -> bool {
        if !self.cas_holds(key, cas) {
            return false;
        }
        let session = self.present(key).and_then(|row| row.session.clone());
        self.write(key, value, session);
        true
    }

    /// Deletes the row under the condition of [`KvTable::put`].
    pub fn delete(&mut self, key: &str, cas: Option<u64>) -> bool {
        if !self.cas_holds(key, cas) {
            return false;
        }
        self.remove(key);
        true
    }

    /// Writes `value` and gives the row to `session`, unless another one holds it or the session is
    /// unknown.
    pub fn acquire(&mut self, key: &str, value: Bytes, session: &str) -> bool {
        if !self.sessions.contains_key(session) {
            return false;
        }
        let holder = self.present(key).and_then(|row| row.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        self.write(key, value, Some(session.to_owned()));
        true
    }

    /// Takes the row from `session`; false if it is not the holder.
    pub fn release(&mut self, key: &str, session: &str) -> bool {
        let Some(row) = self.present(key) else { return false };
        if row.session.as_deref() != Some(session) {
            return false;
        }
        let value = row.value.clone();
        self.write(key, value, None);
        true
    }

    /// Opens the session `id`; without `ttl` it never lapses.
    pub fn open_session(
        &mut self,
        id: String,
        ttl: Option<Duration>,
        behavior: SessionBehavior,
        now: Instant,
    ) {
        let expires = ttl.map(|ttl| now + ttl);
        self.sessions.insert(id, SessionRow { ttl, expires, behavior });
    }

    /// Puts off the lapse of the session; false if there is none.
    pub fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.expires = session.ttl.map(|ttl| now + ttl);
        true
    }

    /// Ends the session and frees or deletes its rows.
    pub fn close_session(&mut self, id: &str) {
        let Some(session) = self.sessions.remove(id) else { return };
        for key in self.keys_held_by(id) {
            self.end_hold(&key, session.behavior);
        }
    }

    /// Ends the sessions whose time is over; tells how many.
    pub fn lapse_sessions(&mut self, now: Instant) -> usize {
        let lapsed = self.sessions.iter().filter(|(_, session)| session.is_over(now));
        let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
        lapsed.iter().for_each(|id| self.close_session(id));
        lapsed.len()
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    fn present(&self, key: &str) -> Option<&KvRow> {
        self.keys.get(key)?.present.as_ref()
    }

    fn cas_holds(&self, key: &str, cas: Option<u64>) -> bool {
        let index = self.present(key).map_or(0, |row| row.modify_index);
        cas.is_none_or(|cas| cas == index)
    }

    fn keys_held_by(&self, session: &str) -> Vec<String> {
        let held = self.keys.iter().filter(|(_, history)| history.is_held_by(session));
        held.map(|(key, _)| key.clone()).collect()
    }

    fn end_hold(&mut self, key: &str, behavior: SessionBehavior) {
        let Some(value) = self.present(key).map(|row| row.value.clone()) else { return };
        match behavior {
            SessionBehavior::Release => self.write(key, value, None),
            SessionBehavior::Delete => self.remove(key),
        }
    }

    fn write(&mut self, key: &str, value: Bytes, session: Option<String>) {
        self.index = self.index.max(1) + 1;
        let modify_index = self.index;
        let history = self.keys.get_or_insert_with(key.to_owned(), KeyHistory::default);
        let create_index = history.present.as_ref().map_or(modify_index, |row| row.create_index);
        history.push(Some(KvRow { value, create_index, modify_index, session }));
    }

    fn remove(&mut self, key: &str) {
        let Some(history) = self.keys.get_mut(key) else { return };
        if history.present.is_none() {
            return;
        }
        history.push(None);
        self.index += 1;
        self.delete_index = self.index;
    }
}

impl KeyHistory {
    fn row(&self, view: ReadView) -> Option<&KvRow> {
        match view {
            ReadView::Present => self.present.as_ref(),
            ReadView::Previous => self.previous.as_ref(),
        }
    }

    fn push(&mut self, row: Option<KvRow>) {
        self.previous = std::mem::replace(&mut self.present, row);
    }

    fn is_held_by(&self, session: &str) -> bool {
        self.present.as_ref().is_some_and(|row| row.session.as_deref() == Some(session))
    }
}

impl SessionRow {
    fn is_over(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| expires <= now)
    }
}
