//! Naive state machines with the interface of the real ones. The differential test shows that they
//! violate the invariants.

use buckthornwharf_core::frame::{BodyFrame, EndFrame, HeadFrame};
use buckthornwharf_core::frame::{LinkFrame, SubmitFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::attempt::{DriverAction, DriverEvent, TargetChoice};
use buckthornwharf_core::request::budget::RetryTokenBucket;
use buckthornwharf_core::request::ledger::{LedgerAction, LedgerEvent};
use buckthornwharf_core::request::{LinkId, RequestDriver, RequestLedger};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineKind {
    Real,
    Naive,
}

pub enum AnyDriver {
    Real(RequestDriver),
    Naive(NaiveDriver),
}

pub enum AnyLedger {
    Real(Box<RequestLedger>),
    Naive(NaiveLedger),
}

impl AnyDriver {
    pub fn start(
        kind: MachineKind,
        now: MonoTime,
        submit: SubmitFrame,
        budget: &mut RetryTokenBucket,
    ) -> (Self, Vec<DriverAction>) {
        match kind {
            MachineKind::Real => {
                let (driver, actions) = RequestDriver::start(now, submit, budget);
                (Self::Real(driver), actions)
            }
            MachineKind::Naive => {
                let deadline = now + Duration::from_millis(submit.deadline_ms);
                let driver = NaiveDriver { submit, deadline, choice: None, is_ended: false };
                (Self::Naive(driver), vec![DriverAction::Pick { avoid: Vec::new() }])
            }
        }
    }

    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: DriverEvent,
        budget: &mut RetryTokenBucket,
    ) -> Vec<DriverAction> {
        match self {
            Self::Real(driver) => driver.on_event(now, event, budget),
            Self::Naive(driver) => driver.on_event(now, event),
        }
    }

    pub fn next_tick(&self) -> Option<MonoTime> {
        match self {
            Self::Real(driver) => driver.next_tick(),
            Self::Naive(driver) => (!driver.is_ended).then_some(driver.deadline),
        }
    }

    pub fn link(&self) -> Option<LinkId> {
        match self {
            Self::Real(driver) => driver.link(),
            Self::Naive(driver) => driver.choice.as_ref().map(|choice| choice.link),
        }
    }
}

impl AnyLedger {
    pub fn new(kind: MachineKind) -> Self {
        match kind {
            MachineKind::Real => Self::Real(Box::default()),
            MachineKind::Naive => Self::Naive(NaiveLedger::default()),
        }
    }

    pub fn on_event(&mut self, now: MonoTime, event: LedgerEvent) -> Vec<LedgerAction> {
        match self {
            Self::Real(ledger) => ledger.on_event(now, event),
            Self::Naive(ledger) => ledger.on_event(event),
        }
    }

    pub fn allows_dispatch(&self) -> bool {
        match self {
            Self::Real(ledger) => ledger.allows_dispatch(),
            Self::Naive(_) => true,
        }
    }
}

/// Sends the request again whenever a link is lost, accepts frames from any link, and returns "not run"
/// if there is no answer before the deadline.
pub struct NaiveDriver {
    submit: SubmitFrame,
    deadline: MonoTime,
    choice: Option<TargetChoice>,
    is_ended: bool,
}

impl NaiveDriver {
    fn on_event(&mut self, now: MonoTime, event: DriverEvent) -> Vec<DriverAction> {
        if self.is_ended {
            return Vec::new();
        }
        if now >= self.deadline {
            return self.finish(ResultCode::DeadlineBefore);
        }
        match event {
            DriverEvent::TargetChosen(choice) => {
                let frame = LinkFrame::Submit(self.submit.clone());
                let link = choice.link;
                self.choice = Some(choice);
                vec![DriverAction::Send { link, frame }]
            }
            DriverEvent::NoTarget(code) => self.finish(code),
            DriverEvent::Frame { frame, .. } => self.on_frame(frame),
            DriverEvent::LinkLost(link) if self.is_on(link) => {
                vec![DriverAction::Pick { avoid: Vec::new() }]
            }
            DriverEvent::CallerGone => self.finish(ResultCode::Cancelled),
            _ => Vec::new(),
        }
    }

    fn is_on(&self, link: LinkId) -> bool {
        self.choice.as_ref().is_some_and(|choice| choice.link == link)
    }

    fn on_frame(&mut self, frame: LinkFrame) -> Vec<DriverAction> {
        match frame {
            LinkFrame::Head(head) if head.id == self.submit.id => {
                let HeadFrame { status, content_type, .. } = head;
                vec![DriverAction::ForwardHead { status, content_type }]
            }
            LinkFrame::Body(body) if body.id == self.submit.id => {
                vec![DriverAction::ForwardBody(body.bytes)]
            }
            LinkFrame::End(end) if end.id == self.submit.id => self.finish(end.code),
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, code: ResultCode) -> Vec<DriverAction> {
        self.is_ended = true;
        vec![DriverAction::Finish(code)]
    }
}

/// Maps ids to links and runs every request that arrives.
#[derive(Default)]
pub struct NaiveLedger {
    requests: BTreeMap<RequestId, (LinkId, u64)>,
    waiting: Vec<Arc<SubmitFrame>>,
}

impl NaiveLedger {
    fn on_event(&mut self, event: LedgerEvent) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::Frame { link, frame: LinkFrame::Submit(submit) } => {
                self.requests.insert(submit.id, (link, 0));
                let submit = Arc::new(submit);
                let accepted = LinkFrame::Accepted(submit.id);
                self.waiting.push(Arc::clone(&submit));
                vec![LedgerAction::Send { link, frame: accepted }, LedgerAction::Enqueue(submit)]
            }
            LedgerEvent::Ready { id, .. } => {
                let Some(index) = self.waiting.iter().position(|submit| submit.id == id) else {
                    return Vec::new();
                };
                vec![LedgerAction::Dispatch(self.waiting.remove(index))]
            }
            LedgerEvent::TargetHead { id, status, content_type, digest } => {
                self.send(id, LinkFrame::Head(HeadFrame { id, status, content_type, digest }))
            }
            LedgerEvent::TargetBody { id, bytes } => {
                let Some((_, position)) = self.requests.get_mut(&id) else { return Vec::new() };
                let start = *position;
                *position += bytes.len() as u64;
                self.send(id, LinkFrame::Body(BodyFrame { id, position: start, bytes }))
            }
            LedgerEvent::TargetEnd { id, code } => {
                let Some((_, length)) = self.requests.get(&id).copied() else { return Vec::new() };
                self.send(id, LinkFrame::End(EndFrame { id, code, length }))
            }
            LedgerEvent::TargetCrashed => {
                let ids: Vec<RequestId> = self.requests.keys().copied().collect();
                let code = ResultCode::TargetFailed;
                let end = |id| LinkFrame::End(EndFrame { id, code, length: 0 });
                ids.into_iter().flat_map(|id| self.send(id, end(id))).collect()
            }
            _ => Vec::new(),
        }
    }

    fn send(&self, id: RequestId, frame: LinkFrame) -> Vec<LedgerAction> {
        let link = self.requests.get(&id).map(|(link, _)| *link);
        link.map(|link| LedgerAction::Send { link, frame }).into_iter().collect()
    }
}
