//! Finds the route of a request and the organisation that sent it.

use super::{ServingConfig, ServingRoute};
use crate::prelude::*;
use crate::routing::hash::hash_text;

/// Index over a configuration for looking up routes and keys.
#[derive(Debug, Clone)]
pub struct RouteTable {
    config: Arc<ServingConfig>,
    /// Indices into `config.routes`, sorted by host and prefix.
    sorted_routes: Vec<usize>,
    /// Organisation and its priority, if set, by key.
    keys: SortedTable<Arc<str>, (OrganisationName, Option<u8>)>,
}

impl RouteTable {
    /// Builds the table of `config`.
    pub fn new(config: Arc<ServingConfig>) -> Self {
        let mut sorted_routes: Vec<usize> = (0..config.routes.len()).collect();
        let sort_key = |index: &usize| {
            let route = &config.routes[*index];
            (route.host.clone(), route.prefix.clone())
        };
        sorted_routes.sort_by_cached_key(sort_key);
        let mut keys = SortedTable::new();
        for organisation in config.organisations.iter().flatten() {
            for key in &organisation.keys {
                keys.insert(key.clone(), (organisation.name.clone(), organisation.priority));
            }
        }
        Self { config, sorted_routes, keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<ServingConfig> {
        &self.config
    }

    /// Returns the route of `host` whose prefix is the longest match for `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&ServingRoute> {
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            let prefix = &path[..=slash];
            let found = self.sorted_routes.binary_search_by(|index| {
                let route = &self.config.routes[*index];
                (&*route.host, &*route.prefix).cmp(&(host, prefix))
            });
            if let Ok(position) = found {
                return Some(&self.config.routes[self.sorted_routes[position]]);
            }
            rest = &path[..slash];
        }
        None
    }

    /// Returns whether callers need a key on `route`.
    pub fn requires_key(&self, route: &ServingRoute) -> bool {
        self.config.organisations.is_some() && !route.anonymous
    }

    /// Returns the organisation that holds `key`, and its priority if it has one of its own.
    pub fn organisation(&self, key: &str) -> Option<&(OrganisationName, Option<u8>)> {
        self.keys.get(key)
    }

    /// Picks the service for request `id` by weighted hashing; the same id always gets the same
    /// service.
    pub fn service_of<'a>(&self, route: &'a ServingRoute, id: &str) -> &'a ServiceName {
        let total_weight: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut offset = hash_text(id) % total_weight.max(1);
        for (service, weight) in &route.services {
            if offset < u64::from(*weight) {
                return service;
            }
            offset -= u64::from(*weight);
        }
        &route.services[0].0
    }
}
