//! Decides which requests are refused because they crash targets.

use super::answers::AnswerCounts;
use super::record::CauseRecord;
use super::verdict::guilty_groups;
use super::{CauseId, CauseRow, CrashId, CrashReport, CrashRow, GuiltyGroup, request};
use crate::prelude::*;
use crate::request::poison::MAX_SUSPECTS;

/// Rounds of crashes from which other processes are told of answers that speak for or against a cause.
const REPORTED_ROUNDS: u32 = 2;

/// A possible cause in a request that was sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentCause {
    /// The cause.
    pub cause: CauseId,
    /// Rounds of crashes that were known when the request was sent.
    pub known_rounds: u32,
    /// When the request was sent.
    pub sent_at: MonoTime,
}

/// What is known of a possible cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CauseHistory {
    /// Number of crashes that count against the cause.
    pub crashes: usize,
    /// How often requests with the cause were answered, as far as it is remembered.
    pub answers: u32,
    /// Whether requests without the cause have been answered since the first of the crashes.
    pub has_contrast: bool,
}

/// The possible causes of the crashes of targets, as far as this process knows.
///
/// When a target crashes, each cause in flight there becomes a suspect, the sound ones too. An answer
/// clears the causes of its request. Requests are refused that were in flight at several crashes as a whole,
/// or that contain the guilty parts: the fewest that explain crash after crash without an answer.
#[derive(Debug, Default)]
pub struct CrashLedger {
    services: SortedTable<ServiceName, ServiceCrashes>,
    answers: AnswerCounts,
    /// Number from 0 to 255 that differs between processes, so that they do not try a cause together.
    jitter: u8,
}

#[derive(Debug, Default)]
struct ServiceCrashes {
    causes: SortedTable<CauseId, CauseRecord>,
    guilty: Vec<GuiltyGroup>,
}

impl CrashLedger {
    /// Creates an empty ledger. Processes that try guilty causes again should differ in `jitter`.
    pub fn new(jitter: u8) -> Self {
        Self { jitter, ..Self::default() }
    }

    /// Returns the causes of a request to `service` that is being sent, with what is known of them.
    pub fn begin(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        causes: &[CauseId],
    ) -> Vec<SentCause> {
        let mut crashes = self.services.get_mut(service);
        let mut known_rounds = |cause: &CauseId| {
            let record = crashes.as_mut()?.causes.get_mut(cause)?;
            record.last_sent = now;
            Some(record.rounds())
        };
        let sent = |cause: &CauseId| SentCause {
            cause: *cause,
            known_rounds: known_rounds(cause).unwrap_or(0),
            sent_at: now,
        };
        causes.iter().map(sent).collect()
    }

