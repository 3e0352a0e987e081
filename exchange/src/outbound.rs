//! The client side of an exchange.

use crate::framing::{AnswerFraming, content_length};
use crate::socket;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version};
use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use std::{fmt, io, mem};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;

/// Free space reserved in the read buffer before each read, in bytes.
const READ_RESERVE_BYTES: usize = 4096;
/// Size up to which a body is copied behind the head, so that both are sent in one packet. A larger one is not
/// copied, as a target that does not read would make it use twice its memory.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Maximum bytes received without completing a head or adding to a body: the size of a head with the
/// informational ones before it, or of the framing between two parts of a body.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;

/// A request to send.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// The method.
    pub method: Method,
    /// The URI of the request line.
    pub uri: Uri,
    /// The headers, including `Host`; the codec sets `Content-Length` and `Connection`.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// `Content-Length` of the body, if given.
    pub length: Option<u64>,
    /// How the end of the body is recognised.
    pub framing: AnswerFraming,
}

/// Next part of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// A non-empty part of the body.
    Data(Bytes),
    /// The body has been read up to the end that its framing marks.
    End,
    /// The connection ended, and with it a body without framing. Nothing shows whether the body is
    /// complete; its format may.
    Closed,
}

/// Why an exchange failed before the answer was complete.
#[derive(Debug, displaydoc::Display)]
pub enum ExchangeError {
    /// connection failed: {0}
    Broken(io::Error),
    /// connection closed before the answer was complete
    ClosedEarly,
    /// malformed HTTP answer
    Malformed,
}

impl std::error::Error for ExchangeError {}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        ExchangeError::Broken(error)
    }
}

/// Decoder of the body that is being read.
#[allow(clippy::large_enum_variant)]
enum BodyDecoder {
    /// No body is being read.
    NoBody(ClientCodec),
    /// The codec finds the end by length or chunked encoding.
    Framed(ClientPayloadCodec),
    /// The body ends when the connection closes.
    UntilClose,
    /// The framing is unknown after an error; the connection cannot be used further.
    Unknown,
}

/// A connection to a server, for one exchange at a time.
pub struct OutboundConnection {
    stream: TcpStream,
    decoder: BodyDecoder,
    buffer: BytesMut,
    unsent: BytesMut,
    /// The unsent part of a large body, which follows `unsent`.
    unsent_body: Bytes,
    /// Bytes received since the last head or part of a body.
    overhead_bytes: usize,
    /// Method of the last request.
    method: Method,
    reusable: bool,
    /// Whether a request was encoded whose answer has not been read to its end.
    is_exchange_open: bool,
    reset_on_abort: bool,
}

