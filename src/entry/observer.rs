//! Measures one caller's request.

use crate::metrics::EntryMetrics;
use buckthornwharf_core::prelude::*;
use std::rc::Rc;

/// Feeds the metrics with what happens to one request.
pub struct RequestObserver {
    metrics: Rc<EntryMetrics>,
    service: ServiceName,
    organisation: OrganisationName,
    started: MonoTime,
    last_body: Option<MonoTime>,
}

impl RequestObserver {
    /// An observer of a request that starts now.
    pub fn start(
        metrics: Rc<EntryMetrics>,
        now: MonoTime,
        service: ServiceName,
        organisation: OrganisationName,
    ) -> Self {
        metrics.in_flight.inc();
        Self { metrics, service, organisation, started: now, last_body: None }
    }

    /// Another attempt starts.
    pub fn on_retry(&self) {
        self.metrics.retries.inc();
    }

    /// Bytes of the body are passed on.
    pub fn on_body(&mut self, now: MonoTime) {
        let service = &[self.service.as_str()];
        match self.last_body.replace(now) {
            None => {
                let seconds = now.since(self.started).as_secs_f64();
                self.metrics.first_token.with_label_values(service).observe(seconds);
            }
            Some(last) => {
                let seconds = now.since(last).as_secs_f64();
                self.metrics.between_tokens.with_label_values(service).observe(seconds);
            }
        }
    }

    /// The request ended.
    pub fn on_finish(&self, _now: MonoTime, code: ResultCode) {
        self.metrics.in_flight.dec();
        let code: &'static str = code.into();
        let labels = &[self.service.as_str(), self.organisation.as_str(), code];
        self.metrics.requests.with_label_values(labels).inc();
    }
}
