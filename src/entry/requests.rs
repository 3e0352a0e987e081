//! The requests of an entry's callers: drives each through its attempts.

use super::caller::{CallerEvent, CallerRequest};
use super::late_cancels::LateCancels;
use super::observer::RequestObserver;
use super::submission::{admission_of, submit_frame};
use crate::clock;
use crate::link::LinkHandle;
use buckthornwharf_core::config::{ConfigDocument, TargetKind};
use buckthornwharf_core::frame::{LinkFrame, SuspectFrame, TargetState};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::admission::{AdmissionController, OrganisationLimit};
use buckthornwharf_core::request::attempt::{DriverAction, DriverEvent, TargetChoice};
use buckthornwharf_core::request::budget::RetryTokenBucket;
use buckthornwharf_core::request::poison::{SuspectTable, SuspectVerdict};
use buckthornwharf_core::request::{LinkId, RequestDriver};
use buckthornwharf_core::routing::{PickAffinity, PickRequest, PickedTarget, TargetPicker};
use std::collections::VecDeque;
use tokio::sync::mpsc;

/// A caller's request in work.
struct RequestSlot {
    driver: RequestDriver,
    caller: CallerRequest,
    affinity: PickAffinity,
    events: mpsc::UnboundedSender<CallerEvent>,
    attempt: Option<AttemptMark>,
    parts: u32,
    observer: RequestObserver,
}

/// What is noted of the current attempt for the picker.
struct AttemptMark {
    host: HostName,
    sent: MonoTime,
    end_code: Option<ResultCode>,
}

/// All requests of one entry that have not ended, and the links that carry them.
pub struct RequestTable {
    site: SiteName,
    slots: SortedTable<RequestId, RequestSlot>,
    links: SortedTable<LinkId, LinkHandle>,
    link_by_host: SortedTable<HostName, LinkId>,
    picker: TargetPicker,
    budget: RetryTokenBucket,
    limits: AdmissionController,
    suspects: SuspectTable,
    listed_leaving: Vec<HostName>,
    late_cancels: LateCancels,
    pending: VecDeque<(RequestId, DriverAction)>,
}

