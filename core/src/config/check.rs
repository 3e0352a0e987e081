//! Consistency checks over a document: references between its parts and ranges of values.

use crate::config::node::{ConfigIssue, ConfigNode};
use crate::config::{
    ConfigDocument, ModelConfig, OrganisationConfig, RouteConfig, ServiceConfig, TargetKind,
};
use crate::prelude::*;

const HTTP_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// Finds all dangling references and invalid values in `document`; `tree` gives their positions.
pub fn check_document(document: &ConfigDocument, tree: &ConfigNode) -> Vec<ConfigIssue> {
    let mut check = DocumentCheck { document, tree, issues: Vec::new() };
    check.models();
    check.services();
    check.organisations();
    check.routes();
    check.allowances();
    check.objectives();
    check.issues
}

struct DocumentCheck<'a> {
    document: &'a ConfigDocument,
    tree: &'a ConfigNode,
    issues: Vec<ConfigIssue>,
}

impl DocumentCheck<'_> {
    /// Records an issue at `path`, with the origin of the deepest node of the path that exists.
    fn report(&mut self, path: &[&str], message: String) {
        let deepest_node = (0..=path.len()).rev().find_map(|len| self.tree.get(&path[..len]));
        let origin = deepest_node.unwrap_or(self.tree).origin.clone();
        self.issues.push(ConfigIssue::Field { origin, field: path.join("."), message });
    }

    fn models(&mut self) {
        for (name, model) in self.document.models.iter() {
            self.model(name, model);
        }
    }

    fn model(&mut self, name: &ModelName, model: &ModelConfig) {
        let Some(base) = &model.base else { return };
        let path = ["models", name.as_str(), "base"];
        match self.document.models.get(base) {
            None => self.report(&path, format!("there is no model `{base}`")),
            Some(base_model) if base_model.base.is_some() => {
                self.report(&path, format!("`{base}` is itself an adapter and can't be a base"));
            }
            Some(_) => {}
        }
    }

    fn services(&mut self) {
        for (name, service) in self.document.services.iter() {
            self.service_sites(name, service);
            match service.kind {
                TargetKind::Engine => self.engine_service(name, service),
                TargetKind::Plain => self.plain_service(name, service),
            }
            if service.max_out_of_service == 0 {
                let path = ["services", name.as_str(), "max_out_of_service"];
                self.report(&path, "must be at least 1".to_owned());
            }
        }
    }

    fn service_sites(&mut self, name: &ServiceName, service: &ServiceConfig) {
        for site in &service.sites {
            if !self.document.sites.contains_key(site) {
                let path = ["services", name.as_str(), "sites"];
                self.report(&path, format!("there is no site `{site}`"));
            }
        }
    }

    fn engine_service(&mut self, name: &ServiceName, service: &ServiceConfig) {
        let path = ["services", name.as_str()];
        let (Some(model), Some(version)) = (&service.model, &service.version) else {
            self.report(&path, "an engine service needs `model` and `version`".to_owned());
            return;
        };
        let Some(model_config) = self.document.models.get(model) else {
            let path = ["services", name.as_str(), "model"];
            self.report(&path, format!("there is no model `{model}`"));
            return;
        };
        if !model_config.versions.contains_key(version) {
            let path = ["services", name.as_str(), "version"];
            self.report(&path, format!("model `{model}` has no version `{version}`"));
        }
    }

    fn plain_service(&mut self, name: &ServiceName, service: &ServiceConfig) {
        if service.model.is_some() || service.version.is_some() {
            let path = ["services", name.as_str()];
            self.report(&path, "a plain service must not have `model` or `version`".to_owned());
        }
    }

    fn organisations(&mut self) {
        let mut names_by_key_hash: SortedTable<[u8; 32], &OrganisationName> = SortedTable::new();
        for (name, organisation) in self.document.organisations.iter() {
            self.organisation(name, organisation);
            if let Some(other) = names_by_key_hash.insert(organisation.key_hash, name) {
                let path = ["organisations", name.as_str(), "key_hash"];
                self.report(&path, format!("organisation `{other}` has the same key"));
            }
        }
    }

    fn organisation(&mut self, name: &OrganisationName, organisation: &OrganisationConfig) {
        if organisation.weight == 0 {
            let path = ["organisations", name.as_str(), "weight"];
            self.report(&path, "must be at least 1".to_owned());
        }
    }

    fn routes(&mut self) {
        let mut names_by_path: SortedTable<&str, &RouteName> = SortedTable::new();
        for (name, route) in self.document.routes.iter() {
            self.route(name, route);
            if let Some(other) = names_by_path.insert(&route.path, name) {
                let path = ["routes", name.as_str(), "path"];
                self.report(&path, format!("route `{other}` has the same path"));
            }
        }
    }

    fn route(&mut self, name: &RouteName, route: &RouteConfig) {
        if !route.path.starts_with('/') {
            let path = ["routes", name.as_str(), "path"];
            self.report(&path, "must start with `/`".to_owned());
        }
        if !self.document.services.contains_key(&route.service) {
            let path = ["routes", name.as_str(), "service"];
            self.report(&path, format!("there is no service `{}`", route.service));
        }
        for method in &route.non_idempotent {
            if !HTTP_METHODS.contains(&method.as_str()) {
                let path = ["routes", name.as_str(), "non_idempotent"];
                let allowed = HTTP_METHODS.join(", ");
                self.report(&path, format!("`{method}` is not one of {allowed}"));
            }
        }
    }

    fn allowances(&mut self) {
        let allowances = &self.document.allowances;
        let rates = [
            ("origin_bytes_per_second", allowances.origin_bytes_per_second),
            ("host_bytes_per_second", allowances.host_bytes_per_second),
            ("region_pair_bytes_per_second", allowances.region_pair_bytes_per_second),
        ];
        for (field, rate) in rates {
            if rate == 0 {
                self.report(&["allowances", field], "must be at least 1".to_owned());
            }
        }
        let Some(region) = &allowances.store_region else { return };
        if !self.document.sites.values().any(|site| site.region == *region) {
            let path = ["allowances", "store_region"];
            self.report(&path, format!("no site is in region `{region}`"));
        }
    }

    fn objectives(&mut self) {
        for (name, objective) in self.document.objectives.iter() {
            if !self.document.services.contains_key(name) {
                let path = ["objectives", name.as_str()];
                self.report(&path, format!("there is no service `{name}`"));
            }
            if !(0.0..=1.0).contains(&objective.availability) {
                let path = ["objectives", name.as_str(), "availability"];
                self.report(&path, "must be between 0 and 1".to_owned());
            }
        }
    }
}
