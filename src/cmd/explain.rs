//! `buckthornwharf explain`.

use crate::cmd::ExitStatus;
use anyhow::{Context, Result, anyhow};
use bpaf::Bpaf;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;
use std::process::ExitCode;

/// Shows one request's story from the logs of several processes, in the order of their times.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainCommand {
    /// The request's id
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Log files, each of one process; standard input if none is given
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

impl ExplainCommand {
    /// Prints the lines of the request, and before them what was known of the targets that they name.
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
        let story = explain(&self.id, lines);
        if story.is_empty() {
            return Err(anyhow!("no line names request {}", self.id));
        }
        story.iter().for_each(|line| println!("{line}"));
        Ok(ExitStatus::Done.into())
    }
}

/// A line of a log, with the file that it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    file: String,
    text: String,
}

impl LogLine {
    /// A line of `file`.
    pub fn new(file: &str, text: &str) -> Self {
        Self { file: file.to_owned(), text: text.to_owned() }
    }

    /// The value of `key` in the line.
    fn field(&self, key: &str) -> Option<&str> {
        let mut words = self.text.split_ascii_whitespace();
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
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

/// The story of request `id`: its lines in the order of their times, each target that they name with
/// the last that its process had heard of it, and what is missing.
pub fn explain(id: &str, mut lines: Vec<LogLine>) -> Vec<String> {
    lines.sort_by(|a, b| a.time().cmp(b.time()));
    let own: Vec<usize> =
        (0..lines.len()).filter(|at| lines[*at].field("request") == Some(id)).collect();
    let Some(first) = own.first() else {
        return Vec::new();
    };
    let mut story = Vec::new();
    for kind in ["config", "entries"] {
        match last_before(&lines, *first, |line| line.field("event") == Some(kind)) {
            Some(line) => story.push(format!("believed  {}", show(line))),
            None => story.push(format!("missing   no line event={kind} before the request")),
        }
    }
    for at in &own {
        if let Some(target) = lines[*at].field("target") {
            let about = |line: &LogLine| line.field("id") == Some(target);
            match last_before(&lines, *at, about) {
                Some(line) => story.push(format!("believed  {}", show(line))),
                None => story.push(format!("missing   no line about target {target} before")),
            }
        }
        story.push(format!("request   {}", show(&lines[*at])));
    }
    let ends = ["answered", "ended", "rejected"];
    let is_end = |at: &usize| lines[*at].field("event").is_some_and(|event| ends.contains(&event));
    if !own.iter().any(is_end) {
        story.push("missing   no line tells the end of the request".to_owned());
    }
    story
}

/// The last line before position `at`, of the same file, that fits.
fn last_before(lines: &[LogLine], at: usize, fits: impl Fn(&LogLine) -> bool) -> Option<&LogLine> {
    lines[..at].iter().rev().find(|line| line.file == lines[at].file && fits(line))
}

fn show(line: &LogLine) -> String {
    format!("{}: {}", line.file, line.text)
}
