//! Generates the man page and the shell completions from the command-line definition.
//!
//! `cargo build && cargo run --example pages` writes them into `man/` and `completions/`.

#[path = "pages/render.rs"]
mod render;

use anyhow::{Context, Result};
use std::fs::{create_dir_all, write};
use std::path::Path;

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let example = std::env::current_exe()?;
    let folder = example
        .parent()
        .and_then(Path::parent)
        .context("the path of this example has no parent folder of programs")?;
    for page in render::all_pages(&folder.join(render::PROGRAM))? {
        let path = root.join(page.path);
        create_dir_all(path.parent().context("the path of the page has no parent folder")?)?;
        write(path, page.text)?;
    }
    Ok(())
}