impl fmt::Debug for OutboundConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OutboundConnection").field("reusable", &self.reusable).finish()
    }
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        if self.is_exchange_open && self.reset_on_abort {
            // If this fails, the connection ends with an orderly close.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl OutboundConnection {
    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or [`io::ErrorKind::TimedOut`].
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = socket::connect(address, timeout).await?;
        Ok(Self {
            stream,
            decoder: BodyDecoder::NoBody(ClientCodec::default()),
            buffer: BytesMut::new(),
            unsent: BytesMut::new(),
            unsent_body: Bytes::new(),
            overhead_bytes: 0,
            method: Method::GET,
            reusable: true,
            is_exchange_open: false,
            reset_on_abort: false,
        })
    }

    /// Sets how the connection ends if it is dropped before the answer has been read to its end: with a reset,
    /// which discards what the server has not acknowledged of the request but is not sent again if it is lost,
    /// or with an orderly close, which is the default.
    pub fn set_reset_on_abort(&mut self, reset_on_abort: bool) {
        self.reset_on_abort = reset_on_abort;
    }

    /// Whether the connection may be used for another exchange: the last one ended cleanly, no
    /// bytes are left over, and the peer has not closed the connection.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reusable || !self.buffer.is_empty() || self.has_unsent() {
            return false;
        }
        if !matches!(self.decoder, BodyDecoder::NoBody(_)) {
            return false;
        }
        // Peeks at the socket: the runtime may not have seen yet that the peer closed.
        let mut probe = [MaybeUninit::<u8>::uninit(); 1];
        let read = SockRef::from(&self.stream).peek(&mut probe);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the answer. If the answer starts before the request is
    /// sent completely, the connection is not reused.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the server may have received the request nevertheless.
    pub async fn exchange(
        &mut self,
        request: OutboundRequest,
    ) -> Result<AnswerHead, ExchangeError> {
        self.encode(request)?;
        self.read_head().await
    }

    /// Reads the head of an answer, and sends what is left of the request. To be called again after an
    /// answer that belongs to another request.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if there is no valid head.
    pub async fn read_head(&mut self) -> Result<AnswerHead, ExchangeError> {
        self.is_exchange_open = true;
        if let Some(head) = self.send_rest().await? {
            return Ok(head);
        }
        loop {
            if let Some(head) = self.decode_head()? {
                return Ok(head);
            }
            if self.read_more().await? == 0 {
                return Err(ExchangeError::ClosedEarly);
            }
        }
    }

    /// Sends what is left of the request. Returns the head of an answer that starts before that is done.
    async fn send_rest(&mut self) -> Result<Option<AnswerHead>, ExchangeError> {
        let mut has_ended = false;
        while self.has_unsent() {
            if let Some(head) = self.decode_head()? {
                self.reusable = false;
                return Ok(Some(head));
            }
            if has_ended {
                return Err(ExchangeError::ClosedEarly);
            }
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                self.write_some()?;
            }
            if ready.is_readable() && self.has_unsent() {
                has_ended = self.read_some()?;
            }
        }
        Ok(None)
    }

    /// Reads the next part of the answer's body. Cancel-safe.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if the body is malformed or incomplete.
    pub async fn read_body(&mut self) -> Result<BodyPart, ExchangeError> {
        loop {
            if let Some(part) = self.decode_body()? {
                self.overhead_bytes = 0;
                return Ok(part);
            }
            if self.read_more().await? == 0 {
                return self.on_eof();
            }
        }
    }

    /// Reads bytes that continue the current head or the framing of the body; returns their number, 0 if
    /// the peer has closed. Cancel-safe.
    async fn read_more(&mut self) -> Result<usize, ExchangeError> {
        self.check_overhead()?;
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.overhead_bytes += count;
        Ok(count)
    }

    fn check_overhead(&self) -> Result<(), ExchangeError> {
        match self.overhead_bytes > MAX_OVERHEAD_BYTES {
            true => Err(ExchangeError::Malformed),
            false => Ok(()),
        }
    }

    /// Decodes the next part of the body from the bytes already read; `None` if more are needed.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the framing is invalid, [`ExchangeError::ClosedEarly`] if an
    /// earlier error has left it unknown.
    pub fn decode_body(&mut self) -> Result<Option<BodyPart>, ExchangeError> {
        let part = self.decode_part()?;
        self.is_exchange_open &= part != Some(BodyPart::End);
        Ok(part)
    }

    fn decode_part(&mut self) -> Result<Option<BodyPart>, ExchangeError> {
        match mem::replace(&mut self.decoder, BodyDecoder::Unknown) {
            BodyDecoder::NoBody(codec) => {
                self.decoder = BodyDecoder::NoBody(codec);
                Ok(Some(BodyPart::End))
            }
            BodyDecoder::Framed(mut codec) => {
                let decoded =
                    codec.decode(&mut self.buffer).map_err(|_| ExchangeError::Malformed)?;
                match decoded {
                    Some(None) => {
                        self.decoder = BodyDecoder::NoBody(codec.into_message_codec());
                        Ok(Some(BodyPart::End))
                    }
                    Some(Some(bytes)) => {
                        self.decoder = BodyDecoder::Framed(codec);
                        Ok(Some(BodyPart::Data(bytes)))
                    }
                    None => {
                        self.decoder = BodyDecoder::Framed(codec);
                        Ok(None)
                    }
                }
            }
            BodyDecoder::UntilClose => {
                self.decoder = BodyDecoder::UntilClose;
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                Ok(Some(BodyPart::Data(self.buffer.split().freeze())))
            }
            BodyDecoder::Unknown => Err(ExchangeError::ClosedEarly),
        }
    }

    fn on_eof(&mut self) -> Result<BodyPart, ExchangeError> {
        self.reusable = false;
        match self.decoder {
            BodyDecoder::UntilClose => {
                self.decoder = BodyDecoder::NoBody(ClientCodec::default());
                self.is_exchange_open = false;
                Ok(BodyPart::Closed)
            }
            _ => Err(ExchangeError::ClosedEarly),
        }
    }

    fn encode(&mut self, request: OutboundRequest) -> Result<(), ExchangeError> {
        let BodyDecoder::NoBody(codec) = &mut self.decoder else {
            return Err(ExchangeError::ClosedEarly);
        };
        let has_body = !request.body.is_empty() || request.method != Method::GET;
        let size = match has_body {
            true => BodySize::Sized(request.body.len() as u64),
            false => BodySize::None,
        };
        self.method = request.method.clone();
        self.is_exchange_open = true;
        let mut head = RequestHead::default();
        head.method = request.method;
        head.uri = request.uri;
        head.headers = request.headers;
        head.version = Version::HTTP_11;
        codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut self.unsent)?;
        if request.body.len() > MAX_COPIED_BYTES {
            self.unsent_body = request.body;
        } else if !request.body.is_empty() {
            codec.encode(Message::Chunk(Some(request.body)), &mut self.unsent)?;
        }
        self.write_some()?;
        Ok(())
    }

    fn write_some(&mut self) -> io::Result<()> {
        while !self.unsent.is_empty() {
            match self.stream.try_write(&self.unsent) {
                Ok(sent) => drop(self.unsent.split_to(sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        while !self.unsent_body.is_empty() {
            match self.stream.try_write(&self.unsent_body) {
                Ok(sent) => self.unsent_body.advance(sent),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn has_unsent(&self) -> bool {
        !self.unsent.is_empty() || !self.unsent_body.is_empty()
    }

    /// Reads the available bytes without waiting; returns whether the peer has closed.
    fn read_some(&mut self) -> Result<bool, ExchangeError> {
        self.check_overhead()?;
        self.buffer.reserve(READ_RESERVE_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => {
                self.overhead_bytes += count;
                Ok(count == 0)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    fn decode_head(&mut self) -> Result<Option<AnswerHead>, ExchangeError> {
        loop {
            let BodyDecoder::NoBody(codec) = &mut self.decoder else {
                return Err(ExchangeError::ClosedEarly);
            };
            let decoded = codec.decode(&mut self.buffer).map_err(|_| ExchangeError::Malformed)?;
            let Some(head) = decoded else {
                return Ok(None);
            };
            if head.status.is_informational() {
                continue;
            }
            return Ok(Some(self.begin_body(head)));
        }
    }

    fn begin_body(&mut self, head: ResponseHead) -> AnswerHead {
        self.overhead_bytes = 0;
        let framing = AnswerFraming::of(&head, &self.method);
        if let BodyDecoder::NoBody(codec) = mem::replace(&mut self.decoder, BodyDecoder::Unknown) {
            self.reusable &= codec.keep_alive() && framing != AnswerFraming::UntilClose;
            self.decoder = BodyDecoder::new(framing, codec);
        }
        let length = content_length(&head);
        AnswerHead { status: head.status, headers: head.headers, length, framing }
    }
}

impl BodyDecoder {
    /// The decoder of a body with `framing`, whose head `codec` has decoded.
    fn new(framing: AnswerFraming, codec: ClientCodec) -> Self {
        let expects_body = codec.message_type() != MessageType::None;
        match framing {
            AnswerFraming::NoBody => BodyDecoder::NoBody(ClientCodec::default()),
            AnswerFraming::UntilClose => BodyDecoder::UntilClose,
            AnswerFraming::Delimited if expects_body => {
                BodyDecoder::Framed(codec.into_payload_codec())
            }
            AnswerFraming::Delimited => BodyDecoder::Unknown,
        }
    }
}
