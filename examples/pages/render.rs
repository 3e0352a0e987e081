//! The generated pages as text.

use anyhow::{Context, Result};
use bpaf::doc::Section;
use buckthornwharf::cmd::command;
use std::path::Path;
use std::process::Command;

/// The name of the product's program.
pub const PROGRAM: &str = "buckthornwharf";

/// The completions by the name of the shell.
const COMPLETIONS: [(&str, &str); 4] = [
    ("completions/buckthornwharf.bash", "bash"),
    ("completions/_buckthornwharf", "zsh"),
    ("completions/buckthornwharf.fish", "fish"),
    ("completions/buckthornwharf.elv", "elvish"),
];

/// A generated page.
pub struct GeneratedPage {
    /// Where it stands in the tree.
    pub path: &'static str,
    /// Its text.
    pub text: String,
}

/// All generated pages; `program` is the product's, which prints its completions itself.
///
/// # Errors
///
/// Fails if the program can't be run.
pub fn all_pages(program: &Path) -> Result<Vec<GeneratedPage>> {
    let mut pages = vec![GeneratedPage { path: "man/buckthornwharf.1", text: manual() }];
    for (path, shell) in COMPLETIONS {
        pages.push(GeneratedPage { path, text: completion(program, shell)? });
    }
    Ok(pages)
}

fn manual() -> String {
    clean(&command().render_manpage(PROGRAM, Section::General, None, None, None))
}

fn completion(program: &Path, shell: &str) -> Result<String> {
    let argument = format!("--bpaf-complete-style-{shell}");
    let run = Command::new(program).arg(argument).output();
    let output = run.with_context(|| format!("can't run {}", program.display()))?;
    Ok(clean(&String::from_utf8(output.stdout)?))
}

/// Without blanks at the ends of lines, as in all other files of the tree.
fn clean(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}
