//! The operators' configuration: the document, how a folder of YAML files is merged into it, and how
//! a process fetches it and decides which generation is active.

pub mod budget;
pub mod check;
pub mod diff;
pub mod document;
pub mod exchange;
pub mod generation;
pub mod merge;
pub mod node;
pub mod patch;
pub mod reader;
pub mod record;
pub mod render;
pub mod typed;
pub mod units;

pub use diff::{FieldChange, diff_documents};
pub use document::{
    AllowanceConfig, ConfigDocument, ModelConfig, ObjectiveConfig, OrganisationConfig,
    PriorityClass, RouteConfig, ServiceConfig, SiteConfig, TargetKind, VersionConfig,
};
pub use exchange::{ConfigExchange, ExchangeAction};
pub use generation::{GenerationTracker, OfferError};
pub use merge::{ConfigFile, MergedConfig, merge_files};
pub use node::{ConfigIssue, ConfigNode, NodeOrigin, NodeValue};
pub use patch::{ConfigPatch, PatchError};
pub use reader::{ConfigReader, KvCall, ReaderEvent};
pub use record::{ApplyId, CONFIG_KEY, ConfigRecord, RecordError, WriteOutcome};
