//! Claims idempotency keys in the platform's key-value service, so that a key is run at most once.

mod cursor;
mod record;
mod value;

use super::ledger::ClaimVerdict;
use crate::frame::SubmitFrame;
use crate::prelude::*;
use bytes::Bytes;
use cursor::{CursorStep, LogCall, LogCursor};
use record::{ClaimPhase, LocalClaim, WaitingClaim};

pub use value::{ClaimKey, ClaimValue};

/// Time within which a claim must be settled, including retries after lost answers.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum calls of the key-value service to acquire or to release a key.
pub const MAX_CLAIM_CALLS: u32 = 12;
/// Time that a settled claim is kept in memory; after that it is read from the key-value service.
pub const CLAIM_RETENTION: Duration = Duration::from_mins(10);
/// Maximum claims kept in memory.
pub const MAX_LOCAL_CLAIMS: usize = 16_384;

/// An event for the claims of an agent.
#[derive(Debug, Clone)]
pub enum ClaimEvent {
    /// The ledger needs the key of a request ([`LedgerAction::Claim`]).
    ///
    /// [`LedgerAction::Claim`]: super::ledger::LedgerAction::Claim
    Begin {
        /// The request; without a key its claim is won at once.
        submit: Arc<SubmitFrame>,
        /// A number drawn at random.
        nonce: u128,
    },
    /// The key was created with the value.
    Created(RequestId),
    /// The key exists already, possibly with the same value.
    Exists(RequestId),
    /// The reply to [`ClaimAction::Read`].
    Read {
        /// The request.
        id: RequestId,
        /// The value; `None` if the key is absent.
        value: Option<Bytes>,
    },
    /// A call failed and certainly wrote nothing.
    Failed(RequestId),
    /// The answer to a call was lost; the call may have taken effect, or may still do so.
    Indeterminate(RequestId),
    /// The request was not dispatched after its claim was won ([`LedgerAction::ReleaseClaim`]).
    ///
    /// [`LedgerAction::ReleaseClaim`]: super::ledger::LedgerAction::ReleaseClaim
    Released(RequestId),
    /// The periodic tick, due every [`LEDGER_TICK_INTERVAL`](super::ledger::LEDGER_TICK_INTERVAL).
    Tick,
}

/// An action that the agent must carry out for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Create the key with this value if it is absent, and reply with [`ClaimEvent::Created`],
    /// [`ClaimEvent::Exists`], [`ClaimEvent::Failed`] or [`ClaimEvent::Indeterminate`].
    Create {
        /// The request.
        id: RequestId,
        /// The key in the key-value service.
        key: ClaimKey,
        /// The value.
        value: Bytes,
    },
    /// Read the key, and reply with [`ClaimEvent::Read`], [`ClaimEvent::Failed`] or
    /// [`ClaimEvent::Indeterminate`].
    Read {
        /// The request.
        id: RequestId,
        /// The key in the key-value service.
        key: ClaimKey,
    },
    /// The claim is settled; pass the verdict to the ledger.
    Settled {
        /// The request.
        id: RequestId,
        /// The outcome of the claim.
        verdict: ClaimVerdict,
    },
}

/// The claims of one agent's process.
///
/// Each idempotency key of an organisation has a log in the key-value service, whose positions are
/// created if absent and never changed. A request is dispatched only if the claim that holds the key
/// has the nonce that this process drew for it, and this process assigns each key to one request
/// only. So at most one request with the key is dispatched in the fleet, even if answers are lost or
/// late. A claim whose request was not dispatched is released, so that the key can be used again.
#[derive(Debug)]
pub struct ClaimManager {
    host: HostName,
    claims: SortedTable<ClaimKey, Box<LocalClaim>>,
    /// The key that a request acquires, holds or releases.
    keys: SortedTable<RequestId, ClaimKey>,
    actions: Vec<ClaimAction>,
}

impl ClaimManager {
    /// No claims, for an agent's process on `host` that has just started.
    pub fn new(host: HostName) -> Self {
        Self { host, claims: SortedTable::new(), keys: SortedTable::new(), actions: Vec::new() }
    }

