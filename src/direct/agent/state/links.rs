//! Links of an agent to the entries: it reports the load of its engine on them, and gets news of versions
//! and evacuated sites.

use super::AgentState;
use crate::clock;
use crate::direct::facts::{self, AgentConfig};
use crate::direct::loads::{LinkEvent, run_link};
use crate::direct::news::NewsMessage;
use crate::direct::presence::PresenceRecord;
use actix_rt::task::JoinHandle;
use buckthornwharf_core::direct::news_sources;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::StoreItem;
use std::net::SocketAddr;
use std::rc::Rc;

impl AgentState {
    /// Replaces the live entries, and the configuration, by those in `items`. Returns whether the set of
    /// entries has changed.
    pub fn update_entries(self: &Rc<Self>, items: Vec<StoreItem>) -> bool {
        let before = self.linked_entries();
        let mut entries: SortedTable<Arc<str>, PresenceRecord> = SortedTable::new();
        for item in items {
            if &*item.key == facts::KEY {
                AgentConfig::read(&item.value)
                    .into_iter()
                    .for_each(|config| self.set_config(config));
            } else if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                entries.insert(item.key, record);
            }
        }
        self.update_links(&entries);
        self.linked_entries() != before
    }

    /// Opens and closes links, so that there is one to each of `entries`.
    fn update_links(self: &Rc<Self>, entries: &SortedTable<Arc<str>, PresenceRecord>) {
        let regions = entries.iter().map(|(key, entry)| (key, &entry.region));
        let sources = news_sources(&self.settings.host, &self.settings.region(), regions);
        let mut links = self.links.borrow_mut();
        links.retain(|key, _| entries.contains_key(key));
        for (key, entry) in entries.iter() {
            let (address, wants_news) = (entry.address, sources.contains(key));
            let is_open =
                |link: &EntryLink| (link.address, link.wants_news) == (address, wants_news);
            if !links.get(key).is_some_and(is_open) {
                links.insert(
                    key.clone(),
                    self.open_link(key.clone(), address, entry.region.clone(), wants_news),
                );
            }
        }
        drop(links);
        self.coverage.borrow_mut().retain(&sources);
    }

    fn open_link(
        self: &Rc<Self>,
        key: Arc<str>,
        address: SocketAddr,
        region: RegionName,
        wants_news: bool,
    ) -> EntryLink {
        let state = self.clone();
        let (part_state, entry) = (self.clone(), key.clone());
        let part = move |now| part_state.part_of(now, &entry);
        let on_event = move |event| state.on_link_event(&key, event);
        let reports = self.subscribe_reports();
        let task = actix_rt::spawn(run_link(address, wants_news, reports, part, on_event));
        EntryLink { address, region, wants_news, task }
    }

    /// Returns the keys of the entries that receive the engine's load.
    fn linked_entries(&self) -> Vec<Arc<str>> {
        self.links.borrow().iter().map(|(key, _)| key.clone()).collect()
    }

    /// Returns the part of the free slots that an entry may take of those for the entries of the own
    /// region, or for the others; `None` if it takes an equal part.
    fn part_of(&self, now: MonoTime, entry: &Arc<str>) -> Option<u16> {
        let links = self.links.borrow();
        let region = self.settings.region();
        let is_local = |link: &EntryLink| link.region == region;
        let local = links.get(entry).is_some_and(is_local);
        let group = links.iter().filter(|(_, link)| is_local(link) == local).map(|(key, _)| key);
        self.demands.borrow().part(now, entry, group)
    }

    fn on_link_event(&self, entry: &Arc<str>, event: LinkEvent) {
        match event {
            LinkEvent::News(news) => self.on_news(entry, &news),
            LinkEvent::Demand(demand) => {
                self.demands.borrow_mut().record(clock::now(), entry, &demand);
                return;
            }
            LinkEvent::Lost => {
                self.coverage.borrow_mut().lost(entry);
                self.demands.borrow_mut().remove(entry);
            }
        }
        self.coverage_changed.notify_waiters();
    }

    fn on_news(&self, entry: &Arc<str>, news: &NewsMessage) {
        let now = clock::now();
        self.coverage.borrow_mut().heard(now, entry, news.current);
        if let Some(fields) = &news.evacuated {
            self.on_evacuation_news(fields.clone().into());
        }
        for declared in &news.versions {
            self.declare(declared.version(), declared.declared_at(now));
        }
        if news.current {
            self.versions_known.set(true);
        }
    }

    /// Waits until no entry is relied on for news of versions.
    pub async fn wait_uncovered(&self) {
        loop {
            let now = clock::now();
            let Some(until) = self.coverage.borrow().covered_until(now) else {
                return;
            };
            tokio::select! {
                () = actix_rt::time::sleep(until.since(now)) => {}
                () = self.coverage_changed.notified() => {}
            }
        }
    }

    /// Waits until an entry is relied on for news of versions.
    pub async fn wait_covered(&self) {
        while self.coverage.borrow().covered_until(clock::now()).is_none() {
            self.coverage_changed.notified().await;
        }
    }
}

/// A link to an entry; dropping it closes the link.
pub(super) struct EntryLink {
    address: SocketAddr,
    region: RegionName,
    wants_news: bool,
    task: JoinHandle<()>,
}

impl Drop for EntryLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}
