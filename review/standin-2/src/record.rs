//! The record of a case: what was sent, answered and run, in the order of the times, and the verdict.

use std::path::Path;

#[derive(Default)]
pub struct Record {
    lines: Vec<(f64, String)>,
    verdict: Vec<String>,
}

impl Record {
    /// Adds a line that begins with its time.
    pub fn add(&mut self, line: String) {
        let at = line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0.0);
        self.lines.push((at, line));
    }

    pub fn add_all(&mut self, lines: impl IntoIterator<Item = String>) {
        lines.into_iter().for_each(|line| self.add(line));
    }

    /// Adds the lines of an engine.
    pub fn add_engine(&mut self, id: &str, output: &str) {
        for line in output.lines() {
            if let Some((at, text)) = line.split_once(' ') {
                self.add(format!("{at} engine {id} {text}"));
            }
        }
    }

    /// Adds a line of the verdict.
    pub fn conclude(&mut self, line: String) {
        println!("{line}");
        self.verdict.push(line);
    }

    /// Writes the record: the verdict, and then all lines with the milliseconds since the first one.
    pub fn write(&mut self, folder: &Path) {
        self.lines.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let first = self.lines.first().map_or(0.0, |(at, _)| *at);
        let mut text = self.verdict.join("\n");
        text.push_str("\n\n");
        for (at, line) in &self.lines {
            let rest = line.split_once(' ').map_or("", |(_, rest)| rest);
            text.push_str(&format!("{:9.1} {rest}\n", at - first));
        }
        if let Err(error) = std::fs::write(folder.join("record.txt"), text) {
            println!("the record was not written: {error}");
        }
    }
}
