//! Where a request may be sent.

mod allowed_regions;

pub use allowed_regions::AllowedRegions;
