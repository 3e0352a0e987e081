//! The command line.

use buckthornwharf::cmd::{ExitStatus, command};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init_from_env(
        env_logger::Env::default().default_filter_or("warn,buckthornwharf=info"),
    );
    match command().run().run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("buckthornwharf: {error:#}");
            ExitStatus::of(&error).into()
        }
    }
}
