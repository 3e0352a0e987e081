//! Messages on a link between an entry and an agent, and their encoding.
//!
//! Each message is one CBOR value in one binary WebSocket message. The entry opens the link.

use crate::config::PriorityClass;
use crate::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Version of the link protocol; peers with another version are rejected.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of an encoded message.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// Handshake, the first message in either direction.
    Hello(HelloFrame),
    /// Sent periodically by both sides; a link on which nothing arrives is closed.
    Heartbeat,
    /// Agent to entry: state and load of the target.
    State(TargetState),
    /// Either direction: the sender's newest configuration.
    Config(ConfigFrame),
    /// Entry to agent: a request to execute.
    Submit(SubmitFrame),
    /// Entry to agent: abort a request whose answer is no longer needed, for example since the caller
    /// disconnected.
    Cancel(RequestId),
    /// Entry to agent: asks for the status of a request and the rest of its answer, for example on a
    /// new link after the earlier one was lost.
    Resolve(ResolveFrame),
    /// Agent to entry: the reply to [`LinkFrame::Resolve`].
    Resolved(ResolvedFrame),
    /// Agent to entry: the request is accepted and will be executed, unless [`LinkFrame::End`]
    /// says otherwise.
    Accepted(RequestId),
    /// Agent to entry: the start of an answer.
    Head(HeadFrame),
    /// Agent to entry: a part of an answer's body.
    Body(BodyFrame),
    /// Agent to entry: the end of an answer, complete or not.
    End(EndFrame),
    /// Either direction: fingerprints of requests in flight when a target crashed.
    Suspects(SuspectFrame),
}

/// Handshake of one side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender's host.
    pub host: HostName,
    /// The sender's site.
    pub site: SiteName,
    /// The incarnation of the sender's process.
    pub incarnation: HostIncarnation,
    /// Random nonce that the other side must sign.
    pub challenge: [u8; 32],
    /// Keyed hash of the other side's challenge under the shared secret; zeros in the agent's hello
    /// since it is sent first.
    pub proof: [u8; 32],
}

/// State and load of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// The service of the target.
    pub service: ServiceName,
    /// Digest that the target confirmed to serve; none for a plain service and for an engine that
    /// serves no version.
    pub serving: Option<VersionDigest>,
    /// Whether new work is accepted.
    pub accepting: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Requests running in the target.
    pub running: u32,
    /// Requests queued at the agent.
    pub waiting: u32,
    /// Estimated tokens of the queued requests.
    pub waiting_tokens: u64,
    /// Milliseconds since the target started to serve its current version.
    pub serving_for_ms: u64,
}

/// A configuration, or the announcement of its generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFrame {
    /// Generation of the configuration.
    pub generation: ConfigGeneration,
    /// The document as stored in the key-value service, or patches; empty if the generation is only
    /// announced.
    pub body: Bytes,
}

/// A request to execute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitFrame {
    /// Identifies the request at every hop.
    pub id: RequestId,
    /// The requesting organisation.
    pub organisation: OrganisationName,
    /// Scheduling weight of the organisation.
    pub weight: u32,
    /// Priority class of the request.
    pub priority: PriorityClass,
    /// The requested service.
    pub service: ServiceName,
    /// Digest of the version that must answer; none for plain services.
    pub digest: Option<VersionDigest>,
    /// Milliseconds until the caller's deadline.
    pub deadline_ms: u64,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, if any.
    pub idempotency_key: Option<Arc<str>>,
    /// Hash of the request's content, to recognise requests that crash targets.
    pub fingerprint: u64,
    /// Whether the request was in flight at a crash and must run alone.
    pub suspect: bool,
    /// Estimated cost in tokens.
    pub cost_tokens: u32,
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path with its query.
    pub path: Arc<str>,
    /// HTTP content type; empty if absent.
    pub content_type: Arc<str>,
    /// HTTP body.
    pub body: Bytes,
}

/// Asks for the status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveFrame {
    /// The request.
    pub id: RequestId,
    /// Whether the entry has received the head of the answer.
    pub has_head: bool,
    /// Bytes of the answer's body that the entry has received.
    pub position: u64,
}

/// Status of a request, in reply to [`ResolveFrame`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedFrame {
    /// The request.
    pub id: RequestId,
    /// Its status at the agent.
    pub knowledge: RequestStatus,
}

/// Status of a request at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestStatus {
    /// The agent never received it, and refuses it from now on.
    NeverSeen,
    /// It is queued or running; its answer continues from the given position on this link.
    Running,
    /// It ended; its answer follows from the given position on this link.
    Done,
    /// It may have been executed, and its answer cannot be sent from the given position.
    Forgotten,
}

/// The start of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadFrame {
    /// The request.
    pub id: RequestId,
    /// HTTP status of the target.
    pub status: u16,
    /// HTTP content type; empty if absent.
    pub content_type: Arc<str>,
    /// Digest of the version that produced the answer, as reported by the target.
    pub digest: Option<VersionDigest>,
}

/// A part of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyFrame {
    /// The request.
    pub id: RequestId,
    /// Offset of the first byte in the body.
    pub position: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndFrame {
    /// The request.
    pub id: RequestId,
    /// Its result.
    pub code: ResultCode,
    /// Length of the complete body in bytes, if the code is [`ResultCode::Ok`].
    pub length: u64,
}

/// Fingerprints of requests that were in flight when a target crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectFrame {
    /// The fingerprints, each with a crash.
    pub fingerprints: Vec<SuspectRecord>,
    /// Fingerprints whose requests have been answered completely since.
    pub cleared: Vec<u64>,
}

/// A request fingerprint and a crash during which it was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Unique identifier of the crash.
    pub crash: u64,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// Milliseconds since the request was sent to the target that crashed; `None` from older processes.
    #[serde(default)]
    pub sent_age_ms: Option<u64>,
}

/// Failure to encode or decode a message.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// link message is larger than 4 MiB
    TooLarge,
    /// link message cannot be encoded or decoded as CBOR: {0}
    Malformed(String),
}

impl std::error::Error for FrameError {}

impl LinkFrame {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLarge`] if the encoding exceeds [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut buffer = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut buffer)
            .map_err(|error| FrameError::Malformed(error.to_string()))?;
        if buffer.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        Ok(buffer)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLarge`] if there are more than [`MAX_FRAME_BYTES`] bytes,
    /// [`FrameError::Malformed`] if they are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        ciborium::from_reader(bytes).map_err(|error| FrameError::Malformed(error.to_string()))
    }
}
