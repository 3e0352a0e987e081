//! Command line parser and subcommands, one module each.

pub mod agent;
pub mod apply;
pub mod check;
pub mod entry;
pub mod exit;
pub mod explain;
pub mod folder;
pub mod report;
pub mod status;
pub mod r#where;

pub use exit::ExitStatus;

use agent::{AgentCommand, agent_command};
use anyhow::Result;
use apply::{ApplyCommand, apply_command};
use bpaf::Bpaf;
use check::{CheckCommand, check_command};
use entry::{EntryCommand, entry_command};
use explain::{ExplainCommand, explain_command};
use report::{ReportCommand, report_command};
use status::{StatusCommand, status_command};
use std::process::ExitCode;
use r#where::{WhereCommand, where_command};

/// Distributes model versions to the hosts that serve them and routes requests to these hosts.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run an entry, which accepts callers' requests and routes them to targets
    #[bpaf(command)]
    Entry(#[bpaf(external(entry_command))] EntryCommand),
    /// Run an agent, which manages the target beside it
    #[bpaf(command)]
    Agent(#[bpaf(external(agent_command))] AgentCommand),
    /// Merge and validate a folder of configuration files, and print the result
    #[bpaf(command)]
    Check(#[bpaf(external(check_command))] CheckCommand),
    /// Activate the configuration in a folder
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_command))] ApplyCommand),
    /// Show the active configuration generation of each process
    #[bpaf(command)]
    Status(#[bpaf(external(status_command))] StatusCommand),
    /// Show the timeline of a request from the logs of several processes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Report the error budget burn of each service-level objective
    #[bpaf(command)]
    Report(#[bpaf(external(report_command))] ReportCommand),
    /// Show where an entry of the direct path would route a request, and why
    #[bpaf(command)]
    Where(#[bpaf(external(where_command))] WhereCommand),
}

impl Command {
    /// Whether the command runs until it receives a signal to stop.
    pub fn is_long_running(&self) -> bool {
        matches!(self, Command::Entry(_) | Command::Agent(_))
    }

    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// The command failed; [`ExitStatus::of`] maps the error to the exit code.
    pub fn run(self) -> Result<ExitCode> {
        match self {
            Command::Entry(command) => command.run(),
            Command::Agent(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::Apply(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Report(command) => command.run(),
            Command::Where(command) => command.run(),
        }
    }
}
