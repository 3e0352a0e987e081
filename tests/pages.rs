//! The committed pages agree with the code: generated pages, metrics, result codes and exit codes.

#[path = "../examples/pages/render.rs"]
mod render;

use anyhow::{Context, Result};
use buckthornwharf::cmd::ExitStatus;
use buckthornwharf::metrics::{AgentMetrics, EntryMetrics, ProcessMetrics};
use buckthornwharf_core::prelude::*;
use std::fs::{read_dir, read_to_string};
use std::path::Path;
use strum::IntoEnumIterator;

const PREFIX: &str = "buckthornwharf_";

fn page(path: &str) -> Result<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    read_to_string(&path).with_context(|| format!("can't read {}", path.display()))
}

/// Cells of the table rows below the heading `section`, or of the whole page if it is `None`.
fn table_rows(text: &str, section: Option<&str>) -> Vec<Vec<String>> {
    let mut is_inside = section.is_none();
    let mut rows = Vec::new();
    for line in text.lines() {
        if let Some(heading) = line.strip_prefix("## ") {
            is_inside = section.is_none_or(|section| section == heading);
        }
        if is_inside && line.starts_with('|') {
            let cells = line.trim_matches('|').split('|');
            rows.push(cells.map(|cell| cell.trim().trim_matches('`').to_owned()).collect());
        }
    }
    rows
}

#[test]
fn generated_pages_are_current() -> Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
    for generated in render::all_pages(program)? {
        assert!(!generated.text.trim().is_empty(), "{} is empty", generated.path);
        let hint = format!("{}: run `cargo run --example pages`", generated.path);
        assert_eq!(page(generated.path)?, generated.text, "{hint}");
    }
    Ok(())
}

#[test]
fn codes_page_lists_every_result_code() -> Result<()> {
    let text = page("docs/codes.md")?;
    let rows = table_rows(&text, None);
    let rows = rows.into_iter().filter(|row| row[0].parse::<u16>().is_ok());
    let listed: Vec<Vec<String>> = rows.map(|row| row[..5].to_vec()).collect();
    let expected = ResultCode::iter().map(|code| {
        let name: &'static str = code.into();
        let retry = code.retry_after_seconds().map(|seconds| seconds.to_string());
        vec![
            code.number().to_string(),
            name.to_owned(),
            code.http_status().to_string(),
            code.class().to_string(),
            retry.unwrap_or_default(),
        ]
    });
    assert_eq!(listed, expected.collect::<Vec<_>>());
    Ok(())
}

#[test]
fn operations_page_lists_every_exit_code() -> Result<()> {
    let text = page("docs/OPERATIONS.md")?;
    let rows = table_rows(&text, Some("Exit codes"));
    let rows = rows.into_iter().filter(|row| row[0].parse::<u8>().is_ok());
    let listed: Vec<(String, String)> = rows.map(|row| (row[0].clone(), row[1].clone())).collect();
    let expected =
        ExitStatus::iter().map(|status| ((status as u8).to_string(), status.to_string()));
    assert_eq!(listed, expected.collect::<Vec<_>>());
    Ok(())
}

/// Names and kinds of the metrics in the tables of `section`.
fn listed_metrics(section: &str) -> Result<Vec<(String, String)>> {
    let rows = table_rows(&page("docs/metrics.md")?, Some(section));
    let rows = rows.into_iter().filter(|row| row[0].starts_with(PREFIX));
    let mut listed: Vec<_> = rows.map(|row| (row[0].clone(), row[1].clone())).collect();
    listed.sort();
    Ok(listed)
}

/// Names and kinds of the rendered metrics, without those in `common`.
fn rendered_metrics(
    process: &ProcessMetrics,
    common: &[(String, String)],
) -> Vec<(String, String)> {
    let text = process.render();
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let pairs = lines.filter_map(|line| line.split_once(' '));
    let mut found: Vec<_> = pairs.map(|(name, kind)| (name.to_owned(), kind.to_owned())).collect();
    found.retain(|metric| !common.contains(metric));
    found.sort();
    found
}

#[test]
fn metrics_page_lists_every_registered_metric() -> Result<()> {
    let common = rendered_metrics(&ProcessMetrics::new()?, &[]);
    assert_eq!(listed_metrics("Every process")?, common);
    let entry = EntryMetrics::new()?;
    entry.requests.with_label_values(&["s", "normal", "ok"]).inc();
    entry.first_token.with_label_values(&["s"]).observe(0.1);
    entry.between_tokens.with_label_values(&["s"]).observe(0.1);
    assert_eq!(listed_metrics("Entry")?, rendered_metrics(&entry.process, &common));
    let agent = AgentMetrics::new()?;
    agent.claims.with_label_values(&["granted"]).inc();
    agent.weights.bytes.with_label_values(&["origin"]).inc();
    agent.weights.refused.with_label_values(&["origin"]).inc();
    assert_eq!(listed_metrics("Agent")?, rendered_metrics(&agent.process, &common));
    Ok(())
}

/// The text of all Rust files below `folder`.
fn rust_sources(folder: &Path) -> Result<String> {
    let mut text = String::new();
    for entry in read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            text.push_str(&rust_sources(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&read_to_string(&path)?);
        }
    }
    Ok(text)
}

#[test]
fn the_fault_matrix_names_tests_that_exist() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let tests = rust_sources(&root.join("core/tests"))? + &rust_sources(&root.join("tests"))?;
    let text = page("docs/fault-matrix.md")?;
    let quoted = text.split('`').skip(1).step_by(2);
    let names: Vec<&str> = quoted.filter(|name| !name.contains([' ', '/', '.'])).collect();
    assert!(!names.is_empty());
    for name in names {
        assert!(tests.contains(&format!("fn {name}(")), "no test is called {name}");
    }
    Ok(())
}
