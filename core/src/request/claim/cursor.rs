//! The log of one idempotency key in the key-value service, and an agent's way along it.

use super::record::ClaimValue;

/// What a walk is to append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WalkGoal {
    /// A claim with our nonce, if nobody holds the key.
    Acquire,
    /// The release of our nonce, whether its claim was written or not.
    Release,
}

/// The next call of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WalkCall {
    /// Create the position with our nonce; `true` if as a release.
    Create(u32, bool),
    /// Read the position.
    Read(u32),
}

/// Where a walk stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WalkStep {
    /// A call is to be made.
    Call(WalkCall),
    /// Our claim is in the log and holds the key.
    Acquired,
    /// Another claim holds the key, and ours is not in the log.
    HeldByOther,
    /// Our nonce is released: no claim with it holds the key now or later.
    Released,
}

/// The positions of a log are created if absent, in order, and never changed. A claim counts if
/// nobody holds the key at its position, and a release counts if its nonce holds the key. All
/// agents that read the log therefore agree on who holds the key, and a write that lands late
/// either finds its position taken or lands where its writer looks next.
#[derive(Debug)]
pub(super) struct LogWalk {
    nonce: u128,
    goal: WalkGoal,
    position: u32,
    holder: Option<u128>,
    sent: Option<WalkCall>,
    may_be_written: bool,
    /// What `may_be_written` was before the last call.
    may_have_been_written: bool,
}

impl LogWalk {
    /// A walk from the start of the log, to acquire the key.
    pub fn new(nonce: u128) -> Self {
        Self {
            nonce,
            goal: WalkGoal::Acquire,
            position: 0,
            holder: None,
            sent: None,
            may_be_written: false,
            may_have_been_written: false,
        }
    }

    /// Starts over with another nonce, from where the log is known.
    pub fn restart(&mut self, nonce: u128) {
        *self = Self { position: self.position, holder: self.holder, ..Self::new(nonce) };
    }

    /// Whether a call has not been answered.
    pub fn is_calling(&self) -> bool {
        self.sent.is_some()
    }

    /// Whether our claim is in the log or may still get there.
    pub fn may_be_written(&self) -> bool {
        self.may_be_written || self.holder == Some(self.nonce)
    }

    /// The number that marks our claims and releases.
    pub fn nonce(&self) -> u128 {
        self.nonce
    }

    /// Changes what the walk is for; a call under way goes on.
    pub fn set_goal(&mut self, goal: WalkGoal) {
        self.goal = goal;
    }

    /// The next call, to be made now; the last one must have been answered.
    pub fn call(&mut self) -> WalkCall {
        let call = match self.goal {
            WalkGoal::Release => WalkCall::Create(self.position, true),
            WalkGoal::Acquire if self.holder.is_none() => WalkCall::Create(self.position, false),
            WalkGoal::Acquire => WalkCall::Read(self.position),
        };
        self.start(call)
    }

    fn start(&mut self, call: WalkCall) -> WalkCall {
        self.may_have_been_written = self.may_be_written;
        self.may_be_written |= matches!(call, WalkCall::Create(_, false));
        self.sent = Some(call);
        call
    }

    fn read(&mut self) -> WalkStep {
        WalkStep::Call(self.start(WalkCall::Read(self.position)))
    }

    /// The last call, a creation, took effect.
    pub fn on_created(&mut self) -> WalkStep {
        let is_release = matches!(self.sent.take(), Some(WalkCall::Create(_, true)));
        self.pass(self.nonce, is_release)
    }

    /// The position of the last call, a creation, was taken, or its answer was lost.
    pub fn on_unsure(&mut self) -> WalkStep {
        self.sent = None;
        self.read()
    }

    /// The last call had no effect, or was not made after all.
    pub fn on_failed(&mut self) {
        self.sent = None;
        self.may_be_written = self.may_have_been_written;
    }

    /// The last call, a read, found this value.
    pub fn on_value(&mut self, value: Option<&ClaimValue>) -> WalkStep {
        self.sent = None;
        let Some(value) = value else { return self.on_end_of_log() };
        self.pass(value.nonce, value.is_release)
    }

    fn on_end_of_log(&mut self) -> WalkStep {
        if self.goal == WalkGoal::Acquire && self.holder.is_some() {
            return WalkStep::HeldByOther;
        }
        WalkStep::Call(self.call())
    }

    /// Goes past a position that holds this nonce.
    fn pass(&mut self, nonce: u128, is_release: bool) -> WalkStep {
        if is_release && self.holder == Some(nonce) {
            self.holder = None;
        } else if !is_release && self.holder.is_none() {
            self.holder = Some(nonce);
        }
        self.position += 1;
        // Our claim was only ever sent to the position that is taken now.
        self.may_be_written = false;
        match self.goal {
            WalkGoal::Acquire if self.holder == Some(self.nonce) => WalkStep::Acquired,
            WalkGoal::Release if self.holder != Some(self.nonce) => WalkStep::Released,
            _ => WalkStep::Call(self.call()),
        }
    }
}
