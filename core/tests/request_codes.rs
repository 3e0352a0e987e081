//! The page of result codes agrees with the code.

use buckthornwharf_core::code::{OutcomeClass, ResultCode};
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../docs/codes.md");

fn row_start(code: ResultCode) -> String {
    let name: &str = code.into();
    let class: &str = code.class().into();
    let retry = code.retry_after_seconds().map(|seconds| format!(" {seconds}")).unwrap_or_default();
    format!("| {} | `{name}` | {} | `{class}` |{retry} | ", code.number(), code.http_status())
}

#[test]
fn the_page_has_one_row_for_each_code_in_order() {
    let rows = PAGE.lines().filter(|line| {
        let first = line.trim_start_matches("| ").split(' ').next();
        first.is_some_and(|cell| cell.parse::<u16>().is_ok())
    });
    let rows: Vec<&str> = rows.collect();
    let codes: Vec<ResultCode> = ResultCode::iter().collect();
    assert_eq!(rows.len(), codes.len());
    for (row, code) in rows.iter().zip(codes) {
        let start = row_start(code);
        let advice = row.strip_prefix(&start).unwrap_or_else(|| panic!("{row}\nnot {start}"));
        assert!(advice.len() > 4, "no advice in {row}");
    }
}

#[test]
fn asking_again_is_advised_only_where_nothing_ran() {
    for code in ResultCode::iter() {
        let is_not_run = code.class() == OutcomeClass::NotRun;
        assert_eq!(code.retry_after_seconds().is_some(), is_not_run, "{code}");
        assert_eq!(ResultCode::from_repr(code.number()), Some(code));
        assert_eq!(<&str>::from(code).parse(), Ok(code));
    }
}
