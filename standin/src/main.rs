//! The stand-ins' program.

fn main() {}
