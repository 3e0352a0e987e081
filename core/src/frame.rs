//! Messages on a link between an entry and an agent, and their encoding.
//!
//! Each message is one CBOR value in one binary WebSocket message. The entry opens the link.

use crate::config::PriorityClass;
use crate::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Version of the messages; a peer with another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;
/// Most bytes of one encoded message.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// First message of either side.
    Hello(HelloFrame),
    /// Sent at a steady pace by both sides; a link without any is silent and is dropped.
    Heartbeat,
    /// From the agent: what its target serves and how busy it is.
    State(TargetState),
    /// From either side: the newest configuration that it has.
    Config(ConfigFrame),
    /// From the entry: a request to run.
    Submit(SubmitFrame),
    /// From the entry: the caller went away; stop the work.
    Cancel(RequestId),
    /// From the entry, on a new link: what became of a request that an older link carried?
    Resolve(ResolveFrame),
    /// From the agent: the answer to [`LinkFrame::Resolve`].
    Resolved(ResolvedFrame),
    /// From the agent: the agent took the request and will run it unless it says otherwise.
    Accepted(RequestId),
    /// From the agent: the start of an answer.
    Head(HeadFrame),
    /// From the agent: a part of an answer's body.
    Body(BodyFrame),
    /// From the agent: the end of an answer, whole or not.
    End(EndFrame),
    /// From either side: fingerprints that were in flight when a target crashed.
    Suspects(SuspectFrame),
}

/// First message of either side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender's host.
    pub host: HostName,
    /// The sender's site.
    pub site: SiteName,
    /// The run of the sender's process.
    pub incarnation: HostIncarnation,
    /// Random number of the sender, to be signed by the other side.
    pub challenge: [u8; 32],
    /// Keyed hash of the other side's challenge under the shared secret; zeros in the first hello,
    /// which is the agent's.
    pub proof: [u8; 32],
}

/// What a target serves and how busy it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// The service of the target.
    pub service: ServiceName,
    /// The digest that the target confirmed to serve; none for a plain service, and for an engine
    /// that serves nothing.
    pub serving: Option<VersionDigest>,
    /// Whether new work is taken.
    pub accepting: bool,
    /// Whether the host is on its way out.
    pub leaving: bool,
    /// Requests in the target.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// Tokens of the waiting requests, estimated.
    pub waiting_tokens: u64,
    /// Milliseconds since the target started to serve what it serves.
    pub serving_for_ms: u64,
}

/// A configuration on its way between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFrame {
    /// Its generation.
    pub generation: ConfigGeneration,
    /// The document as it stands in the key-value service; empty where only the generation is
    /// announced.
    pub body: Bytes,
}

/// A request to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitFrame {
    /// Identifies the request at every hop.
    pub id: RequestId,
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Class of the request.
    pub priority: PriorityClass,
    /// The service that is to answer.
    pub service: ServiceName,
    /// The digest that must answer; none for plain services.
    pub digest: Option<VersionDigest>,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, if it gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// Hash of what is asked, to recognise a request that crashes targets.
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

/// Asks what became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveFrame {
    /// The request.
    pub id: RequestId,
    /// Whether the entry has the head of the answer.
    pub has_head: bool,
    /// Bytes of the answer's body that the entry has.
    pub position: u64,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedFrame {
    /// The request.
    pub id: RequestId,
    /// What the agent knows of it.
    pub knowledge: RequestStatus,
}

/// What an agent knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestStatus {
    /// The agent never saw it and from now on refuses it.
    NeverSeen,
    /// It waits or runs; its answer goes on from the asked position on this link.
    Running,
    /// It ended; its answer follows from the asked position on this link.
    Done,
    /// It ran, and its answer is no longer held.
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
    /// The digest that the target says produced the answer.
    pub digest: Option<VersionDigest>,
}

/// A part of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyFrame {
    /// The request.
    pub id: RequestId,
    /// Position of the first byte in the body.
    pub position: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndFrame {
    /// The request.
    pub id: RequestId,
    /// What became of it.
    pub code: ResultCode,
    /// Bytes of the whole body, if the code is [`ResultCode::Ok`].
    pub length: u64,
}

/// Fingerprints that were in flight when a target crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectFrame {
    /// The fingerprints with the crashes.
    pub fingerprints: Vec<SuspectRecord>,
    /// Fingerprints whose requests have been answered whole since.
    pub cleared: Vec<u64>,
}

/// A fingerprint and a crash that it was in flight at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Hash of what was asked.
    pub fingerprint: u64,
    /// Number of the crash, as good as random.
    pub crash: u64,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

/// Why a message is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// the message is too large
    TooLarge,
    /// the message is not a valid CBOR encoding: {0}
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
    /// [`FrameError`] if the bytes are too many or no valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        ciborium::from_reader(bytes).map_err(|error| FrameError::Malformed(error.to_string()))
    }
}
