//! Checks the product's guarantees against the answers that callers got and the runs of engines.

use super::callers::{RequestKind, SentRequest};
use super::standin::model_engine::{EngineRun, answer_body, stream_body};

/// Describes each violated guarantee in one line.
pub fn violations(
    sent: &[SentRequest],
    runs: &[EngineRun],
    invalid_loads: &[String],
) -> Vec<String> {
    let mut lines: Vec<String> = invalid_loads.to_vec();
    let mut by_id: Vec<&EngineRun> = runs.iter().collect();
    by_id.sort_by(|a, b| a.id.cmp(&b.id));
    let mut ids: Vec<&str> = sent.iter().map(|request| request.id.as_str()).collect();
    ids.sort_unstable();
    for run in &by_id {
        if !run.intact {
            lines.push(format!("{} ran with a changed body or with wrong headers", run.id));
        }
        if ids.binary_search(&run.id.as_str()).is_err() {
            lines.push(format!("{} ran, but no caller sent it", run.id));
        }
    }
    for request in sent {
        let first = by_id.partition_point(|run| run.id < request.id);
        let count = by_id[first..].iter().take_while(|run| run.id == request.id).count();
        lines.extend(request_violation(request, count));
    }
    lines
}

/// Describes the guarantee that a request which ran `runs` times violates, if any.
fn request_violation(request: &SentRequest, runs: usize) -> Option<String> {
    let SentRequest { id, kind, reply } = request;
    let status = reply.status.unwrap_or(0);
    if *kind == RequestKind::Once && runs > 1 {
        return Some(format!("{id} may run at most once but ran {runs} times"));
    }
    if *kind == RequestKind::Once && matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
        return Some(format!("{id} got status {status}, which means not executed, but ran"));
    }
    if (200..300).contains(&status) {
        if !reply.sealed || runs == 0 {
            return Some(format!("{id} got a success status without a seal or without a run"));
        }
        let expected = match kind {
            RequestKind::Stream => stream_body(id),
            _ => answer_body(id),
        };
        if reply.complete && reply.body != expected {
            return Some(format!("{id} got a wrong body that ended properly: {:?}", reply.body));
        }
        if !reply.complete && !expected.starts_with(&reply.body) {
            return Some(format!(
                "{id} got a truncated body that is no prefix of the expected one: {:?}",
                reply.body
            ));
        }
    }
    if reply.sealed && !(200..300).contains(&status) && status != 500 {
        return Some(format!("{id} got status {status} with the seal of an engine"));
    }
    None
}
