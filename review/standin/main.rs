//! Stand-ins of the users' platform, clients and engines, and the cases of the review that use them.
//! Only the standard library is used.

mod client;
mod crash;
mod engine;
mod fleet;
mod http;
mod json;
mod manifest;
mod process;
mod proxy;
mod record;
mod reload;
mod sha256;
mod silent;
mod spoilt;
mod store;
mod weights;

use fleet::Verdict;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    if case == "engine" {
        crash::run_engine();
    }
    let Some(folder) = folder.map(PathBuf::from) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || match case.as_str() {
        "silent" => silent::run(&folder, trouble),
        "spoilt" => spoilt::run(&folder, trouble),
        "crash" => crash::run(&folder, trouble),
        "reload" => reload::run(&folder, trouble),
        "manifest" => manifest::run(&folder, trouble),
        _ => Verdict::NotRun,
    };
    // A failed assumption of the stand-ins says nothing about the rule.
    let verdict = std::panic::catch_unwind(run).unwrap_or(Verdict::NotRun);
    println!("{case}: {verdict:?} (trouble: {trouble})");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
