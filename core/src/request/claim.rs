//! Claims of idempotency keys in the platform's key-value service.

mod record;

use super::ledger::ClaimVerdict;
use crate::frame::SubmitFrame;
use crate::prelude::*;
use bytes::Bytes;
use record::{ClaimPhase, LocalClaim};

pub use record::{ClaimKey, ClaimValue};

/// Time in which a claim must be settled, lost answers included.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls of the key-value service for one claim.
pub const MAX_CLAIM_CALLS: u32 = 6;
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
    /// The key was created with our value.
    Created(RequestId),
    /// The key exists already; with which value is not known.
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
/// The key-value service keeps one value for each key of an organisation, created if absent and
/// never changed. A request is dispatched only if the value carries the nonce that this process
/// drew for the key, and this process gives each key to one request only. So at most one request
/// with the key is dispatched in the fleet, however often answers are lost or late. While a claim
/// is unused the process keeps its nonce, so that a request which ended before its dispatch does
/// not use up the key.
#[derive(Debug)]
pub struct ClaimKeeper {
    host: HostName,
    claims: SortedTable<ClaimKey, LocalClaim>,
    keys: SortedTable<RequestId, ClaimKey>,
    actions: Vec<ClaimAction>,
}

impl ClaimKeeper {
    /// The claims of an agent's process on `host` that has just started.
    pub fn new(host: HostName) -> Self {
        Self { host, claims: SortedTable::new(), keys: SortedTable::new(), actions: Vec::new() }
    }

    /// Takes an event and returns what to do, in order.
    pub fn on_event(&mut self, now: MonoTime, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Begin { submit, nonce } => self.on_begin(now, &submit, nonce),
            ClaimEvent::Created(id) => self.on_ours(now, id),
            ClaimEvent::Exists(id) => self.read(now, id),
            ClaimEvent::Read { id, value: Some(value) } => self.on_value(now, id, &value),
            ClaimEvent::Read { id, value: None } => self.create(now, id),
            ClaimEvent::Failed(id) => self.give_up(now, id, ResultCode::PlatformDown),
            ClaimEvent::Unsure(id) => self.read(now, id),
            ClaimEvent::Released(id) => self.on_released(now, id),
            ClaimEvent::Tick => self.on_tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn on_begin(&mut self, now: MonoTime, submit: &SubmitFrame, nonce: u128) {
        let id = submit.id;
        let Some(key) = ClaimKey::of(submit) else { return self.settle(id, ClaimVerdict::Won) };
        if !self.claims.contains_key(&key) && self.claims.len() >= MAX_LOCAL_CLAIMS {
            return self.settle(id, ClaimVerdict::Refused(ResultCode::Overloaded));
        }
        let fingerprint = submit.fingerprint;
        let make = || LocalClaim::new(now, id, nonce, fingerprint);
        let is_new = !self.claims.contains_key(&key);
        let claim = self.claims.get_or_insert_with(key.clone(), make);
        if claim.fingerprint != fingerprint && !claim.is_unused() {
            return self.settle(id, ClaimVerdict::Refused(ResultCode::AlreadyClaimed));
        }
        match &mut claim.phase {
            ClaimPhase::Owned(first) => {
                let first = *first;
                return self.settle(id, ClaimVerdict::Join(first));
            }
            ClaimPhase::Settling(settling) if !is_new => return settling.waiting.push(id),
            ClaimPhase::Settling(_) => {}
            ClaimPhase::Unused => claim.restart(now, id, fingerprint),
        }
        let is_confirmed = claim.is_confirmed;
        self.keys.insert(id, key);
        if is_confirmed {
            return self.on_ours(now, id);
        }
        self.create(now, id);
    }

    /// The claim that request `id` is settling.
    fn settling(&mut self, id: RequestId) -> Option<(ClaimKey, &mut LocalClaim)> {
        let key = self.keys.get(&id)?.clone();
        let claim = self.claims.get_mut(&key)?;
        claim.is_settled_by(id).then_some((key, claim))
    }

    fn create(&mut self, now: MonoTime, id: RequestId) {
        let host = self.host.clone();
        let Some((key, claim)) = self.settling(id) else { return };
        if !claim.take_call(now) {
            return self.give_up(now, id, ResultCode::PlatformDown);
        }
        let value = ClaimValue { nonce: claim.nonce, id, host }.encode();
        self.actions.push(ClaimAction::Create { id, key, value });
    }

    fn read(&mut self, now: MonoTime, id: RequestId) {
        let Some((key, claim)) = self.settling(id) else { return };
        if !claim.take_call(now) {
            return self.give_up(now, id, ResultCode::PlatformDown);
        }
        self.actions.push(ClaimAction::Read { id, key });
    }

    fn on_value(&mut self, now: MonoTime, id: RequestId, value: &Bytes) {
        let Some((_, claim)) = self.settling(id) else { return };
        let nonce = claim.nonce;
        if ClaimValue::decode(value).is_some_and(|value| value.nonce == nonce) {
            return self.on_ours(now, id);
        }
        self.give_up(now, id, ResultCode::AlreadyClaimed);
    }

    /// The key is ours: the request is dispatched, and those that came meanwhile get its answer.
    fn on_ours(&mut self, now: MonoTime, id: RequestId) {
        let Some((_, claim)) = self.settling(id) else { return };
        let waiting = claim.own(now, id);
        self.settle(id, ClaimVerdict::Won);
        for joined in waiting {
            self.settle(joined, ClaimVerdict::Join(id));
        }
    }

    /// Refuses the request and those that came meanwhile; none was dispatched.
    fn give_up(&mut self, now: MonoTime, id: RequestId, code: ResultCode) {
        let Some((_, claim)) = self.settling(id) else { return };
        let waiting = claim.leave_unused(now);
        self.keys.remove(&id);
        for refused in std::iter::once(id).chain(waiting) {
            self.settle(refused, ClaimVerdict::Refused(code));
        }
    }

    fn on_released(&mut self, now: MonoTime, id: RequestId) {
        let Some(key) = self.keys.remove(&id) else { return };
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if claim.phase == ClaimPhase::Owned(id) {
            claim.leave_unused(now);
        }
    }

    fn on_tick(&mut self, now: MonoTime) {
        let late = |claim: &LocalClaim| claim.late_request(now);
        let late: Vec<RequestId> = self.claims.values().filter_map(late).collect();
        for id in late {
            self.give_up(now, id, ResultCode::PlatformDown);
        }
        self.claims.retain(|_, claim| !claim.is_old(now));
        let claims = &self.claims;
        self.keys.retain(|_, key| claims.contains_key(key));
    }

    fn settle(&mut self, id: RequestId, verdict: ClaimVerdict) {
        self.actions.push(ClaimAction::Settled { id, verdict });
    }
}
