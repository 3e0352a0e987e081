//! Claims of idempotency keys in the platform's key-value service.

mod cursor;
mod record;

use super::ledger::ClaimVerdict;
use crate::frame::SubmitFrame;
use crate::prelude::*;
use bytes::Bytes;
use cursor::{LogWalk, WalkCall, WalkStep};
use record::{ClaimPhase, LocalClaim, WaitingClaim};

pub use record::{ClaimKey, ClaimValue};

/// Time in which a claim must be settled, lost answers included.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls of the key-value service for one claim.
pub const MAX_CLAIM_CALLS: u32 = 12;
/// Time that a settled key is remembered; after that the key-value service is asked.
pub const CLAIM_AGE: Duration = Duration::from_mins(10);
/// Most keys that are remembered.
pub const MAX_LOCAL_CLAIMS: usize = 16_384;

/// What happens to claims.
#[derive(Debug, Clone)]
pub enum ClaimEvent {
    /// The ledger wants the key of a request ([`LedgerAction::Claim`]).
    ///
    /// [`LedgerAction::Claim`]: super::ledger::LedgerAction::Claim
    Begin {
        /// The request; one without a key is won at once.
        submit: Arc<SubmitFrame>,
        /// A number drawn at random.
        nonce: u128,
    },
    /// The key was created with the value.
    Created(RequestId),
    /// The key exists already, with whatever value.
    Exists(RequestId),
    /// The answer to [`ClaimAction::Read`]; none if the key is absent.
    Read {
        /// The request.
        id: RequestId,
        /// The value.
        value: Option<Bytes>,
    },
    /// A call failed for certain: it wrote nothing.
    Failed(RequestId),
    /// The answer of a call was lost; it may have taken effect, or may do so later.
    Unsure(RequestId),
    /// The request was not dispatched after its claim was won ([`LedgerAction::ReleaseClaim`]).
    ///
    /// [`LedgerAction::ReleaseClaim`]: super::ledger::LedgerAction::ReleaseClaim
    Released(RequestId),
    /// Some time passed; to be given every [`LEDGER_TICK`](super::ledger::LEDGER_TICK).
    Tick,
}

/// What has to be done for claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Create the key with this value if it is absent, and answer by [`ClaimEvent::Created`],
    /// [`ClaimEvent::Exists`], [`ClaimEvent::Failed`] or [`ClaimEvent::Unsure`].
    Create {
        /// The request.
        id: RequestId,
        /// The key in the key-value service.
        key: ClaimKey,
        /// The value.
        value: Bytes,
    },
    /// Read the key, and answer by [`ClaimEvent::Read`], [`ClaimEvent::Failed`] or
    /// [`ClaimEvent::Unsure`].
    Read {
        /// The request.
        id: RequestId,
        /// The key in the key-value service.
        key: ClaimKey,
    },
    /// The claim is settled; give the verdict to the ledger.
    Settled {
        /// The request.
        id: RequestId,
        /// What became of the claim.
        verdict: ClaimVerdict,
    },
}

/// The claims of one agent's process.
///
/// Each key of an organisation has a log in the key-value service, whose positions are created if
/// absent and never changed. A request is dispatched only if the claim that holds the key carries
/// the nonce that this process drew for it, and this process gives each key to one request only. So
/// at most one request with the key is dispatched in the fleet, however often answers are lost or
/// late. A claim whose request was not dispatched is released, so that the key is not used up.
#[derive(Debug)]
pub struct ClaimKeeper {
    host: HostName,
    claims: SortedTable<ClaimKey, Box<LocalClaim>>,
    keys: SortedTable<RequestId, ClaimKey>,
    actions: Vec<ClaimAction>,
}

impl ClaimKeeper {
    /// The claims of an agent's process on `host` that has just started.
    pub fn new(host: HostName) -> Self {
        Self { host, claims: SortedTable::new(), keys: SortedTable::new(), actions: Vec::new() }
    }

