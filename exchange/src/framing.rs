//! How the end of an answer's body is recognised.

use actix_http::header;
use actix_http::{Method, ResponseHead, StatusCode, Version};

/// How the end of an answer's body is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnswerFraming {
    /// There is no body.
    NoBody,
    /// By its length or by chunked encoding.
    Delimited,
    /// By the end of the connection.
    UntilClose,
}

impl AnswerFraming {
    /// The framing of the answer with `head` to a request with `method`.
    pub fn of(head: &ResponseHead, method: &Method) -> Self {
        let is_bodiless = method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if is_bodiless {
            return AnswerFraming::NoBody;
        }
        if is_chunked(head) {
            return AnswerFraming::Delimited;
        }
        match content_length(head) {
            Some(0) => AnswerFraming::NoBody,
            Some(_) => AnswerFraming::Delimited,
            None => AnswerFraming::UntilClose,
        }
    }
}

/// The value of `Content-Length`, if given.
pub(crate) fn content_length(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn is_chunked(head: &ResponseHead) -> bool {
    let encoding = head.headers.get(header::TRANSFER_ENCODING);
    let encoding = encoding.and_then(|value| value.to_str().ok()).unwrap_or_default();
    head.version == Version::HTTP_11 && encoding.trim().eq_ignore_ascii_case("chunked")
}
