//! Renders a report as a text table.

use super::{FleetReport, UnreachableProcess};
use buckthornwharf_core::burn::{BurnCause, BurnReport, BurnRow, BurnWindow};
use std::fmt::Write;
use strum::IntoEnumIterator;

const PERCENT: f64 = 100.0;

/// Renders the report; the last line says whether a page is due.
pub fn render_report(report: &FleetReport) -> String {
    let mut text = render_header(report);
    for row in &report.burn.rows {
        text.push_str(&render_row(row));
        row.causes.iter().for_each(|cause| text.push_str(&render_cause(cause)));
    }
    report.unreachable.iter().for_each(|process| text.push_str(&render_unreachable(process)));
    text.push_str(if report.burn.page_due { "page due\n" } else { "no page due\n" });
    text
}

fn render_header(report: &FleetReport) -> String {
    let mut text = format!("{} processes read; ", report.processes);
    let _ = writeln!(text, "seen of each window: {}", render_seen_shares(&report.burn));
    let _ = write!(
        text,
        "{:<18} {:<18} {:<15} {:>8} {:>8}",
        "service", "organisation", "objective", "wanted", "left"
    );
    for window in BurnWindow::iter() {
        let _ = write!(text, " {:>9}", format!("burn {window}"));
    }
    text.push('\n');
    text
}

fn render_seen_shares(burn: &BurnReport) -> String {
    let shares = burn.seen_share.iter();
    let shares = shares.map(|(window, share)| format!("{window} {:.0}%", share * PERCENT));
    shares.collect::<Vec<_>>().join(", ")
}

fn render_row(row: &BurnRow) -> String {
    let organisation = row.organisation.as_ref().map_or("all", |name| name.as_str());
    let mut text = format!(
        "{:<18} {organisation:<18} {:<15} {:>7.2}% {:>7.1}%",
        row.service.as_str(),
        row.kind.to_string(),
        row.wanted_share * PERCENT,
        row.budget_left * PERCENT
    );
    for burn in &row.windows {
        let _ = write!(text, " {:>9.2}", burn.rate);
    }
    text.push_str(if row.page_due { "  PAGE\n" } else { "\n" });
    text
}

fn render_cause(cause: &BurnCause) -> String {
    let name: &'static str = cause.code.into();
    let number = cause.code.number();
    format!("  {} bad in {}: {number} {name} at {}\n", cause.bad, cause.window, cause.site)
}

fn render_unreachable(process: &UnreachableProcess) -> String {
    format!("unreachable: {} at {}: {}\n", process.host, process.site, process.error)
}
