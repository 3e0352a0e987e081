//! What the decisions of a live request cost, and what they bring under load and faults.
//!
//! Prints lines of `name value target`; a target of `-` means that none was set.

#[path = "requests/cost.rs"]
mod cost;
#[path = "requests/fleet.rs"]
mod fleet;
#[path = "requests/model.rs"]
mod model;
#[path = "requests/policy.rs"]
mod policy;
#[path = "requests/workload.rs"]
mod workload;

use fleet::{ModelSetup, TargetFate};
use model::{ModelResult, ModelRun};
use policy::PolicyKind;
use strum::IntoEnumIterator;

const ENTRIES: usize = 12;
const AGENTS: usize = 60;
const LOADS: [f64; 3] = [0.7, 1.0, 1.5];
const FATES: [(TargetFate, &str); 3] =
    [(TargetFate::Well, "well"), (TargetFate::Slow, "slow"), (TargetFate::Dead, "dead")];

fn main() {
    cost::print_costs();
    for (fate, fate_name) in FATES {
        for load in LOADS {
            let setup = ModelSetup::new(ENTRIES, AGENTS, load, fate);
            for policy in PolicyKind::iter() {
                let result = ModelRun::run(&setup, policy);
                print_result(&setup, load, &format!("{fate_name}/{load:.1}/{policy}"), &result);
            }
        }
    }
}

fn print_result(setup: &ModelSetup, load: f64, name: &str, result: &ModelResult) {
    let span = setup.span.as_secs_f64();
    let capacity = setup.capacity * setup.mean_tokens();
    let good = result.good_tokens.iter().sum::<u64>() as f64 / span;
    let is_over = load > 1.4;
    print_line(name, "goodput", good / capacity, if is_over { ">=0.9" } else { "-" });
    for share in [0.5, 0.95, 0.99] {
        let millis = result.first_token.value_at_quantile(share) as f64 / 1_000.0;
        print_line(name, &format!("first_token_p{:.0}_ms", share * 100.0), millis, "-");
    }
    print_line(name, "fairness", fairness(setup, result), ">=0.95");
    let extra = result.attempts as f64 / result.requests as f64 - 1.0;
    print_line(name, "retry_load", extra, "<=0.1");
    print_line(name, "cached_share", result.cache_hits as f64 / result.attempts as f64, "-");
    let target = if load < 0.8 { "<=1.3" } else { "-" };
    print_line(name, "evenness", evenness(setup, result), target);
}

fn print_line(name: &str, measure: &str, value: f64, target: &str) {
    println!("{name}/{measure} {value:.3} {target}");
}

/// Jain's index of what organisations got relative to their max-min fair shares of the capacity.
fn fairness(setup: &ModelSetup, result: &ModelResult) -> f64 {
    let shares = max_min_shares(&setup.demands, setup.capacity);
    let got = result.good_tokens.iter().zip(&shares).map(|(good, share)| *good as f64 / share);
    let got: Vec<f64> = got.collect();
    let sum: f64 = got.iter().sum();
    sum * sum / (got.len() as f64 * got.iter().map(|part| part * part).sum::<f64>())
}

fn max_min_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|left, right| demands[*left].total_cmp(&demands[*right]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = capacity;
    for (served, organisation) in order.into_iter().enumerate() {
        let even = left / (demands.len() - served) as f64;
        shares[organisation] = demands[organisation].min(even);
        left -= shares[organisation];
    }
    shares
}

/// Most over mean of the tokens that targets in good state served.
fn evenness(setup: &ModelSetup, result: &ModelResult) -> f64 {
    let agents = setup.agents.iter().zip(&result.served_tokens);
    let well = agents.filter(|(agent, _)| agent.2 == TargetFate::Well);
    let served: Vec<f64> = well.map(|(_, served)| *served as f64).collect();
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    served.iter().copied().fold(0.0, f64::max) / mean
}
