//! The command line: one file for each subcommand.

pub mod agent;
pub mod apply;
pub mod check;
pub mod entry;
pub mod exit;
pub mod explain;
pub mod folder;
pub mod report;
pub mod status;

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

/// Gets new models to the hosts that need them and answers requests meanwhile.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run an entry, which takes callers' requests
    #[bpaf(command)]
    Entry(#[bpaf(external(entry_command))] EntryCommand),
    /// Run an agent beside a target
    #[bpaf(command)]
    Agent(#[bpaf(external(agent_command))] AgentCommand),
    /// Merge and check a folder of configuration, and print the result
    #[bpaf(command)]
    Check(#[bpaf(external(check_command))] CheckCommand),
    /// Put a folder of configuration into force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_command))] ApplyCommand),
    /// Show the generation in force on every process
    #[bpaf(command)]
    Status(#[bpaf(external(status_command))] StatusCommand),
    /// Show one request's story from the logs of several processes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Report how much of the objectives' budgets is burnt
    #[bpaf(command)]
    Report(#[bpaf(external(report_command))] ReportCommand),
}

impl Command {
    /// Whether the command runs until it is told to stop.
    pub fn is_long_running(&self) -> bool {
        matches!(self, Command::Entry(_) | Command::Agent(_))
    }

    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// What went wrong; [`ExitStatus::of`] tells the exit code that goes with it.
    pub fn run(self) -> Result<ExitCode> {
        match self {
            Command::Entry(command) => command.run(),
            Command::Agent(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::Apply(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Report(command) => command.run(),
        }
    }
}
