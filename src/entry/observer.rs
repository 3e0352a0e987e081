//! Measures callers' requests: metrics and error budgets.

use crate::clock;
use crate::metrics::EntryMetrics;
use buckthornwharf_core::burn::{BurnCounts, BurnRecorder, BurnSample};
use buckthornwharf_core::config::{ConfigDocument, PriorityClass};
use buckthornwharf_core::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Label of a request whose service or priority class is unknown.
const UNKNOWN_LABEL: &str = "unknown";

/// Records the results of an entry's requests in metrics and error budgets.
pub struct RequestRecorder {
    site: SiteName,
    metrics: EntryMetrics,
    burn_recorder: RefCell<BurnRecorder>,
    serving_sites: RefCell<SortedTable<RequestId, SiteName>>,
}

/// The labels of a request.
#[derive(Debug, Clone)]
pub struct RequestSubject {
    /// The request.
    pub id: RequestId,
    /// Its service.
    pub service: ServiceName,
    /// The organisation that sent it.
    pub organisation: OrganisationName,
    /// The priority class of the organisation.
    pub class: PriorityClass,
}

/// Measures one request, which counts as in flight until the observer is dropped.
pub struct RequestObserver {
    recorder: Rc<RequestRecorder>,
    subject: RequestSubject,
    started: MonoTime,
    gap_limit: Option<Duration>,
    first_body: Option<MonoTime>,
    last_body: Option<MonoTime>,
    gaps_on_time: u32,
    gaps_late: u32,
}

impl RequestRecorder {
    /// A recorder for an entry in `site`, starting now.
    pub fn new(site: SiteName, metrics: EntryMetrics) -> Self {
        Self {
            site,
            metrics,
            burn_recorder: RefCell::new(BurnRecorder::new(clock::now())),
            serving_sites: RefCell::new(SortedTable::new()),
        }
    }

    /// Sets the objectives, from the configuration.
    pub fn set_objectives(&self, document: &ConfigDocument) {
        self.burn_recorder.borrow_mut().set_objectives(document.objectives.clone());
    }

    /// Counts of the error budgets so far.
    pub fn burn_counts(&self) -> BurnCounts {
        self.burn_recorder.borrow_mut().counts(clock::now())
    }

    /// Records that an agent in `site` accepted the request; ignored if it has ended.
    pub fn on_served_by(&self, id: RequestId, site: &SiteName) {
        if let Some(serving) = self.serving_sites.borrow_mut().get_mut(&id) {
            *serving = site.clone();
        }
    }

    /// Counts a request that was refused before its organisation was known.
    pub fn on_refused(&self, service: Option<&ServiceName>, code: ResultCode) {
        let service = service.map_or(UNKNOWN_LABEL, ServiceName::as_str);
        self.count(service, UNKNOWN_LABEL, code);
    }

    /// Counts a request that was refused before the first attempt.
    pub fn on_not_submitted(&self, subject: &RequestSubject, code: ResultCode) {
        self.count(subject.service.as_str(), class_label(subject.class), code);
        let sample = BurnSample {
            service: &subject.service,
            organisation: &subject.organisation,
            site: &self.site,
            code,
            first_token: None,
            gaps_on_time: 0,
            gaps_late: 0,
        };
        self.burn_recorder.borrow_mut().record(clock::now(), &sample);
    }

    fn count(&self, service: &str, class: &str, code: ResultCode) {
        let code: &'static str = code.into();
        self.metrics.requests.with_label_values(&[service, class, code]).inc();
    }
}

impl RequestObserver {
    /// Starts to observe a request that starts now.
    pub fn start(recorder: Rc<RequestRecorder>, now: MonoTime, subject: RequestSubject) -> Self {
        recorder.metrics.in_flight.inc();
        let site = recorder.site.clone();
        recorder.serving_sites.borrow_mut().insert(subject.id, site);
        let gap_limit = recorder.burn_recorder.borrow().gap_limit(&subject.service);
        Self {
            recorder,
            subject,
            started: now,
            gap_limit,
            first_body: None,
            last_body: None,
            gaps_on_time: 0,
            gaps_late: 0,
        }
    }

    /// Counts a retry.
    pub fn on_retry(&self) {
        self.recorder.metrics.retries.inc();
    }

    /// Records that bytes of the body are forwarded to the caller.
    pub fn on_body(&mut self, now: MonoTime) {
        match self.last_body.replace(now) {
            None => self.on_first_body(now),
            Some(last) => self.on_gap(now.since(last)),
        }
    }

    /// Records the result of the request.
    pub fn on_finish(&self, now: MonoTime, code: ResultCode) {
        let subject = &self.subject;
        self.recorder.count(subject.service.as_str(), class_label(subject.class), code);
        let sites = self.recorder.serving_sites.borrow();
        let sample = BurnSample {
            service: &subject.service,
            organisation: &subject.organisation,
            site: sites.get(&subject.id).unwrap_or(&self.recorder.site),
            code,
            first_token: self.first_body.map(|first| first.since(self.started)),
            gaps_on_time: self.gaps_on_time,
            gaps_late: self.gaps_late,
        };
        self.recorder.burn_recorder.borrow_mut().record(now, &sample);
    }

    fn on_first_body(&mut self, now: MonoTime) {
        self.first_body = Some(now);
        let seconds = now.since(self.started).as_secs_f64();
        let histogram = &self.recorder.metrics.first_token;
        histogram.with_label_values(&[self.subject.service.as_str()]).observe(seconds);
    }

    fn on_gap(&mut self, gap: Duration) {
        let histogram = &self.recorder.metrics.between_tokens;
        histogram.with_label_values(&[self.subject.service.as_str()]).observe(gap.as_secs_f64());
        if self.gap_limit.is_some_and(|limit| gap > limit) {
            self.gaps_late += 1;
        } else {
            self.gaps_on_time += 1;
        }
    }
}

impl Drop for RequestObserver {
    fn drop(&mut self) {
        self.recorder.metrics.in_flight.dec();
        self.recorder.serving_sites.borrow_mut().remove(&self.subject.id);
    }
}

fn class_label(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Low => "low",
        PriorityClass::Normal => "normal",
        PriorityClass::High => "high",
    }
}
