//! Entry point of the `buckthornwharf` program: starts the logger and runs a subcommand.

use buckthornwharf::cmd::{Command, ExitStatus, command};
use buckthornwharf::log_output;
use std::process::ExitCode;

const DEFAULT_LOG_FILTER: &str = "warn,buckthornwharf=info";

fn main() -> ExitCode {
    let command = command().run();
    if let Err(error) = start_logger(&command) {
        eprintln!("buckthornwharf: can't start the logger, log lines are lost: {error:#}");
    }
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("buckthornwharf: {error:#}");
            ExitStatus::of(&error).into()
        }
    }
}

/// Starts the logger. Long-running processes log to standard output. The other commands log to
/// standard error, since their result goes to standard output.
fn start_logger(command: &Command) -> anyhow::Result<()> {
    if command.is_long_running() {
        return log_output::start(DEFAULT_LOG_FILTER);
    }
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    Ok(env_logger::Builder::from_env(environment).try_init()?)
}
