//! The table of result codes in `docs/codes.md` matches [`ResultCode`].

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
fn page_has_one_row_per_result_code_in_order() {
    let rows = PAGE.lines().filter(|line| {
        let first_cell = line.trim_start_matches("| ").split(' ').next();
        first_cell.is_some_and(|cell| cell.parse::<u16>().is_ok())
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
fn retry_after_is_set_exactly_for_not_run_codes() {
    for code in ResultCode::iter() {
        let is_not_run = code.class() == OutcomeClass::NotRun;
        assert_eq!(code.retry_after_seconds().is_some(), is_not_run, "{code}");
        assert_eq!(ResultCode::from_repr(code.number()), Some(code));
        assert_eq!(<&str>::from(code).parse(), Ok(code));
    }
}