    /// Takes an event and returns what to do, in order. Each [`ClaimAction::Create`] and
    /// [`ClaimAction::Read`] must be answered exactly once.
    pub fn on_event(&mut self, now: MonoTime, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Begin { submit, nonce } => self.on_begin(now, &submit, nonce),
            ClaimEvent::Created(id) => self.on_answer(now, id, LogWalk::on_created),
            ClaimEvent::Exists(id) | ClaimEvent::Unsure(id) => {
                self.on_answer(now, id, LogWalk::on_unsure);
            }
            ClaimEvent::Read { id, value } => {
                // A malformed value is a stranger's: its nonce is nobody's.
                let value = value.map(|bytes| ClaimValue::decode(&bytes).unwrap_or_else(stranger));
                self.on_answer(now, id, |walk| walk.on_value(value.as_ref()));
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
        let new = WaitingClaim { id, nonce, fingerprint, since: now };
        let Some(claim) = self.claims.get_mut(&key) else { return self.add(now, key, &new) };
        match claim.phase {
            ClaimPhase::Owned(_) if claim.fingerprint != fingerprint => {
                self.settle(id, ClaimVerdict::Refused(ResultCode::AlreadyClaimed));
            }
            ClaimPhase::Owned(first) => self.settle(id, ClaimVerdict::Join(first)),
            ClaimPhase::Acquiring(_) | ClaimPhase::Releasing(_) => claim.waiting.push(new),
            ClaimPhase::Free => {
                claim.restart(&new);
                self.call(now, &key);
            }
        }
    }

    fn add(&mut self, now: MonoTime, key: ClaimKey, first: &WaitingClaim) {
        self.make_room(now);
        if self.claims.len() >= MAX_LOCAL_CLAIMS {
            return self.settle(first.id, ClaimVerdict::Refused(ResultCode::Overloaded));
        }
        self.claims.insert(key.clone(), Box::new(LocalClaim::new(first)));
        self.call(now, &key);
    }

    /// Forgets the oldest settled claims if there are too many; the key-value service has them.
    fn make_room(&mut self, now: MonoTime) {
        let mut age = CLAIM_AGE;
        while self.claims.len() >= MAX_LOCAL_CLAIMS && age > CLAIM_TIMEOUT {
            age /= 2;
            self.forget(now, age);
        }
    }

    fn forget(&mut self, now: MonoTime, age: Duration) {
        self.claims.retain(|_, claim| !claim.is_older(now, age));
        let claims = &self.claims;
        self.keys.retain(|_, key| claims.contains_key(key));
    }

    /// Makes the next call of a claim's walk, unless one is under way.
    fn call(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        if claim.walk.is_calling() || claim.caller().is_none() {
            return;
        }
        let call = claim.walk.call();
        self.act(now, key, call);
    }

    fn act(&mut self, now: MonoTime, key: &ClaimKey, call: WalkCall) {
        let host = self.host.clone();
        let Some(claim) = self.claims.get_mut(key) else { return };
        let Some(id) = claim.caller() else { return };
        if !claim.take_call(now) {
            claim.walk.on_failed();
            return self.stop(now, key, ResultCode::PlatformDown);
        }
        self.keys.insert(id, key.clone());
        let action = match call {
            WalkCall::Read(position) => ClaimAction::Read { id, key: key.at(position) },
            WalkCall::Create(position, is_release) => {
                let nonce = claim.walk.nonce();
                let value = ClaimValue { nonce, is_release, id, host }.encode();
                ClaimAction::Create { id, key: key.at(position), value }
            }
        };
        self.actions.push(action);
    }

    fn on_answer(
        &mut self,
        now: MonoTime,
        id: RequestId,
        answer: impl FnOnce(&mut LogWalk) -> WalkStep,
    ) {
        let Some((key, claim)) = self.claim_of(id) else { return };
        match answer(&mut claim.walk) {
            WalkStep::Call(call) => self.act(now, &key, call),
            WalkStep::Acquired => self.on_acquired(now, &key, id),
            WalkStep::HeldByOther => self.stop(now, &key, ResultCode::AlreadyClaimed),
            WalkStep::Released => self.on_free(now, &key),
        }
    }

    /// The claim in whose name request `id` is calling.
    fn claim_of(&mut self, id: RequestId) -> Option<(ClaimKey, &mut LocalClaim)> {
        let key = self.keys.get(&id)?.clone();
        let claim = self.claims.get_mut(&key)?.as_mut();
        let is_calling = claim.caller() == Some(id) && claim.walk.is_calling();
        is_calling.then_some((key, claim))
    }

    /// The key is ours: the request is dispatched, and those that came meanwhile get its answer.
    fn on_acquired(&mut self, now: MonoTime, key: &ClaimKey, id: RequestId) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.set_phase(now, ClaimPhase::Owned(id));
        let fingerprint = claim.fingerprint;
        let waiting = std::mem::take(&mut claim.waiting);
        self.settle(id, ClaimVerdict::Won);
        for joined in waiting {
            let verdict = if joined.fingerprint == fingerprint {
                ClaimVerdict::Join(id)
            } else {
                ClaimVerdict::Refused(ResultCode::AlreadyClaimed)
            };
            self.settle(joined.id, verdict);
        }
    }

