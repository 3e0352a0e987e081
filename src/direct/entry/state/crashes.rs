//! Crashes of targets: how the entry notices them, and which requests it refuses for it.

mod listen_check;

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::{
    CauseHistory, CauseId, CrashId, CrashReport, RegisteredTarget, SentCause, TargetPhase,
};
use buckthornwharf_core::prelude::*;
use listen_check::{ListenStatus, listen_status};
use log::info;
use std::rc::Rc;

/// Requests whose connections to one target broke, until it is known whether the target crashed.
#[derive(Debug, Default)]
pub(super) struct BrokenRequests {
    requests: u32,
    causes: Vec<SentCause>,
}

impl EntryState {
    /// Returns for how long requests to `service` with these causes are refused; `None` if they are not.
    pub fn crash_refusal(&self, service: &ServiceName, causes: &[CauseId]) -> Option<Duration> {
        self.crash_ledger.borrow().refusal(clock::now(), service, causes)
    }

    /// Returns the causes of a request that is being sent, with what is known of them.
    pub fn begin_attempt(&self, service: &ServiceName, causes: &[CauseId]) -> Vec<SentCause> {
        self.crash_ledger.borrow_mut().begin(clock::now(), service, causes)
    }

    /// Records that the first event of a stream has arrived.
    pub fn on_answer_begun(&self, service: &ServiceName, causes: &[CauseId]) {
        if self.crash_ledger.borrow_mut().record_begun(service, causes) {
            self.after_crash_change(true);
        }
    }

    /// Returns whether `target`, which has closed the connection at the end of an answer without framing,
    /// seems to have crashed: it refuses new connections, and has not announced that it leaves.
    pub async fn has_crashed(&self, target: &RegisteredTarget) -> bool {
        !self.has_announced_leaving(target) && listen_status(target).await == ListenStatus::Refuses
    }

    fn has_announced_leaving(&self, target: &RegisteredTarget) -> bool {
        let catalog = self.catalog.borrow();
        let is_ready =
            catalog.get(&target.id).is_some_and(|known| known.phase == TargetPhase::Ready);
        !is_ready || self.scheduler.borrow().is_leaving(target)
    }

    /// Records that the complete answer to a request with these causes arrived, with success.
    pub fn on_answer_complete(&self, service: &ServiceName, causes: &[SentCause]) {
        if self.crash_ledger.borrow_mut().record_answer(service, causes) {
            self.after_crash_change(true);
        }
    }

    /// Records that the connection of a request with these possible causes broke at `target`, and checks
    /// whether the target crashed, unless a check is running.
    pub fn on_request_broken(
        self: &Rc<Self>,
        target: &Arc<RegisteredTarget>,
        causes: Vec<SentCause>,
    ) {
        let mut broken = self.broken_requests.borrow_mut();
        let is_checked = broken.contains_key(&target.id);
        let requests = broken.get_or_insert_with(target.id.clone(), BrokenRequests::default);
        requests.requests += 1;
        requests.causes.extend(causes);
        if !is_checked {
            actix_rt::spawn(check_target(self.clone(), target.clone()));
        }
    }

    /// Merges the crashes that another entry knows of.
    pub fn on_crash_report(&self, report: &CrashReport) {
        self.crash_ledger.borrow_mut().merge(clock::now(), report);
        self.after_crash_change(false);
    }

    /// Returns the crashes that this entry knows of.
    pub fn crash_report(&self) -> CrashReport {
        let now = clock::now();
        let mut ledger = self.crash_ledger.borrow_mut();
        ledger.expire(now);
        ledger.report(now)
    }

    /// Waits until other entries should be told of crashes.
    pub async fn crash_news(&self) {
        self.crash_news.notified().await;
    }

    /// Asks for another report to the other entries.
    pub fn report_crashes(&self) {
        self.crash_news.notify_one();
    }

    fn on_target_crashed(&self, target: &RegisteredTarget, broken: BrokenRequests) {
        let BrokenRequests { requests, causes } = broken;
        let mut ids: Vec<CauseId> = causes.iter().map(|sent| sent.cause).collect();
        ids.sort_unstable();
        ids.dedup();
        self.metrics.target_crashes.inc();
        let crash = CrashId::of(target);
        let mut ledger = self.crash_ledger.borrow_mut();
        ledger.record_crash(clock::now(), &target.service, crash, &causes);
        let histories: Vec<CauseHistory> =
            ids.iter().map(|cause| ledger.history(&target.service, *cause)).collect();
        drop(ledger);
        info!(
            "event=target_crashed target={} address={} requests={requests} causes={} {}",
            target.id,
            target.address,
            cause_list(&ids),
            history_fields(&histories)
        );
        self.after_crash_change(true);
    }

    fn after_crash_change(&self, is_news: bool) {
        let guilty = self.crash_ledger.borrow().guilty();
        self.metrics.refused_causes.set(guilty.len() as i64);
        let before = self.guilty_causes.replace(guilty.clone());
        for group in guilty.iter().filter(|group| !before.contains(group)) {
            info!("event=cause_refused causes={}", cause_list(group));
        }
        for group in before.iter().filter(|group| !guilty.contains(group)) {
            info!("event=cause_allowed causes={}", cause_list(group));
        }
        if is_news {
            self.report_crashes();
        }
    }
}

/// Formats causes for a log line.
pub fn cause_list(causes: &[CauseId]) -> String {
    let texts: Vec<String> = causes.iter().map(CauseId::to_string).collect();
    texts.join(",")
}

/// Formats what is known of several causes for a log line.
fn history_fields(histories: &[CauseHistory]) -> String {
    let list = |text: fn(&CauseHistory) -> String| {
        histories.iter().map(text).collect::<Vec<String>>().join(",")
    };
    let crashes = list(|history| history.crashes.to_string());
    let answers = list(|history| history.answers.to_string());
    let contrast = list(|history| history.has_contrast.to_string());
    format!("crashes={crashes} answers={answers} contrast={contrast}")
}

async fn check_target(state: Rc<EntryState>, target: Arc<RegisteredTarget>) {
    let status = listen_status(&target).await;
    let broken = state.broken_requests.borrow_mut().remove(&target.id).unwrap_or_default();
    let (id, address, requests) = (&target.id, target.address, broken.requests);
    match status {
        ListenStatus::Refuses => state.on_target_crashed(&target, broken),
        ListenStatus::Listens | ListenStatus::Silent => info!(
            "event=target_not_crashed target={id} address={address} requests={requests} result={status}"
        ),
    }
}
