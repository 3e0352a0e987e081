//! Generates the answer to one request in the batch.

use super::EngineService;
use super::answer::token_text;
use super::chat::{ChatMetadata, FinishReason};
use super::registry::RegisteredRequest;
use super::slots::SlotPermit;
use crate::call::{StandinError, StandinResponse, json_ok};
use actix_http::body::BodyStream;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::unfold;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use tokio::time::sleep;

/// Response status of a request that was cancelled before its answer began.
const STATUS_CANCELLED: u16 = 499;

/// Result of one generation step.
enum RunStep {
    Token(String),
    End(FinishReason),
}

/// A request in the batch. Dropping it releases its slot and unregisters its id.
pub struct AnswerRun {
    engine: Rc<EngineService>,
    metadata: ChatMetadata,
    prompt: String,
    token_count: u32,
    next_index: u32,
    is_completed: bool,
    request: RegisteredRequest,
    _permit: SlotPermit,
}

impl AnswerRun {
    /// Starts the run and counts it as running.
    pub fn new(
        engine: Rc<EngineService>,
        metadata: ChatMetadata,
        prompt: String,
        token_count: u32,
        request: RegisteredRequest,
        permit: SlotPermit,
    ) -> Self {
        engine.running_count.set(engine.running_count.get() + 1);
        Self {
            engine,
            metadata,
            prompt,
            token_count,
            next_index: 0,
            is_completed: false,
            request,
            _permit: permit,
        }
    }

    /// Generates the complete answer, then returns it in one response.
    ///
    /// # Errors
    ///
    /// 499 if the request is cancelled.
    pub async fn answer_whole(mut self) -> Result<StandinResponse, StandinError> {
        let mut content = String::new();
        loop {
            match self.step().await {
                RunStep::Token(token) => content.push_str(&token),
                RunStep::End(FinishReason::Abort) => {
                    return Err(cancelled_error());
                }
                RunStep::End(reason) => {
                    return json_ok(&self.metadata.completion(&content, self.token_count, reason));
                }
            }
        }
    }

    /// Returns a response that streams each token as a server-sent event.
    pub fn answer_streamed(self) -> StandinResponse {
        let events = unfold(Some(self), |run| async {
            let mut run = run?;
            Some(match run.step().await {
                RunStep::Token(token) => {
                    let event = format!("data: {}\n\n", run.metadata.token_chunk(&token));
                    (Ok::<_, Infallible>(Bytes::from(event)), Some(run))
                }
                RunStep::End(reason) => {
                    let last = run.metadata.last_chunk(reason);
                    let event = format!("data: {last}\n\ndata: [DONE]\n\n");
                    (Ok(Bytes::from(event)), None)
                }
            })
        });
        let mut answer = Response::build(StatusCode::OK);
        answer.insert_header((CONTENT_TYPE, "text/event-stream"));
        let body = BodyStream::new(Box::pin(events));
        match answer.message_body(body) {
            Ok(answer) => answer.map_into_boxed_body(),
            Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn step(&mut self) -> RunStep {
        if self.next_index >= self.token_count {
            return self.end(FinishReason::Length);
        }
        tokio::select! {
            () = self.request.cancelled() => self.end(FinishReason::Abort),
            () = self.engine.generate_token(self.next_index) => {
                let token = token_text(&self.prompt, self.next_index);
                self.next_index += 1;
                RunStep::Token(token)
            }
        }
    }

    fn end(&mut self, reason: FinishReason) -> RunStep {
        self.is_completed = reason == FinishReason::Length;
        RunStep::End(reason)
    }
}

/// Returns the error for a request that was cancelled before its answer began.
pub fn cancelled_error() -> StandinError {
    let status = StatusCode::from_u16(STATUS_CANCELLED).unwrap_or(StatusCode::BAD_REQUEST);
    StandinError::new(status, "the request was cancelled")
}

impl Drop for AnswerRun {
    fn drop(&mut self) {
        let engine = &self.engine;
        engine.running_count.set(engine.running_count.get() - 1);
        let counter = if self.is_completed { &engine.completed } else { &engine.broken_off };
        counter.set(counter.get() + 1);
    }
}

impl EngineService {
    async fn generate_token(&self, index: u32) {
        let (stalls, gap) = {
            let switches = self.switches.borrow();
            (switches.stalls_at(index), switches.token_gap())
        };
        if stalls {
            pending::<()>().await;
        }
        if !gap.is_zero() {
            sleep(gap).await;
        }
        self.tokens.set(self.tokens.get() + 1);
    }
}
