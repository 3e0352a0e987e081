//! Requests of an entry's callers: runs the state machine of each and carries out its actions.

use super::answer_channel::AnswerSender;
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

/// A request that has not ended.
struct InFlightRequest {
    driver: RequestDriver,
    caller: CallerRequest,
    affinity: PickAffinity,
    events: AnswerSender,
    attempt: Option<CurrentAttempt>,
    /// Body frames forwarded; if more than one, taken as the number of tokens used.
    body_frames: u32,
    observer: RequestObserver,
}

/// The current attempt, whose result is reported to the picker.
struct CurrentAttempt {
    host: HostName,
    sent_at: MonoTime,
    /// Code of the end frame, if one was received.
    end_code: Option<ResultCode>,
}

/// The requests of an entry that have not ended, and the open links.
pub struct RequestTable {
    site: SiteName,
    requests: SortedTable<RequestId, InFlightRequest>,
    links: SortedTable<LinkId, LinkHandle>,
    link_by_host: SortedTable<HostName, LinkId>,
    picker: TargetPicker,
    budget: RetryTokenBucket,
    admission: AdmissionController,
    suspects: SuspectTable,
    leaving_hosts: Vec<HostName>,
    late_cancels: LateCancels,
    pending: VecDeque<(RequestId, DriverAction)>,
}

