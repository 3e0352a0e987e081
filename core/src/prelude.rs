//! Types used by nearly every module.

pub use crate::clock::MonoTime;
pub use crate::code::ResultCode;
pub use crate::name::{
    ChunkHash, ConfigGeneration, HostIncarnation, HostName, ModelName, OrganisationName,
    RegionName, RequestId, RouteName, ServiceName, SiteName, VersionDigest, VersionName,
};
pub use crate::table::SortedTable;
pub use std::sync::Arc;
pub use std::time::Duration;