    /// Records that a target of `service` crashed while it had requests with these causes.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        crash: CrashId,
        causes: &[SentCause],
    ) {
        let crashes = self.services.get_or_insert_with(service.clone(), ServiceCrashes::default);
        for sent in causes {
            let record = crashes.causes.get_or_insert_with(sent.cause, CauseRecord::default);
            record.answers = record.answers.max(self.answers.get(sent.cause));
            // The cause may have been cleared since the request was sent.
            let round = sent.known_rounds.min(record.rounds()).saturating_add(1);
            record.add(record.crash_after(crash, sent.sent_at), round, now, false);
        }
        crashes.update();
    }

    /// Records that a target of `service` has begun to answer a request with these causes: a stream's first
    /// event has arrived. Returns whether other processes should be told.
    pub fn record_begun(&mut self, service: &ServiceName, causes: &[CauseId]) -> bool {
        let Some(crashes) = self.services.get_mut(service) else {
            return false;
        };
        let mut is_news = false;
        for (cause, record) in crashes.causes.iter_mut() {
            let rounds = record.rounds();
            if rounds > 0 && !record.has_contrast && !causes.contains(cause) {
                record.has_contrast = true;
                is_news |= rounds >= REPORTED_ROUNDS;
            }
        }
        if is_news {
            crashes.update();
        }
        is_news
    }

    /// Records that a target of `service` answered a request with these causes completely, which clears
    /// them of the crashes before it was sent. Returns whether other processes should be told.
    pub fn record_answer(&mut self, service: &ServiceName, causes: &[SentCause]) -> bool {
        let ids: Vec<CauseId> = causes.iter().map(|sent| sent.cause).collect();
        ids.iter().for_each(|cause| self.answers.count(*cause));
        let mut is_news = self.record_begun(service, &ids);
        let Some(crashes) = self.services.get_mut(service) else {
            return is_news;
        };
        for sent in causes {
            if let Some(record) = crashes.causes.get_mut(&sent.cause) {
                is_news |= record.rounds() >= REPORTED_ROUNDS || request::is_refused(record);
                record.answers = record.answers.max(self.answers.get(sent.cause));
                record.clear_until(sent.sent_at);
            }
        }
        if is_news {
            crashes.update();
        }
        is_news
    }

    /// Returns for how long requests to `service` with these causes are refused; `None` if they are not.
    ///
    /// What is refused may be sound again, or was blamed wrongly. So it is let through from time to time.
    pub fn refusal(
        &self,
        now: MonoTime,
        service: &ServiceName,
        causes: &[CauseId],
    ) -> Option<Duration> {
        let crashes = self.services.get(service)?;
        let of_request = crashes.request_refusal(now, causes, self.jitter);
        of_request.max(crashes.group_refusal(now, causes, self.jitter))
    }

    /// Merges what another process knows.
    pub fn merge(&mut self, now: MonoTime, report: &CrashReport) {
        for row in &report.causes {
            let service = row.service.clone();
            let crashes = self.services.get_or_insert_with(service, ServiceCrashes::default);
            let record = crashes.causes.get_or_insert_with(row.cause, CauseRecord::default);
            let had_rounds = record.rounds() > 0;
            for crash in &row.crashes {
                record.add(crash.crash, crash.round, now - crash.age, crash.cleared);
            }
            record.has_contrast =
                record.rounds() > 0 && (row.contrast || (had_rounds && record.has_contrast));
            record.answers = record.answers.max(row.answers);
        }
        self.expire(now);
        self.services.values_mut().for_each(ServiceCrashes::update);
    }

    /// Returns what other processes should know. Causes that were cleared before they came close to a
    /// refusal are left out.
    pub fn report(&self, now: MonoTime) -> CrashReport {
        let mut causes = Vec::new();
        for (service, crashes) in self.services.iter() {
            let row = |(cause, record): (&CauseId, &CauseRecord)| {
                let crashes = record.rows(now);
                let may_be_refused =
                    cause.is_request() && crashes.len() >= request::REFUSED_CRASHES;
                let is_told =
                    |row: &CrashRow| !row.cleared || row.round >= REPORTED_ROUNDS || may_be_refused;
                crashes.iter().any(is_told).then(|| CauseRow {
                    service: service.clone(),
                    cause: *cause,
                    contrast: record.has_contrast,
                    answers: record.answers,
                    crashes,
                })
            };
            causes.extend(crashes.causes.iter().filter_map(row));
        }
        CrashReport { causes }
    }

    /// Drops what is older than the retention time.
    pub fn expire(&mut self, now: MonoTime) {
        self.services.retain(|_, crashes| {
            crashes.causes.retain(|_, record| record.expire(now));
            !crashes.causes.is_empty()
        });
    }

    /// Returns what is known of a cause in requests to `service`.
    pub fn history(&self, service: &ServiceName, cause: CauseId) -> CauseHistory {
        let record = self.services.get(service).and_then(|crashes| crashes.causes.get(&cause));
        let answers = self.answers.get(cause);
        CauseHistory {
            crashes: record.map_or(0, |record| record.counting().len()),
            answers: record.map_or(answers, |record| record.answers.max(answers)),
            has_contrast: record.is_some_and(|record| record.has_contrast),
        }
    }

    /// Returns the groups of causes whose requests are refused.
    pub fn guilty(&self) -> Vec<GuiltyGroup> {
        let groups = |crashes: &ServiceCrashes| {
            let requests = crashes.refused_requests().map(|cause| vec![cause]);
            crashes.guilty.iter().cloned().chain(requests).collect::<Vec<GuiltyGroup>>()
        };
        self.services.values().flat_map(groups).collect()
    }
}

impl ServiceCrashes {
    /// Returns for how long the whole request among `causes` is refused.
    fn request_refusal(&self, now: MonoTime, causes: &[CauseId], jitter: u8) -> Option<Duration> {
        let requests = causes.iter().filter(|cause| cause.is_request());
        let records = requests.filter_map(|cause| self.causes.get(cause));
        records.filter_map(|record| request::refusal(now, record, jitter)).max()
    }

    /// Returns for how long requests with `causes` are refused for a guilty group. If one guilty cause
    /// and no other suspect is among them, they are let through from time to time.
    fn group_refusal(&self, now: MonoTime, causes: &[CauseId], jitter: u8) -> Option<Duration> {
        let is_refused = |group: &&GuiltyGroup| group.iter().all(|cause| causes.contains(cause));
        let mut groups = self.guilty.iter().filter(is_refused);
        let group = groups.next()?;
        let records = group.iter().filter_map(|cause| self.causes.get(cause));
        let until = records.map(CauseRecord::expires_at).max()?;
        if now >= until {
            return None;
        }
        if let [cause] = group[..]
            && groups.next().is_none()
            && !self.has_other_suspect(cause, causes)
            && self.causes.get(&cause).is_some_and(|record| record.is_trial_due(now, jitter))
        {
            return None;
        }
        Some(until.since(now))
    }

    fn refused_requests(&self) -> impl Iterator<Item = CauseId> {
        let requests = self.causes.iter().filter(|(cause, _)| cause.is_request());
        requests.filter(|(_, record)| request::is_refused(record)).map(|(cause, _)| *cause)
    }

    /// Returns whether one of `causes` other than `cause` has been in flight at several crashes.
    fn has_other_suspect(&self, cause: CauseId, causes: &[CauseId]) -> bool {
        let rounds = |other| self.causes.get(other).map_or(0, CauseRecord::rounds);
        causes.iter().any(|other| *other != cause && rounds(other) >= REPORTED_ROUNDS)
    }

    /// Finds the guilty causes again after a change, and evicts the oldest causes if there are too many.
    fn update(&mut self) {
        while self.causes.len() > MAX_SUSPECTS {
            let oldest = self.causes.iter().min_by_key(|(_, record)| record.last_crash());
            let oldest = oldest.map(|(cause, _)| *cause);
            oldest.map(|cause| self.causes.remove(&cause));
        }
        self.guilty = guilty_groups(&self.causes);
        // Whole requests are judged by themselves; here they only explain crashes.
        self.guilty.retain(|group| !group.iter().all(|cause| cause.is_request()));
    }
}
