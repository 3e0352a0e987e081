//! The operators' configuration: its document, and the rules by which folders become documents and
//! documents come into force.

pub mod budget;
pub mod check;
pub mod diff;
pub mod document;
pub mod merge;
pub mod node;
pub mod record;
pub mod render;
pub mod typed;

pub use diff::{FieldChange, diff_documents};
pub use document::{
    AllowanceConfig, ConfigDocument, ModelConfig, ObjectiveConfig, OrganisationConfig,
    PriorityClass, RouteConfig, ServiceConfig, SiteConfig, TargetKind, VersionConfig,
};
pub use merge::{ConfigFile, MergedConfig, merge_files};
pub use node::{ConfigIssue, ConfigNode, NodeOrigin, NodeValue};
pub use record::{ApplyId, CONFIG_KEY, ConfigRecord, RecordError, Settlement};
