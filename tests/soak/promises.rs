//! What must hold, judged by what callers and engines saw.

use super::callers::{RequestKind, SentRequest};
use super::standin::model_engine::{EngineRun, stream_body, whole_body};

/// What was broken, a line each; empty if nothing was.
pub fn broken(sent: &[SentRequest], runs: &[EngineRun], unsound_loads: &[String]) -> Vec<String> {
    let mut lines: Vec<String> = unsound_loads.to_vec();
    let mut by_id: Vec<&EngineRun> = runs.iter().collect();
    by_id.sort_by(|a, b| a.id.cmp(&b.id));
    let mut ids: Vec<&str> = sent.iter().map(|request| request.id.as_str()).collect();
    ids.sort_unstable();
    for run in &by_id {
        if !run.intact {
            lines.push(format!("{} ran, but not as its caller sent it", run.id));
        }
        if ids.binary_search(&run.id.as_str()).is_err() {
            lines.push(format!("{} ran, but nobody sent it", run.id));
        }
    }
    for request in sent {
        let first = by_id.partition_point(|run| run.id < request.id);
        let count = by_id[first..].iter().take_while(|run| run.id == request.id).count();
        lines.extend(broken_by(request, count));
    }
    lines
}

/// What is wrong with one request that ran `runs` times.
fn broken_by(request: &SentRequest, runs: usize) -> Option<String> {
    let SentRequest { id, kind, reply } = request;
    let status = reply.status.unwrap_or(0);
    if *kind == RequestKind::Once && runs > 1 {
        return Some(format!("{id} may run once and ran {runs} times"));
    }
    if *kind == RequestKind::Once && matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
        return Some(format!(
            "{id} was answered {status}, which says that it did not run, and ran"
        ));
    }
    if (200..300).contains(&status) {
        if !reply.sealed || runs == 0 {
            return Some(format!("{id} got a success that no engine gave"));
        }
        let expected = match kind {
            RequestKind::Stream => stream_body(id),
            _ => whole_body(id),
        };
        if reply.whole && reply.body != expected {
            return Some(format!("{id} got what looks whole and is not: {:?}", reply.body));
        }
        if !reply.whole && !expected.starts_with(&reply.body) {
            return Some(format!("{id} got parts that do not fit: {:?}", reply.body));
        }
    }
    if reply.sealed && !(200..300).contains(&status) && status != 500 {
        return Some(format!("{id} got status {status} under an engine's seal"));
    }
    None
}