    /// Handles an event and returns the actions to carry out, in order. Each [`ClaimAction::Create`]
    /// and [`ClaimAction::Read`] needs exactly one reply.
    pub fn on_event(&mut self, now: MonoTime, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Begin { submit, nonce } => self.on_begin(now, &submit, nonce),
            ClaimEvent::Created(id) => self.on_reply(now, id, LogCursor::on_created),
            ClaimEvent::Exists(id) | ClaimEvent::Indeterminate(id) => {
                self.on_reply(now, id, LogCursor::on_unconfirmed);
            }
            ClaimEvent::Read { id, value } => {
                // A malformed value counts as a foreign claim, with a nonce that no process drew.
                let value =
                    value.map(|bytes| ClaimValue::decode(&bytes).unwrap_or_else(foreign_claim));
                self.on_reply(now, id, |cursor| cursor.on_value(value.as_ref()));
            }
            ClaimEvent::Failed(id) => self.on_failed(now, id),
            ClaimEvent::Released(id) => self.on_released(now, id),
            ClaimEvent::Tick => self.on_tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn on_begin(&mut self, now: MonoTime, submit: &SubmitFrame, nonce: u128) {
        let (id, fingerprint) = (submit.id, submit.fingerprint);
        let Some(key) = ClaimKey::of(submit) else { return self.settle(id, ClaimVerdict::Won) };
        let waiting = WaitingClaim { id, nonce, fingerprint, since: now };
        let Some(claim) = self.claims.get_mut(&key) else { return self.add(now, key, &waiting) };
        match claim.phase {
            ClaimPhase::Held(_) if claim.fingerprint != fingerprint => {
                self.settle(id, ClaimVerdict::Refused(ResultCode::AlreadyClaimed));
            }
            ClaimPhase::Held(first) => self.settle(id, ClaimVerdict::Join(first)),
            ClaimPhase::Acquiring(_) | ClaimPhase::Releasing(_) => claim.waiting.push(waiting),
            ClaimPhase::Free => {
                claim.restart(&waiting);
                self.continue_claim(now, &key);
            }
        }
    }

    fn add(&mut self, now: MonoTime, key: ClaimKey, first: &WaitingClaim) {
        self.evict_oldest(now);
        if self.claims.len() >= MAX_LOCAL_CLAIMS {
            return self.settle(first.id, ClaimVerdict::Refused(ResultCode::Overloaded));
        }
        self.claims.insert(key.clone(), Box::new(LocalClaim::new(first)));
        self.continue_claim(now, &key);
    }

    /// Evicts the oldest settled claims if there are too many; the key-value service still has them.
    fn evict_oldest(&mut self, now: MonoTime) {
        let mut age = CLAIM_RETENTION;
        while self.claims.len() >= MAX_LOCAL_CLAIMS && age > CLAIM_TIMEOUT {
            age /= 2;
            self.evict_older_than(now, age);
        }
    }

    fn evict_older_than(&mut self, now: MonoTime, age: Duration) {
        self.claims.retain(|_, claim| !claim.is_settled_for(now, age));
        let claims = &self.claims;
        self.keys.retain(|_, key| claims.contains_key(key));
    }

    /// Makes the next call for a claim, unless one is pending.
    fn continue_claim(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        if claim.cursor.is_call_pending() || claim.calling_request().is_none() {
            return;
        }
        let call = claim.cursor.next_call();
        self.start_call(now, key, call);
    }

    fn start_call(&mut self, now: MonoTime, key: &ClaimKey, call: LogCall) {
        let host = self.host.clone();
        let Some(claim) = self.claims.get_mut(key) else { return };
        let Some(id) = claim.calling_request() else { return };
        if !claim.take_call(now) {
            claim.cursor.on_failed();
            return self.abort(now, key, ResultCode::PlatformDown);
        }
        self.keys.insert(id, key.clone());
        let action = match call {
            LogCall::Read(position) => ClaimAction::Read { id, key: key.at_position(position) },
            LogCall::Create(position, is_release) => {
                let nonce = claim.cursor.nonce();
                let value = ClaimValue { nonce, is_release, id, host }.encode();
                ClaimAction::Create { id, key: key.at_position(position), value }
            }
        };
        self.actions.push(action);
    }

    fn on_reply(
        &mut self,
        now: MonoTime,
        id: RequestId,
        handle: impl FnOnce(&mut LogCursor) -> CursorStep,
    ) {
        let Some((key, claim)) = self.claim_of(id) else { return };
        match handle(&mut claim.cursor) {
            CursorStep::Call(call) => self.start_call(now, &key, call),
            CursorStep::Acquired => self.on_acquired(now, &key, id),
            CursorStep::HeldByOther => self.abort(now, &key, ResultCode::AlreadyClaimed),
            CursorStep::Released => self.on_key_free(now, &key),
        }
    }

    /// The claim for which a call in the name of request `id` is pending.
    fn claim_of(&mut self, id: RequestId) -> Option<(ClaimKey, &mut LocalClaim)> {
        let key = self.keys.get(&id)?.clone();
        let claim = self.claims.get_mut(&key)?.as_mut();
        let is_pending = claim.calling_request() == Some(id) && claim.cursor.is_call_pending();
        is_pending.then_some((key, claim))
    }

    /// This agent holds the key: the request is dispatched, and waiting requests with the same content
    /// join its answer.
    fn on_acquired(&mut self, now: MonoTime, key: &ClaimKey, id: RequestId) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.set_phase(now, ClaimPhase::Held(id));
        let fingerprint = claim.fingerprint;
        let waiting = std::mem::take(&mut claim.waiting);
        self.settle(id, ClaimVerdict::Won);
        for next in waiting {
            let verdict = if next.fingerprint == fingerprint {
                ClaimVerdict::Join(id)
            } else {
                ClaimVerdict::Refused(ResultCode::AlreadyClaimed)
            };
            self.settle(next.id, verdict);
        }
    }

