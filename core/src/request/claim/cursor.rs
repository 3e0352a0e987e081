//! The log of one idempotency key in the key-value service, and an agent's cursor in it.

use super::value::ClaimValue;

/// The record that a cursor is to append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CursorGoal {
    /// A claim with the cursor's nonce, if no other claim holds the key.
    Acquire,
    /// A release of the cursor's nonce, whether or not its claim was written.
    Release,
}

/// A call of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogCall {
    /// Create the position with the cursor's nonce, as a release if `true`, else as a claim.
    Create(u32, bool),
    /// Read the position.
    Read(u32),
}

/// The next step of a cursor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CursorStep {
    /// This call must be made.
    Call(LogCall),
    /// The cursor's claim is in the log and holds the key.
    Acquired,
    /// Another claim holds the key, and the cursor's claim is not in the log.
    HeldByOther,
    /// The cursor's nonce is released: no claim with it holds the key, or will come to hold it.
    Released,
}

/// An agent's cursor in the log of a key.
///
/// The positions of a log are created if absent, in order, and never changed. A claim is valid if no
/// other claim holds the key at its position, and a release is valid if its nonce holds the key. All
/// agents that read the log therefore agree on the holder. A delayed write either finds its position
/// taken or lands where its writer reads next.
#[derive(Debug)]
pub(super) struct LogCursor {
    nonce: u128,
    goal: CursorGoal,
    /// The next position to be read or created.
    position: u32,
    /// The nonce that holds the key after the positions before `position`.
    holder: Option<u128>,
    pending_call: Option<LogCall>,
    /// Whether the cursor's claim may be written at `position`: its create was sent there, and the
    /// outcome is not known.
    may_be_written: bool,
    /// The value of `may_be_written` before the last call.
    may_be_written_before_call: bool,
}

impl LogCursor {
    /// A cursor at the start of the log, to acquire the key.
    pub fn new(nonce: u128) -> Self {
        Self {
            nonce,
            goal: CursorGoal::Acquire,
            position: 0,
            holder: None,
            pending_call: None,
            may_be_written: false,
            may_be_written_before_call: false,
        }
    }

    /// Starts to acquire the key with another nonce, from the current position.
    pub fn restart(&mut self, nonce: u128) {
        *self = Self { position: self.position, holder: self.holder, ..Self::new(nonce) };
    }

    /// Whether the last call has not been answered.
    pub fn is_call_pending(&self) -> bool {
        self.pending_call.is_some()
    }

    /// Whether the cursor's claim is in the log and holds the key, or may still be written there.
    pub fn may_be_written(&self) -> bool {
        self.may_be_written || self.holder == Some(self.nonce)
    }

    /// The nonce of the cursor's claim and release.
    pub fn nonce(&self) -> u128 {
        self.nonce
    }

    /// Changes the goal; a pending call continues.
    pub fn set_goal(&mut self, goal: CursorGoal) {
        self.goal = goal;
    }

    /// Starts the next call and returns it; the last one must have been answered.
    pub fn next_call(&mut self) -> LogCall {
        let call = match self.goal {
            CursorGoal::Release => LogCall::Create(self.position, true),
            CursorGoal::Acquire if self.holder.is_none() => LogCall::Create(self.position, false),
            CursorGoal::Acquire => LogCall::Read(self.position),
        };
        self.start(call)
    }

    fn start(&mut self, call: LogCall) -> LogCall {
        self.may_be_written_before_call = self.may_be_written;
        self.may_be_written |= matches!(call, LogCall::Create(_, false));
        self.pending_call = Some(call);
        call
    }

    fn read(&mut self) -> CursorStep {
        CursorStep::Call(self.start(LogCall::Read(self.position)))
    }

    /// The last call, a create, took effect.
    pub fn on_created(&mut self) -> CursorStep {
        let is_release = matches!(self.pending_call.take(), Some(LogCall::Create(_, true)));
        self.advance(self.nonce, is_release)
    }

    /// The position of the last call, a create, was taken, or the answer to the call was lost.
    pub fn on_unconfirmed(&mut self) -> CursorStep {
        self.pending_call = None;
        self.read()
    }

    /// The last call had no effect, or was not made.
    pub fn on_failed(&mut self) {
        self.pending_call = None;
        self.may_be_written = self.may_be_written_before_call;
    }

    /// The last call, a read, returned this value.
    pub fn on_value(&mut self, value: Option<&ClaimValue>) -> CursorStep {
        self.pending_call = None;
        let Some(value) = value else { return self.on_end_of_log() };
        self.advance(value.nonce, value.is_release)
    }

    fn on_end_of_log(&mut self) -> CursorStep {
        if self.goal == CursorGoal::Acquire && self.holder.is_some() {
            return CursorStep::HeldByOther;
        }
        CursorStep::Call(self.next_call())
    }

    /// Applies the record at the current position and advances to the next one.
    fn advance(&mut self, nonce: u128, is_release: bool) -> CursorStep {
        if is_release && self.holder == Some(nonce) {
            self.holder = None;
        } else if !is_release && self.holder.is_none() {
            self.holder = Some(nonce);
        }
        self.position += 1;
        // The cursor's claim was only sent to the position that is now known to be taken.
        self.may_be_written = false;
        match self.goal {
            CursorGoal::Acquire if self.holder == Some(self.nonce) => CursorStep::Acquired,
            CursorGoal::Release if self.holder != Some(self.nonce) => CursorStep::Released,
            _ => CursorStep::Call(self.next_call()),
        }
    }
}
