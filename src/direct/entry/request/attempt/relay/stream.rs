//! Relays the events of a stream.

use super::super::{AttemptResult, Interruption, TargetAttempt, TargetConnection};
use super::{BrokenAnswer, answered};
use crate::clock;
use crate::direct::entry::request::reply::CallerReply;
use buckthornwharf_core::direct::capacity::PauseMeter;
use buckthornwharf_core::direct::{AnswerEnd, EventStream};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{
    AnswerHead, BodyPart, ExchangeError, InboundConnection, OutboundConnection,
};
use bytes::Bytes;
use std::io;

/// Time to send events to a caller from which pauses are not those of the target: nothing is read meanwhile.
const SLOW_CALLER_TIME: Duration = Duration::from_millis(5);

/// What the received parts of a stream add to the response.
struct StreamStep {
    /// Events that are complete now, if any.
    events: Bytes,
    /// Set if the stream ended after them.
    end: Option<Result<AnswerEnd, BrokenAnswer>>,
}

impl TargetAttempt<'_> {
    /// Relays events as they arrive, but only complete ones, so that another target can continue the
    /// stream. The head is sent with the first events: this saves a packet, and the caller does not
    /// notice a target that fails before them.
    pub(super) async fn relay_stream(
        &self,
        caller: &mut InboundConnection,
        mut connection: TargetConnection,
        answer: AnswerHead,
        reply: &mut CallerReply,
    ) -> Result<AttemptResult, Interruption> {
        reply.events.begin_attempt();
        let mut is_first_part = true;
        let mut has_begun = false;
        let mut pauses = PauseMeter::default();
        loop {
            let part = match std::mem::take(&mut is_first_part) {
                true => self.within_begin_by(caller, connection.read_body()).await,
                false => self.unless_silent(caller, connection.read_body()).await,
            };
            let part = part.map_err(|interruption| interruption.closing(&mut connection))?;
            let events_before = reply.events.complete_events();
            let mut step = take_received(&mut reply.events, &mut connection, part);
            if let Some(Ok(end)) = step.end
                && self.is_cut_by_crash(caller, end).await?
            {
                step.end = Some(Err(BrokenAnswer::TargetCrashed));
            }
            let events = reply.events.complete_events() - events_before;
            if !step.events.is_empty() && !std::mem::replace(&mut has_begun, true) {
                self.state.on_answer_begun(&self.request.service, &self.request.causes);
                self.state.record_started(self.grant);
            }
            if let Some(sample) = pauses.on_events(clock::now(), events) {
                self.state.record_pauses(self.grant, sample);
            }
            let received_at = clock::now();
            if self.send_step(caller, &answer, reply, &step).await.is_err() {
                return Err(Interruption::CallerDisconnected);
            }
            if clock::now().since(received_at) > SLOW_CALLER_TIME {
                pauses = PauseMeter::default();
            }
            match step.end {
                None => {}
                Some(Ok(_)) => {
                    self.return_to_pool(connection, &answer);
                    return Ok(answered(&answer, reply.after_stream()));
                }
                Some(Err(broken)) => {
                    self.log_broken_off(&answer, &broken, reply.events.partial_bytes());
                    return Ok(AttemptResult::Failed(broken.failure()));
                }
            }
        }
    }

    /// Sends what a step adds to the response; the head goes with the first events or the end.
    async fn send_step(
        &self,
        caller: &mut InboundConnection,
        answer: &AnswerHead,
        reply: &mut CallerReply,
        step: &StreamStep,
    ) -> io::Result<()> {
        let ended = matches!(step.end, Some(Ok(_)));
        if ended || !step.events.is_empty() {
            reply.begin_stream(caller, answer, self.state.is_shutting_down())?;
        }
        if !step.events.is_empty() {
            caller.put_body(step.events.clone())?;
        }
        if ended {
            caller.put_end()?;
        }
        caller.flush().await
    }
}

/// Adds `part` and all further parts that have been received to the stream.
fn take_received(
    stream: &mut EventStream,
    connection: &mut OutboundConnection,
    part: Result<BodyPart, ExchangeError>,
) -> StreamStep {
    let mut events = Bytes::new();
    let mut received = Some(part);
    while let Some(part) = received {
        let end = match part {
            Ok(BodyPart::Data(bytes)) => {
                match stream.push(&bytes) {
                    Ok(complete) => events = concat(events, complete),
                    Err(fault) => return StreamStep { events, end: Some(Err(fault.into())) },
                }
                received = connection.decode_body().transpose();
                continue;
            }
            Ok(BodyPart::End) => AnswerEnd::Delimited,
            Ok(BodyPart::Closed) => AnswerEnd::Closed,
            Err(error) => return StreamStep { events, end: Some(Err(error.into())) },
        };
        return match stream.finish(end) {
            Ok(rest) => StreamStep { events: concat(events, rest), end: Some(Ok(end)) },
            Err(fault) => StreamStep { events, end: Some(Err(fault.into())) },
        };
    }
    StreamStep { events, end: None }
}

fn concat(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    if second.is_empty() {
        return first;
    }
    [first, second].concat().into()
}
