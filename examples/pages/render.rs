//! Renders the man page and the shell completions from the command-line definition.

use anyhow::{Context, Result};
use bpaf::doc::Section;
use buckthornwharf::cmd::command;
use std::path::Path;
use std::process::Command;

/// File name of the product's program.
pub const PROGRAM: &str = "buckthornwharf";

/// Path of each completion script, and the shell that it is for.
const COMPLETIONS: [(&str, &str); 4] = [
    ("completions/buckthornwharf.bash", "bash"),
    ("completions/_buckthornwharf", "zsh"),
    ("completions/buckthornwharf.fish", "fish"),
    ("completions/buckthornwharf.elv", "elvish"),
];

/// A generated file of the repository.
pub struct GeneratedPage {
    /// Path relative to the root of the repository.
    pub path: &'static str,
    /// Content of the file.
    pub text: String,
}

/// Renders all generated pages. `program` is the path of the product's program, which prints its
/// own completion scripts.
///
/// # Errors
///
/// Fails if the program can't be run or prints invalid UTF-8.
pub fn all_pages(program: &Path) -> Result<Vec<GeneratedPage>> {
    let mut pages = vec![GeneratedPage { path: "man/buckthornwharf.1", text: man_page() }];
    for (path, shell) in COMPLETIONS {
        pages.push(GeneratedPage { path, text: completion(program, shell)? });
    }
    Ok(pages)
}

fn man_page() -> String {
    trim_line_ends(&command().render_manpage(PROGRAM, Section::General, None, None, None))
}

fn completion(program: &Path, shell: &str) -> Result<String> {
    let argument = format!("--bpaf-complete-style-{shell}");
    let result = Command::new(program).arg(argument).output();
    let output = result.with_context(|| format!("can't run {}", program.display()))?;
    Ok(trim_line_ends(&String::from_utf8(output.stdout)?))
}

/// Removes trailing whitespace, which no other file of the repository has.
fn trim_line_ends(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}