impl RequestTable {
    /// An empty table for an entry in `site`.
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            requests: SortedTable::new(),
            links: SortedTable::new(),
            link_by_host: SortedTable::new(),
            picker: TargetPicker::default(),
            budget: RetryTokenBucket::new(),
            admission: AdmissionController::new(),
            suspects: SuspectTable::new(),
            leaving_hosts: Vec::new(),
            late_cancels: LateCancels::default(),
            pending: VecDeque::new(),
        }
    }

    /// Sets the region of each site, from the configuration.
    pub fn set_regions(&mut self, regions: SortedTable<SiteName, RegionName>) {
        self.picker.set_regions(regions);
    }

    /// Number of requests that have not ended.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether every request has ended.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request depends on the link to `host`.
    pub fn needs_host(&self, host: &HostName) -> bool {
        self.requests.values().any(|request| request.driver.host() == Some(host))
    }

    /// Sets the limits of the organisations, from the configuration.
    pub fn set_organisations(&mut self, document: &ConfigDocument) {
        let now = clock::now();
        for (name, organisation) in document.organisations.iter() {
            let limit = OrganisationLimit {
                max_in_flight: organisation.max_in_flight,
                tokens_per_second: organisation.tokens_per_second,
            };
            self.admission.set_limit(now, name.clone(), limit);
        }
        self.admission.retain(|name| document.organisations.contains_key(name));
    }

    /// Sets the number of live entries and the hosts that are leaving, from the list of hosts.
    pub fn set_membership(&mut self, live_entries: u32, leaving_hosts: Vec<HostName>) {
        self.admission.set_live_entries(live_entries);
        self.leaving_hosts = leaving_hosts;
    }

    /// Starts a request; its answer is sent to `events`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Poisonous`] if such requests have crashed targets, or the code of
    /// [`AdmissionController::admit`].
    pub fn submit(
        &mut self,
        id: RequestId,
        caller: CallerRequest,
        events: AnswerSender,
        observer: RequestObserver,
    ) -> Result<(), ResultCode> {
        let now = clock::now();
        let verdict = self.suspects.verdict(now, caller.prompt.fingerprint);
        if verdict == SuspectVerdict::Poisonous {
            return Err(ResultCode::Poisonous);
        }
        self.admission.admit(now, &admission_of(&caller))?;
        let affinity = caller.prompt.affinity;
        let mut frame = submit_frame(id, &caller);
        frame.suspect = verdict == SuspectVerdict::Suspect;
        let (driver, actions) = RequestDriver::start(now, frame, &mut self.budget);
        let request = InFlightRequest {
            driver,
            caller,
            affinity,
            events,
            attempt: None,
            body_frames: 0,
            observer,
        };
        self.requests.insert(id, request);
        self.queue_actions(id, actions);
        self.carry_out();
        Ok(())
    }

    /// Merges fingerprints of requests that were in flight at crashes, as reported by a peer, and
    /// forwards new ones to all peers.
    pub fn on_suspect_frame(&mut self, frame: &SuspectFrame) {
        if let Some(new_suspects) = self.suspects.merge(clock::now(), frame) {
            self.broadcast(&LinkFrame::Suspects(new_suspects));
        }
    }

    /// Handles that the caller of a request closed its connection.
    pub fn on_caller_gone(&mut self, id: RequestId) {
        self.drive(id, DriverEvent::CallerGone);
        self.carry_out();
    }

    /// Handles an opened link: sends it the cancellations kept for its host and the known suspects,
    /// and resumes the requests at its host.
    pub fn on_link_up(&mut self, handle: LinkHandle) {
        let host = handle.peer.host.clone();
        self.late_cancels.send_to(&handle);
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
        for id in self.ids_where(|request| request.driver.host() == Some(&host)) {
            self.drive(id, DriverEvent::LinkReopened(choice.clone()));
        }
        self.carry_out();
    }

    /// Handles a lost link.
    pub fn on_link_down(&mut self, link: LinkId) {
        let Some(handle) = self.links.remove(&link) else { return };
        let host = &handle.peer.host;
        if self.link_by_host.get(host) == Some(&link) {
            self.link_by_host.remove(host);
            self.picker.on_link_lost(clock::now(), host);
        }
        for id in self.ids_where(|request| request.driver.link() == Some(link)) {
            self.drive(id, DriverEvent::LinkLost(link));
        }
        self.carry_out();
    }

    /// Passes the state that an agent reports of its target to the picker.
    pub fn on_target_state(&mut self, link: LinkId, state: &TargetState) {
        let Some(handle) = self.links.get(&link) else { return };
        let peer = &handle.peer;
        self.picker.on_state(clock::now(), &peer.host, &peer.site, state);
    }

    /// Handles a frame about request `id`, received on `link`.
    pub fn on_request_frame(&mut self, link: LinkId, id: RequestId, frame: LinkFrame) {
        if let LinkFrame::End(end) = &frame
            && let Some(request) = self.requests.get_mut(&id)
            && let Some(attempt) = &mut request.attempt
        {
            attempt.end_code = Some(end.code);
        }
        self.drive(id, DriverEvent::Frame { link, frame });
        self.carry_out();
    }

    /// Handles that a host has gone permanently: its incarnation ended, or it was removed
    /// from the list of hosts.
    pub fn on_host_gone(&mut self, host: &HostName) {
        for id in self.ids_where(|request| request.driver.host() == Some(host)) {
            self.drive(id, DriverEvent::HostGone(host.clone()));
        }
        self.carry_out();
    }

    /// Expires old records and runs the timers of requests that are due.
    pub fn tick(&mut self) {
        let now = clock::now();
        self.suspects.expire(now);
        self.late_cancels.expire(now);
        let is_due =
            |request: &InFlightRequest| request.driver.next_tick().is_some_and(|tick| tick <= now);
        for id in self.ids_where(is_due) {
            self.drive(id, DriverEvent::Tick);
        }
        self.carry_out();
    }

    /// The handle of `link`, if it is open.
    pub fn link(&self, link: LinkId) -> Option<&LinkHandle> {
        self.links.get(&link)
    }

    /// Number of open links.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Sends a frame on every open link.
    pub fn broadcast(&self, frame: &LinkFrame) {
        self.links.values().for_each(|handle| handle.send(frame.clone()));
    }

    fn ids_where(&self, condition: impl Fn(&InFlightRequest) -> bool) -> Vec<RequestId> {
        let matching = self.requests.iter().filter(|(_, request)| condition(request));
        matching.map(|(id, _)| *id).collect()
    }

    fn drive(&mut self, id: RequestId, event: DriverEvent) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let actions = request.driver.on_event(clock::now(), event, &mut self.budget);
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
                    self.late_cancels.record(clock::now(), id, host, incarnation);
                }
                DriverAction::ForwardHead { status, content_type } => {
                    self.forward_head(id, status, content_type);
                }
                DriverAction::ForwardBody(bytes) => {
                    let Some(request) = self.requests.get_mut(&id) else { continue };
                    request.observer.on_body(clock::now());
                    request.body_frames += 1;
                    if let Err(error) = request.events.send(CallerEvent::Body(bytes)) {
                        log::warn!("request={id} is cancelled: {error}");
                        self.drive(id, DriverEvent::CallerGone);
                    }
                }
                DriverAction::Finish(code) => self.finish(id, code),
            }
        }
    }

    fn pick(&mut self, id: RequestId, avoid: &[HostName]) {
        let now = clock::now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_overloaded = request
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.end_code == Some(ResultCode::Overloaded));
        end_attempt(&mut self.picker, request, now, ResultCode::LinkLost);
        if !avoid.is_empty() {
            request.observer.on_retry();
        }
        let verdict = self.suspects.verdict(now, request.caller.prompt.fingerprint);
        if verdict == SuspectVerdict::Poisonous {
            return self.drive(id, DriverEvent::NoTarget(ResultCode::Poisonous));
        }
        let avoid = [avoid, &self.leaving_hosts].concat();
        let pick_request = PickRequest {
            service: &request.caller.service,
            site: &self.site,
            affinity: request.affinity,
            needs_digest: request.caller.kind == TargetKind::Engine,
            avoid: &avoid,
        };
        // After a refusal for overload, only a host where no requests wait is worth a retry.
        let (picked, refusal_code) = if was_overloaded {
            let picked = self.picker.pick_uncongested(now, &pick_request, &mut rand::rng());
            (picked, ResultCode::Overloaded)
        } else {
            (self.picker.pick(now, &pick_request, &mut rand::rng()), ResultCode::NotServing)
        };
        let event = match picked.and_then(|picked| self.choice_of(picked)) {
            Some(choice) => DriverEvent::TargetChosen(choice),
            None => DriverEvent::NoTarget(refusal_code),
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
            && let Some(request) = self.requests.get_mut(&id)
        {
            let now = clock::now();
            let host = handle.peer.host.clone();
            self.picker.on_attempt_start(now, &host);
            request.attempt = Some(CurrentAttempt { host, sent_at: now, end_code: None });
        }
        handle.send(frame);
    }

    fn forward_head(&mut self, id: RequestId, status: u16, content_type: Arc<str>) {
        let Some(request) = self.requests.get(&id) else { return };
        let digest = request.driver.digest();
        let _ = request.events.send(CallerEvent::Head { status, content_type, digest });
    }

    fn finish(&mut self, id: RequestId, code: ResultCode) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let now = clock::now();
        end_attempt(&mut self.picker, &mut request, now, code);
        request.observer.on_finish(now, code);
        let estimated = request.caller.prompt.cost_tokens;
        let used = if request.body_frames > 1 { request.body_frames } else { estimated };
        self.admission.release(&request.caller.organisation, estimated, used);
        let organisation = &request.caller.organisation;
        log::debug!("request={id} organisation={organisation} code={} ended", code.number());
        let _ = request.events.send(CallerEvent::End(code));
    }
}

/// Reports the result of the current attempt to the picker, once.
fn end_attempt(
    picker: &mut TargetPicker,
    request: &mut InFlightRequest,
    now: MonoTime,
    code: ResultCode,
) {
    let Some(attempt) = request.attempt.take() else { return };
    let code = attempt.end_code.unwrap_or(code);
    picker.on_attempt_end(now, &attempt.host, code, now.since(attempt.sent_at));
}