impl RequestTable {
    /// A table without requests, of an entry in `site`.
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            slots: SortedTable::new(),
            links: SortedTable::new(),
            link_by_host: SortedTable::new(),
            picker: TargetPicker::default(),
            budget: RetryTokenBucket::new(),
            limits: AdmissionController::new(),
            suspects: SuspectTable::new(),
            listed_leaving: Vec::new(),
            late_cancels: LateCancels::default(),
            pending: VecDeque::new(),
        }
    }

    /// Tells the regions of the sites, from the configuration.
    pub fn set_regions(&mut self, regions: SortedTable<SiteName, RegionName>) {
        self.picker.set_regions(regions);
    }

    /// Requests that have not ended.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether every request has ended.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether a request in work depends on the link to `host`.
    pub fn needs_host(&self, host: &HostName) -> bool {
        self.slots.values().any(|slot| slot.driver.host() == Some(host))
    }

    /// Tells the limits of the organisations, from the configuration.
    pub fn set_organisations(&mut self, document: &ConfigDocument) {
        let now = clock::now();
        for (name, organisation) in document.organisations.iter() {
            let limit = OrganisationLimit {
                max_in_flight: organisation.max_in_flight,
                tokens_per_second: organisation.tokens_per_second,
            };
            self.limits.set_limit(now, name.clone(), limit);
        }
        self.limits.retain(|name| document.organisations.contains_key(name));
    }

    /// Tells what the platform's list says: how many entries are live and which hosts leave.
    pub fn set_listed(&mut self, live_entries: u32, listed_leaving: Vec<HostName>) {
        self.limits.set_live_entries(live_entries);
        self.listed_leaving = listed_leaving;
    }

    /// Starts a request; its answer comes through `events`.
    ///
    /// # Errors
    ///
    /// The code that the request is refused with at once: it is over a limit, or it crashed targets.
    pub fn submit(
        &mut self,
        id: RequestId,
        caller: CallerRequest,
        events: mpsc::UnboundedSender<CallerEvent>,
        observer: RequestObserver,
    ) -> Result<(), ResultCode> {
        let now = clock::now();
        let verdict = self.suspects.verdict(now, caller.prompt.fingerprint);
        if verdict == SuspectVerdict::Poisonous {
            return Err(ResultCode::Poisonous);
        }
        self.limits.admit(now, &admission_of(&caller))?;
        let affinity = caller.prompt.affinity;
        let mut frame = submit_frame(id, &caller);
        frame.suspect = verdict == SuspectVerdict::Suspect;
        let (driver, actions) = RequestDriver::start(now, frame, &mut self.budget);
        let slot =
            RequestSlot { driver, caller, affinity, events, attempt: None, parts: 0, observer };
        self.slots.insert(id, slot);
        self.queue_actions(id, actions);
        self.carry_out();
        Ok(())
    }

    /// A peer told of requests that were in flight at crashes; what is new is passed on.
    pub fn suspect_frame(&mut self, frame: &SuspectFrame) {
        if let Some(news) = self.suspects.merge(clock::now(), frame) {
            self.broadcast(&LinkFrame::Suspects(news));
        }
    }

    /// The caller of a request closed its connection.
    pub fn caller_gone(&mut self, id: RequestId) {
        self.drive(id, DriverEvent::CallerGone);
        self.carry_out();
    }

    /// A link opened.
    pub fn link_up(&mut self, handle: LinkHandle) {
        let host = handle.peer.host.clone();
        self.late_cancels.send(&handle);
        if let Some(suspects) = self.suspects.snapshot(clock::now()) {
            handle.send(LinkFrame::Suspects(suspects));
        }
        let choice = TargetChoice {
            host: host.clone(),
            incarnation: handle.peer.incarnation,
            link: handle.id,
            digest: None,
        };
        self.link_by_host.insert(host.clone(), handle.id);
        self.links.insert(handle.id, handle);
        for id in self.ids_where(|slot| slot.driver.host() == Some(&host)) {
            self.drive(id, DriverEvent::LinkReopened(choice.clone()));
        }
        self.carry_out();
    }

    /// A link is down.
    pub fn link_down(&mut self, link: LinkId) {
        let Some(handle) = self.links.remove(&link) else { return };
        let host = &handle.peer.host;
        if self.link_by_host.get(host) == Some(&link) {
            self.link_by_host.remove(host);
            self.picker.on_link_lost(clock::now(), host);
        }
        for id in self.ids_where(|slot| slot.driver.link() == Some(link)) {
            self.drive(id, DriverEvent::LinkLost(link));
        }
        self.carry_out();
    }

    /// An agent reported the state of its target.
    pub fn target_state(&mut self, link: LinkId, state: &TargetState) {
        let Some(handle) = self.links.get(&link) else { return };
        let peer = &handle.peer;
        self.picker.on_state(clock::now(), &peer.host, &peer.site, state);
    }

    /// A frame about request `id` came on `link`.
    pub fn request_frame(&mut self, link: LinkId, id: RequestId, frame: LinkFrame) {
        if let LinkFrame::End(end) = &frame
            && let Some(slot) = self.slots.get_mut(&id)
            && let Some(mark) = &mut slot.attempt
        {
            mark.end_code = Some(end.code);
        }
        self.drive(id, DriverEvent::Frame { link, frame });
        self.carry_out();
    }

    /// A host is gone for good: its run ended or its place was given up.
    pub fn host_gone(&mut self, host: &HostName) {
        for id in self.ids_where(|slot| slot.driver.host() == Some(host)) {
            self.drive(id, DriverEvent::HostGone(host.clone()));
        }
        self.carry_out();
    }

    /// Lets time pass for all requests.
    pub fn tick(&mut self) {
        let now = clock::now();
        self.suspects.expire(now);
        self.late_cancels.expire(now);
        let is_due = |slot: &RequestSlot| slot.driver.next_tick().is_some_and(|tick| tick <= now);
        for id in self.ids_where(is_due) {
            self.drive(id, DriverEvent::Tick);
        }
        self.carry_out();
    }

    /// An open link.
    pub fn link(&self, link: LinkId) -> Option<&LinkHandle> {
        self.links.get(&link)
    }

    /// Links that are open.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Sends a frame on every open link.
    pub fn broadcast(&self, frame: &LinkFrame) {
        self.links.values().for_each(|handle| handle.send(frame.clone()));
    }

    fn ids_where(&self, condition: impl Fn(&RequestSlot) -> bool) -> Vec<RequestId> {
        let matching = self.slots.iter().filter(|(_, slot)| condition(slot));
        matching.map(|(id, _)| *id).collect()
    }

    fn drive(&mut self, id: RequestId, event: DriverEvent) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let actions = slot.driver.on_event(clock::now(), event, &mut self.budget);
        self.queue_actions(id, actions);
    }

    fn queue_actions(&mut self, id: RequestId, actions: Vec<DriverAction>) {
        self.pending.extend(actions.into_iter().map(|action| (id, action)));
    }

    fn carry_out(&mut self) {
        while let Some((id, action)) = self.pending.pop_front() {
            match action {
                DriverAction::Pick { avoid } => self.pick(id, &avoid),
                DriverAction::Send { link, frame } => self.send(id, link, frame),
                DriverAction::CancelLater { host, incarnation } => {
                    self.late_cancels.note(clock::now(), id, host, incarnation);
                }
                DriverAction::ForwardHead { status, content_type } => {
                    self.forward_head(id, status, content_type);
                }
                DriverAction::ForwardBody(bytes) => {
                    let Some(slot) = self.slots.get_mut(&id) else { continue };
                    slot.observer.on_body(clock::now());
                    slot.parts += 1;
                    let _ = slot.events.send(CallerEvent::Body(bytes));
                }
                DriverAction::Finish(code) => self.finish(id, code),
            }
        }
    }

    fn pick(&mut self, id: RequestId, avoid: &[HostName]) {
        let now = clock::now();
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let was_full =
            slot.attempt.as_ref().is_some_and(|mark| mark.end_code == Some(ResultCode::Overloaded));
        end_attempt(&mut self.picker, slot, now, ResultCode::LinkLost);
        if !avoid.is_empty() {
            slot.observer.on_retry();
        }
        let verdict = self.suspects.verdict(now, slot.caller.prompt.fingerprint);
        if verdict == SuspectVerdict::Poisonous {
            return self.drive(id, DriverEvent::NoTarget(ResultCode::Poisonous));
        }
        let avoid = [avoid, &self.listed_leaving].concat();
        let request = PickRequest {
            service: &slot.caller.service,
            site: &self.site,
            affinity: slot.affinity,
            needs_digest: slot.caller.kind == TargetKind::Engine,
            avoid: &avoid,
        };
        // After a refusal for want of room only a host where nothing waits is worth a retry.
        let (picked, refusal) = if was_full {
            let picked = self.picker.pick_uncongested(now, &request, &mut rand::rng());
            (picked, ResultCode::Overloaded)
        } else {
            (self.picker.pick(now, &request, &mut rand::rng()), ResultCode::NotServing)
        };
        let event = match picked.and_then(|picked| self.choice_of(picked)) {
            Some(choice) => DriverEvent::TargetChosen(choice),
            None => DriverEvent::NoTarget(refusal),
        };
        self.drive(id, event);
    }

    fn choice_of(&self, picked: PickedTarget) -> Option<TargetChoice> {
        let link = *self.link_by_host.get(&picked.host)?;
        let handle = self.links.get(&link)?;
        let incarnation = handle.peer.incarnation;
        Some(TargetChoice { host: picked.host, incarnation, link, digest: picked.digest })
    }

    fn send(&mut self, id: RequestId, link: LinkId, frame: LinkFrame) {
        let Some(handle) = self.links.get(&link) else { return };
        if matches!(frame, LinkFrame::Submit(_))
            && let Some(slot) = self.slots.get_mut(&id)
        {
            let now = clock::now();
            let host = handle.peer.host.clone();
            self.picker.on_attempt_start(now, &host);
            slot.attempt = Some(AttemptMark { host, sent: now, end_code: None });
        }
        handle.send(frame);
    }

    fn forward_head(&mut self, id: RequestId, status: u16, content_type: Arc<str>) {
        let Some(slot) = self.slots.get(&id) else { return };
        let digest = slot.driver.digest();
        let _ = slot.events.send(CallerEvent::Head { status, content_type, digest });
    }

    fn finish(&mut self, id: RequestId, code: ResultCode) {
        let Some(mut slot) = self.slots.remove(&id) else { return };
        let now = clock::now();
        end_attempt(&mut self.picker, &mut slot, now, code);
        slot.observer.on_finish(now, code);
        let estimated = slot.caller.prompt.cost_tokens;
        let used = if slot.parts > 1 { slot.parts } else { estimated };
        self.limits.release(&slot.caller.organisation, estimated, used);
        let organisation = &slot.caller.organisation;
        log::debug!("request={id} organisation={organisation} code={} ended", code.number());
        let _ = slot.events.send(CallerEvent::End(code));
    }
}

/// Tells the picker how the current attempt ended, once.
fn end_attempt(picker: &mut TargetPicker, slot: &mut RequestSlot, now: MonoTime, code: ResultCode) {
    let Some(mark) = slot.attempt.take() else { return };
    let code = mark.end_code.unwrap_or(code);
    picker.on_attempt_end(now, &mark.host, code, now.since(mark.sent));
}
