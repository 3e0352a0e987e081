//! The decision logic of buckthornwharf as state machines without I/O.
//!
//! An entry accepts callers' requests and sends them over links to agents. An agent runs beside one
//! target, a model engine or a plain HTTP service, and passes requests to it.
//!
//! Nothing here opens a socket, reads a file, starts a thread or reads a clock: time and randomness
//! are arguments, and actions to take are return values. Each module can be embedded on its own.

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
