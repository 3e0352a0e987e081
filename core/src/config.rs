//! The operators' configuration: its document, and the rules by which folders become documents and
//! documents come into force.

pub mod document;

pub use document::{
    AllowanceConfig, ConfigDocument, ModelConfig, ObjectiveConfig, OrganisationConfig,
    PriorityClass, RouteConfig, ServiceConfig, SiteConfig, TargetKind, VersionConfig,
};
