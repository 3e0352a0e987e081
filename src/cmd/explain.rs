//! `buckthornwharf explain`: shows the timeline of one request from logs.

use crate::cmd::ExitStatus;
use anyhow::{Context, Result, anyhow};
use bpaf::Bpaf;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;
use std::process::ExitCode;

/// Shows the timeline of one request from the logs of several processes, sorted by time.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainCommand {
    /// Id of the request
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Log files, one for each process (default: standard input)
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

impl ExplainCommand {
    /// Prints the log lines of the request, each preceded by the last known state of the target that
    /// it names.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, or no line names the request.
    pub fn run(self) -> Result<ExitCode> {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read_lines("-", BufReader::new(stdin()), &mut lines)?;
        }
        for path in &self.files {
            let name = path.display().to_string();
            let file = File::open(path).with_context(|| format!("can't read {name}"))?;
            read_lines(&name, BufReader::new(file), &mut lines)?;
        }
        let timeline = explain(&self.id, lines);
        if timeline.is_empty() {
            return Err(anyhow!("no log line contains request={}", self.id));
        }
        timeline.iter().for_each(|line| println!("{line}"));
        Ok(ExitStatus::Done.into())
    }
}

/// A log line with the name of its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    file: String,
    text: String,
}

impl LogLine {
    /// Creates a line of `file`.
    pub fn new(file: &str, text: &str) -> Self {
        Self { file: file.to_owned(), text: text.to_owned() }
    }

    /// Returns the value of the `key=value` pair for `key`.
    fn field(&self, key: &str) -> Option<&str> {
        let mut pairs = self.text.split_ascii_whitespace();
        pairs.find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    fn time(&self) -> &str {
        self.field("time").unwrap_or_default()
    }
}

fn read_lines(file: &str, reader: impl BufRead, lines: &mut Vec<LogLine>) -> Result<()> {
    for line in reader.lines() {
        let line = line.with_context(|| format!("can't read {file}"))?;
        lines.push(LogLine::new(file, &line));
    }
    Ok(())
}

/// Builds the timeline of request `id`; empty if no line names the request. It holds:
/// - `request`: the log lines of the request, sorted by time
/// - `believed`: the state that the logging process had at that time, from earlier lines of the same
///   file: the configuration, the live entries and each target that a line of the request names
/// - `missing`: lines that were expected but not found
pub fn explain(id: &str, mut lines: Vec<LogLine>) -> Vec<String> {
    lines.sort_by(|a, b| a.time().cmp(b.time()));
    let request_lines: Vec<usize> =
        (0..lines.len()).filter(|index| lines[*index].field("request") == Some(id)).collect();
    let Some(first) = request_lines.first() else {
        return Vec::new();
    };
    let mut timeline = Vec::new();
    for kind in ["config", "entries"] {
        match last_before(&lines, *first, |line| line.field("event") == Some(kind)) {
            Some(line) => timeline.push(format!("believed  {}", format_line(line))),
            None => timeline.push(format!("missing   no line event={kind} before the request")),
        }
    }
    for index in &request_lines {
        if let Some(target) = lines[*index].field("target") {
            let is_about_target = |line: &LogLine| line.field("id") == Some(target);
            match last_before(&lines, *index, is_about_target) {
                Some(line) => timeline.push(format!("believed  {}", format_line(line))),
                None => timeline.push(format!("missing   no line about target {target} before")),
            }
        }
        timeline.push(format!("request   {}", format_line(&lines[*index])));
    }
    let final_events = ["answered", "ended", "rejected"];
    let is_final = |index: &usize| {
        lines[*index].field("event").is_some_and(|event| final_events.contains(&event))
    };
    if !request_lines.iter().any(is_final) {
        timeline.push("missing   no line with the final event of the request".to_owned());
    }
    timeline
}

/// Returns the last line before `index` that is of the same file and fulfils `predicate`.
fn last_before(
    lines: &[LogLine],
    index: usize,
    predicate: impl Fn(&LogLine) -> bool,
) -> Option<&LogLine> {
    lines[..index].iter().rev().find(|line| line.file == lines[index].file && predicate(line))
}

fn format_line(line: &LogLine) -> String {
    format!("{}: {}", line.file, line.text)
}