    fn on_failed(&mut self, now: MonoTime, id: RequestId) {
        let Some((key, claim)) = self.claim_of(id) else { return };
        claim.cursor.on_failed();
        self.abort(now, &key, ResultCode::PlatformDown);
    }

    /// Aborts the acquisition of a key, and refuses the request and the waiting ones; none was
    /// dispatched. Has no effect on a release, which is retried after [`CLAIM_TIMEOUT`].
    fn abort(&mut self, now: MonoTime, key: &ClaimKey, code: ResultCode) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let ClaimPhase::Acquiring(id) = claim.phase else { return };
        claim.abandon(now, id);
        let waiting = std::mem::take(&mut claim.waiting);
        if claim.phase == ClaimPhase::Free {
            self.claims.remove(key);
            self.keys.remove(&id);
        }
        for refused_id in std::iter::once(id).chain(waiting.iter().map(|waiting| waiting.id)) {
            self.settle(refused_id, ClaimVerdict::Refused(code));
        }
    }

    fn on_released(&mut self, now: MonoTime, id: RequestId) {
        let Some(key) = self.keys.get(&id).cloned() else { return };
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if claim.phase == ClaimPhase::Held(id) {
            claim.abandon(now, id);
            self.continue_claim(now, &key);
        }
    }

    /// The claim does not hold the key and cannot come to hold it: the next waiting request may acquire
    /// it.
    fn on_key_free(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let released = claim.calling_request();
        claim.set_phase(now, ClaimPhase::Free);
        if !claim.waiting.is_empty() {
            let next = claim.waiting.remove(0);
            claim.restart(&next);
        }
        if let Some(id) = released {
            self.keys.remove(&id);
        }
        self.continue_claim(now, key);
    }

    fn on_tick(&mut self, now: MonoTime) {
        let timed_out = self.claims.iter().filter(|(_, claim)| claim.is_timed_out(now));
        let timed_out: Vec<ClaimKey> = timed_out.map(|(key, _)| key.clone()).collect();
        for key in timed_out {
            self.on_timeout(now, &key);
        }
        self.evict_older_than(now, CLAIM_RETENTION);
    }

    fn on_timeout(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        match claim.phase {
            ClaimPhase::Acquiring(_) => self.abort(now, key, ResultCode::PlatformDown),
            ClaimPhase::Releasing(id) => {
                claim.set_phase(now, ClaimPhase::Releasing(id));
                let waiting = std::mem::take(&mut claim.waiting);
                self.continue_claim(now, key);
                for refused in waiting {
                    self.settle(refused.id, ClaimVerdict::Refused(ResultCode::PlatformDown));
                }
            }
            ClaimPhase::Held(_) | ClaimPhase::Free => {}
        }
    }

    fn settle(&mut self, id: RequestId, verdict: ClaimVerdict) {
        self.actions.push(ClaimAction::Settled { id, verdict });
    }
}

fn foreign_claim() -> ClaimValue {
    ClaimValue { nonce: 0, is_release: false, id: RequestId(0), host: HostName::from("") }
}
