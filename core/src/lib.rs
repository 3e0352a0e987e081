//! Decisions of buckthornwharf as state machines.
//!
//! Nothing here opens a socket, reads a file, starts a thread or looks at a clock: the time and the
//! randomness are arguments, and what has to be done comes back as values. Each module can be
//! embedded alone.

pub mod burn;
pub mod clock;
pub mod code;
pub mod config;
pub mod direct;
pub mod frame;
pub mod membership;
pub mod name;
pub mod prelude;
pub mod request;
pub mod routing;
pub mod table;
pub mod weights;
