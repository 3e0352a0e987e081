//! Measures the time that decisions about a request take, and simulates their effect under load and
//! faults.
//!
//! Prints `name value target` lines; a target of `-` means that none is set.

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

use fleet::{ModelSetup, TargetCondition};
use model::{ModelResult, ModelRun};
use policy::PolicyKind;
use strum::IntoEnumIterator;

const ENTRIES: usize = 12;
const AGENTS: usize = 60;
const LOADS: [f64; 3] = [0.7, 1.0, 1.5];
const CONDITIONS: [(TargetCondition, &str); 3] = [
    (TargetCondition::Healthy, "well"),
    (TargetCondition::Slow, "slow"),
    (TargetCondition::Dead, "dead"),
];

fn main() {
    cost::print_costs();
    for (condition, condition_name) in CONDITIONS {
        for load in LOADS {
            let setup = ModelSetup::new(ENTRIES, AGENTS, load, condition);
            for policy in PolicyKind::iter() {
                let result = ModelRun::run(&setup, policy);
                print_result(
                    &setup,
                    load,
                    &format!("{condition_name}/{load:.1}/{policy}"),
                    &result,
                );
            }
        }
    }
}

fn print_result(setup: &ModelSetup, load: f64, name: &str, result: &ModelResult) {
    let run_seconds = setup.duration.as_secs_f64();
    let capacity_tokens_per_second = setup.capacity_requests_per_second * setup.mean_tokens();
    let good_tokens_per_second = result.good_tokens.iter().sum::<u64>() as f64 / run_seconds;
    let is_overloaded = load > 1.4;
    print_line(
        name,
        "goodput",
        good_tokens_per_second / capacity_tokens_per_second,
        if is_overloaded { ">=0.9" } else { "-" },
    );
    for quantile in [0.5, 0.95, 0.99] {
        let millis = result.first_token_latency.value_at_quantile(quantile) as f64 / 1_000.0;
        print_line(name, &format!("first_token_p{:.0}_ms", quantile * 100.0), millis, "-");
    }
    print_line(name, "fairness", fairness(setup, result), ">=0.95");
    let extra_attempts = result.attempts as f64 / result.requests as f64 - 1.0;
    print_line(name, "retry_load", extra_attempts, "<=0.1");
    print_line(name, "cached_share", result.cache_hits as f64 / result.attempts as f64, "-");
    let target = if load < 0.8 { "<=1.3" } else { "-" };
    print_line(name, "evenness", evenness(setup, result), target);
}

fn print_line(name: &str, measure: &str, value: f64, target: &str) {
    println!("{name}/{measure} {value:.3} {target}");
}

/// Jain's fairness index of each organisation's good tokens relative to its max-min fair share of the
/// capacity.
fn fairness(setup: &ModelSetup, result: &ModelResult) -> f64 {
    let shares = max_min_shares(&setup.requests_per_second, setup.capacity_requests_per_second);
    let relative_goodput =
        result.good_tokens.iter().zip(&shares).map(|(good, share)| *good as f64 / share);
    let relative_goodput: Vec<f64> = relative_goodput.collect();
    let sum: f64 = relative_goodput.iter().sum();
    sum * sum
        / (relative_goodput.len() as f64
            * relative_goodput.iter().map(|ratio| ratio * ratio).sum::<f64>())
}

fn max_min_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|left, right| demands[*left].total_cmp(&demands[*right]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = capacity;
    for (served_count, organisation) in order.into_iter().enumerate() {
        let equal_share = remaining / (demands.len() - served_count) as f64;
        shares[organisation] = demands[organisation].min(equal_share);
        remaining -= shares[organisation];
    }
    shares
}

/// Ratio of the largest to the mean number of tokens served by a healthy target.
fn evenness(setup: &ModelSetup, result: &ModelResult) -> f64 {
    let agents = setup.agents.iter().zip(&result.served_tokens);
    let healthy_agents = agents.filter(|(agent, _)| agent.2 == TargetCondition::Healthy);
    let served_tokens: Vec<f64> = healthy_agents.map(|(_, tokens)| *tokens as f64).collect();
    let mean = served_tokens.iter().sum::<f64>() / served_tokens.len() as f64;
    served_tokens.iter().copied().fold(0.0, f64::max) / mean
}