    fn on_failed(&mut self, now: MonoTime, id: RequestId) {
        let Some((key, claim)) = self.claim_of(id) else { return };
        claim.walk.on_failed();
        self.stop(now, &key, ResultCode::PlatformDown);
    }

    /// Stops to acquire the key, and refuses the request and those that came meanwhile; none was
    /// dispatched. A release that is stopped is tried again later.
    fn stop(&mut self, now: MonoTime, key: &ClaimKey, code: ResultCode) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let ClaimPhase::Acquiring(id) = claim.phase else { return };
        claim.abandon(now, id);
        let waiting = std::mem::take(&mut claim.waiting);
        if claim.phase == ClaimPhase::Free {
            self.claims.remove(key);
            self.keys.remove(&id);
        }
        for refused in std::iter::once(id).chain(waiting.iter().map(|waiting| waiting.id)) {
            self.settle(refused, ClaimVerdict::Refused(code));
        }
    }

    fn on_released(&mut self, now: MonoTime, id: RequestId) {
        let Some(key) = self.keys.get(&id).cloned() else { return };
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if claim.phase == ClaimPhase::Owned(id) {
            claim.abandon(now, id);
            self.call(now, &key);
        }
    }

    /// Nothing of ours is in the log: the key goes to the next request that waits for it.
    fn on_free(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let released = claim.caller();
        claim.set_phase(now, ClaimPhase::Free);
        if !claim.waiting.is_empty() {
            let next = claim.waiting.remove(0);
            claim.restart(&next);
        }
        if let Some(id) = released {
            self.keys.remove(&id);
        }
        self.call(now, key);
    }

    fn on_tick(&mut self, now: MonoTime) {
        let late = self.claims.iter().filter(|(_, claim)| claim.is_late(now));
        let late: Vec<ClaimKey> = late.map(|(key, _)| key.clone()).collect();
        for key in late {
            self.on_late(now, &key);
        }
        self.forget(now, CLAIM_AGE);
    }

    fn on_late(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        match claim.phase {
            ClaimPhase::Acquiring(_) => self.stop(now, key, ResultCode::PlatformDown),
            ClaimPhase::Releasing(id) => {
                claim.set_phase(now, ClaimPhase::Releasing(id));
                let waiting = std::mem::take(&mut claim.waiting);
                self.call(now, key);
                for refused in waiting {
                    self.settle(refused.id, ClaimVerdict::Refused(ResultCode::PlatformDown));
                }
            }
            ClaimPhase::Owned(_) | ClaimPhase::Free => {}
        }
    }

    fn settle(&mut self, id: RequestId, verdict: ClaimVerdict) {
        self.actions.push(ClaimAction::Settled { id, verdict });
    }
}

fn stranger() -> ClaimValue {
    ClaimValue { nonce: 0, is_release: false, id: RequestId(0), host: HostName::from("") }
}
