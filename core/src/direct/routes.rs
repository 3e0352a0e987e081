//! Which route a request belongs to, and who sent it.

use super::{ServingConfig, ServingRoute};
use crate::prelude::*;
use crate::routing::hash::hash_text;

/// A configuration in the order in which requests are looked up.
#[derive(Debug, Clone)]
pub struct RouteTable {
    config: Arc<ServingConfig>,
    /// Positions of routes, sorted by host and prefix.
    order: Vec<usize>,
    keys: SortedTable<Arc<str>, (OrganisationName, Option<u8>)>,
}

impl RouteTable {
    /// A table of `config`.
    pub fn new(config: Arc<ServingConfig>) -> Self {
        let mut order: Vec<usize> = (0..config.routes.len()).collect();
        let rank = |index: &usize| {
            let route = &config.routes[*index];
            (route.host.clone(), route.prefix.clone())
        };
        order.sort_by_cached_key(rank);
        let mut keys = SortedTable::new();
        for organisation in config.organisations.iter().flatten() {
            for key in &organisation.keys {
                keys.insert(key.clone(), (organisation.name.clone(), organisation.priority));
            }
        }
        Self { config, order, keys }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<ServingConfig> {
        &self.config
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let mut rest = path;
        while let Some(at) = rest.rfind('/') {
            let prefix = &path[..=at];
            let found = self.order.binary_search_by(|index| {
                let route = &self.config.routes[*index];
                (&*route.host, &*route.prefix).cmp(&(host, prefix))
            });
            if let Ok(at) = found {
                return Some(&self.config.routes[self.order[at]]);
            }
            rest = &path[..at];
        }
        None
    }

    /// Whether keys are asked for at all.
    pub fn asks_keys(&self) -> bool {
        self.config.organisations.is_some()
    }

    /// The organisation that holds `key`, and its rank if it has one of its own.
    pub fn organisation(&self, key: &str) -> Option<&(OrganisationName, Option<u8>)> {
        self.keys.get(key)
    }

    /// The service that answers the request called `id`; equal ids get equal services.
    pub fn service_of<'a>(&self, route: &'a ServingRoute, id: &str) -> &'a ServiceName {
        let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut draw = hash_text(id) % total.max(1);
        for (service, weight) in &route.services {
            if draw < u64::from(*weight) {
                return service;
            }
            draw -= u64::from(*weight);
        }
        &route.services[0].0
    }
}
