//! The command line.

use buckthornwharf::cmd::{Command, ExitStatus, command};
use buckthornwharf::log_output;
use std::process::ExitCode;

const DEFAULT_LEVEL: &str = "warn,buckthornwharf=info";

fn main() -> ExitCode {
    let command = command().run();
    if let Err(error) = start_log(&command) {
        eprintln!("buckthornwharf: can't log: {error:#}");
    }
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("buckthornwharf: {error:#}");
            ExitStatus::of(&error).into()
        }
    }
}

/// Processes that run on log to standard output, the other commands to standard error: their standard
/// output is what they were asked for.
fn start_log(command: &Command) -> anyhow::Result<()> {
    if command.is_long_running() {
        return log_output::start(DEFAULT_LEVEL);
    }
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_LEVEL);
    Ok(env_logger::Builder::from_env(environment).try_init()?)
}
