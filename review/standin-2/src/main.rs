//! Stand-ins of the platform, engines and callers for the scripts of the second review, and the scripts' plots.
//!
//! `standin-2 case NAME FOLDER ROOT` plays a case and writes `FOLDER/record.txt`. It exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::time::Duration;

/// Time after which a case is given up.
const LONGEST_CASE: Duration = Duration::from_secs(110);

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let word = |index: usize| words.get(index).map_or("", String::as_str);
    match word(0) {
        "engine" => engine::run(engine::EngineOptions::parse(&words[1..])),
        "case" => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            fleet::start_watchdog(LONGEST_CASE);
            let play = || cases::play(word(1), Path::new(word(2)), Path::new(word(3)), has_trouble);
            let code = std::panic::catch_unwind(play);
            std::process::exit(code.unwrap_or(2));
        }
        _ => std::process::exit(2),
    }
}
