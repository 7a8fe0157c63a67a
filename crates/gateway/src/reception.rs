//! A request that was sent over a connection, and what has arrived of its response so far.
//!
//! Receiving can be interrupted at any moment and go on later without a loss, so that a server that falls silent
//! can be left for another one and still be heard if it goes on.

use std::rc::Rc;

use h1::Error;
use h1::Framing;
use h1::Response;
use h1::Stream;
use h1::body::Decoder;

use crate::Node;
use crate::checkup;
use crate::connections::Connection;
use crate::dial;
use crate::dial::Reuse;
use crate::events::Splitter;
use crate::exchange::Exchange;
use crate::held;
use crate::held::Kind;
use crate::outcome::Outcome;
use crate::port::Verdict;
use crate::refusal;
use crate::relay::Answer;
use crate::relay::State;
use crate::source::Source;
use crate::upload::Upload;

/// The size limit of a response head, in bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 * 1024;
/// The number of bytes that have arrived after which an answer counts as there, without a look at them.
const ANSWER_CHECK_LIMIT: usize = 64 * 1024;

/// A request that was sent over a connection, and what has arrived of its response.
pub struct Reception {
    connection: Connection,
    method: String,
    /// The id of the request, which the response repeats.
    request_id: Option<String>,
    upload: Upload,
    /// Whether a successful answer is a stream.
    expects_stream: bool,
    stage: Stage,
}

/// How much of a response has arrived.
enum Stage {
    /// Not the whole head.
    Head,
    /// The head, and a part of a body that is passed on as a whole.
    Whole(Box<Whole>),
    /// The head of a stream, and a part of its events.
    Events(Box<Events>),
}

struct Whole {
    response: Response,
    verdict: Verdict,
    decoder: Decoder,
    body: held::Body,
}

struct Events {
    /// The head, until it is sent to the caller.
    head: Option<Response>,
    framing: Framing,
    reuse: Option<Reuse>,
    decoder: Decoder,
    splitter: Splitter,
    /// The passes that earlier attempts took; `None` if this instance does not count them.
    earlier_passes: Option<u64>,
    has_started: bool,
}

/// The result of an attempt whose response was read to its end.
pub struct Completion {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the connection can be reused.
    pub reuse: Option<Reuse>,
}

impl Reception {
    /// Sends a request over a connection.
    pub fn send(
        node: &Node,
        exchange: &Exchange,
        connection: Connection,
        mut head: h1::Request,
    ) -> Self {
        let body = exchange.body.clone();
        if !body.bytes.is_empty() || exchange.request.framing != Framing::Empty {
            head.framing = Framing::Length(body.bytes.len() as u64);
        }
        let writer = connection.stream.writer();
        let upload = Upload::start(node, writer, head.encode(), body);
        Self {
            connection,
            method: head.method,
            request_id: exchange.metadata.id.clone(),
            upload,
            expects_stream: exchange.route.kind.is_stream(),
            stage: Stage::Head,
        }
    }

    /// Receives the response and relays a stream to the caller, event by event. The future may be dropped
    /// and this be called again.
    pub async fn receive(
        &mut self,
        node: &Rc<Node>,
        exchange: &mut Exchange,
        answer: &mut Answer,
        source: Source<'_>,
    ) -> Result<Completion, Error> {
        if matches!(self.stage, Stage::Head) {
            self.stage = self.receive_head(node, exchange, answer, source).await?;
        }
        let completion = match &mut self.stage {
            Stage::Events(events) => {
                exchange.ending.framing = Some(events.framing);
                let (stream, upload) = (&mut self.connection.stream, &mut self.upload);
                let relayed = events.relay(node, exchange, stream, upload, answer, source);
                relayed.await
            }
            Stage::Head | Stage::Whole(_) => {
                self.receive_whole(node, exchange, answer, source).await
            }
        };
        let mut completion = completion?;
        completion.reuse = completion.reuse.filter(|_| self.upload.is_finished());
        Ok(completion)
    }

    /// Completes once something has arrived that can be passed on: a whole answer, or an event. Fails if the
    /// connection ends or fails before.
    pub async fn answered(&mut self, node: &Node, source: Source<'_>) -> Result<(), Error> {
        while !self.has_answer(node, source)? {
            if self.connection.stream.fill().await? == 0 {
                return match self.is_success_at_end(node, source)? {
                    true => self.upload.check_taken().await,
                    false => Ok(()),
                };
            }
        }
        Ok(())
    }

    /// Returns whether what has arrived and was not received yet completes the answer or an event.
    fn has_answer(&self, node: &Node, source: Source<'_>) -> Result<bool, Error> {
        let bytes = self.connection.stream.buffered();
        if bytes.len() > ANSWER_CHECK_LIMIT {
            return Ok(true);
        }
        let (decoder, splitter, bytes) = match &self.stage {
            Stage::Head => {
                let Some((response, length)) = Response::parse(bytes, &self.method)? else {
                    return Ok(false);
                };
                let verdict = self.check_head(node, &response, source)?;
                let is_stream = self.is_stream(&response, &verdict);
                let splitter = is_stream.then(Splitter::ignoring_ids);
                let decoder = Decoder::new(response.framing);
                (decoder, splitter, &bytes[length..])
            }
            Stage::Whole(whole) => (whole.decoder.clone(), None, bytes),
            Stage::Events(events) => (events.decoder.clone(), Some(events.splitter.clone()), bytes),
        };
        let mut decoder = decoder;
        let mut body = Vec::new();
        decoder.decode(bytes, &mut body)?;
        let has_event = match splitter {
            Some(mut splitter) => !splitter.push(&body)?.is_empty(),
            None => false,
        };
        Ok(has_event || decoder.is_done())
    }

    /// Returns whether the answer, which is whole when its connection ends, is a success. Fails if it is not whole: its
    /// body does not end with the connection, or is a stream, which may have been cut there.
    fn is_success_at_end(&self, node: &Node, source: Source<'_>) -> Result<bool, Error> {
        let bytes = self.connection.stream.buffered();
        let (framing, is_success, has_body) = match &self.stage {
            Stage::Head => {
                let parsed = Response::parse(bytes, &self.method)?;
                let (response, length) = parsed.ok_or(Error::Truncated)?;
                let verdict = self.check_head(node, &response, source)?;
                let has_body = bytes.len() > length && !self.is_stream(&response, &verdict);
                (response.framing, response.is_success(), has_body)
            }
            Stage::Whole(whole) => {
                let has_body = !(whole.body.bytes.is_empty() && bytes.is_empty());
                let response = &whole.response;
                (response.framing, response.is_success(), has_body)
            }
            Stage::Events(_) => return Err(Error::Truncated),
        };
        match framing == Framing::UntilClose && has_body {
            true => Ok(is_success),
            false => Err(Error::Truncated),
        }
    }

    /// Returns the connection.
    pub fn into_connection(self) -> Connection {
        self.connection
    }

    async fn receive_head(
        &mut self,
        node: &Rc<Node>,
        exchange: &mut Exchange,
        answer: &Answer,
        source: Source<'_>,
    ) -> Result<Stage, Error> {
        let response = self
            .connection
            .stream
            .read_response(&self.method, RESPONSE_HEAD_LIMIT)
            .await?;
        exchange.ending.framing = Some(response.framing);
        let verdict = self.check_head(node, &response, source)?;
        source.record_response(node, &response, exchange.sent_at);
        if self.is_stream(&response, &verdict) {
            let events = Events::new(exchange, response, source);
            return Ok(Stage::Events(Box::new(events)));
        }
        Ok(Stage::Whole(Box::new(Whole {
            verdict,
            decoder: Decoder::new(response.framing),
            body: answer.outbox().account().empty_body(Kind::Answer),
            response,
        })))
    }

    /// Returns whether a response is relayed event by event. A body that is declared to be empty is passed on
    /// unchanged, but does not complete a stream.
    fn is_stream(&self, response: &Response, verdict: &Verdict) -> bool {
        let is_empty = matches!(response.framing, Framing::Empty | Framing::Length(0));
        let is_served = *verdict == Verdict::Ran && response.status == 200;
        self.expects_stream && is_served && !is_empty
    }

    /// Returns whether the request ran. Fails if the response may belong to another request, or is damaged.
    fn check_head(
        &self,
        node: &Node,
        response: &Response,
        source: Source<'_>,
    ) -> Result<Verdict, Error> {
        self.check_id(node, response, source)?;
        node.protocol.verdict(response)
    }

    /// Fails if the response may belong to another request. Without an id, only its place on the connection
    /// says which request it answers, and a faulty server may repeat an earlier response there.
    fn check_id(&self, node: &Node, response: &Response, source: Source<'_>) -> Result<(), Error> {
        let may_be_earlier = self.connection.is_reused && !source.is_peer();
        let expected = self.request_id.as_deref();
        match (expected, node.protocol.response_id(response)) {
            (Some(expected), Some(found)) if expected != found => Err(Error::Malformed(
                "the response carries the id of another request",
            )),
            (None, _) | (_, None) if may_be_earlier => Err(Error::Malformed(
                "the response lacks the id that tells it from those to earlier requests",
            )),
            _ => Ok(()),
        }
    }

    async fn receive_whole(
        &mut self,
        node: &Rc<Node>,
        exchange: &mut Exchange,
        answer: &Answer,
        source: Source<'_>,
    ) -> Result<Completion, Error> {
        if let Stage::Whole(whole) = &mut self.stage {
            exchange.ending.framing = Some(whole.response.framing);
            let account = answer.outbox().account();
            let Whole { decoder, body, .. } = &mut **whole;
            let limit = held::ANSWER_LIMIT;
            let read = account.read_into(
                body,
                &mut self.connection.stream,
                decoder,
                limit,
                usize::MAX,
            );
            read.await?;
            if ends_with_connection(&whole.response) {
                check_body(&whole.body)?;
                self.upload.check_taken().await?;
            }
        }
        let Stage::Whole(whole) = std::mem::replace(&mut self.stage, Stage::Head) else {
            return Err(Error::Closed);
        };
        let Whole {
            response,
            verdict,
            body,
            ..
        } = *whole;
        let reuse = Reuse::of(&response);
        let outcome = match verdict {
            Verdict::Ran if answer.state() == State::NotBegun => Outcome::Answered(response, body),
            // Another entry can't take the stream now.
            Verdict::Ran if source.is_peer() && refusal::promises_not_run(response.status) => {
                Outcome::NotRun
            }
            Verdict::Ran => {
                return Err(Error::Malformed(
                    "the server answered a resumed request without a stream",
                ));
            }
            Verdict::NotRun { helper_address } => {
                if let Some(address) = helper_address {
                    checkup::start_at(node, address);
                }
                Outcome::NotRun
            }
            Verdict::OtherServer => Outcome::OtherServer,
        };
        Ok(Completion { outcome, reuse })
    }
}

/// Returns whether a response is a success whose body ends with the connection.
fn ends_with_connection(response: &Response) -> bool {
    response.is_success() && response.framing == Framing::UntilClose
}

/// Fails if a body that ends with the connection may have broken off before its first byte. The end of a connection
/// shows only that the server sends no more.
fn check_body(body: &held::Body) -> Result<(), Error> {
    match body.bytes.is_empty() {
        true => Err(Error::Truncated),
        false => Ok(()),
    }
}

impl Events {
    fn new(exchange: &Exchange, response: Response, source: Source<'_>) -> Self {
        let is_counted = exchange.passes > 0 || source.counts_first_pass(exchange);
        let is_resumable = exchange.route.kind.is_retryable() || exchange.last_event.is_some();
        let mut splitter = match is_resumable {
            true => Splitter::after(exchange.last_event),
            false => Splitter::ignoring_ids(),
        };
        if exchange.expects_event {
            splitter.expect_event();
        }
        Self {
            framing: response.framing,
            reuse: Reuse::of(&response),
            decoder: Decoder::new(response.framing),
            splitter,
            earlier_passes: is_counted.then_some(exchange.passes),
            has_started: false,
            head: Some(response),
        }
    }

    /// Relays the events to the caller as they arrive.
    async fn relay(
        &mut self,
        node: &Node,
        exchange: &mut Exchange,
        stream: &mut Stream,
        upload: &mut Upload,
        answer: &mut Answer,
        source: Source<'_>,
    ) -> Result<Completion, Error> {
        let unsent = answer.outbox().account().charge(Kind::Stream);
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let has_more = stream.read_body(&mut self.decoder, &mut bytes).await?;
            if !has_more && self.framing == Framing::UntilClose {
                upload.check_taken().await?;
            }
            let ready = self.splitter.push(&bytes)?;
            exchange.ending.event_count = self.splitter.event_count();
            exchange.ending.has_damaged_id = self.splitter.has_damaged_id();
            if let Some(earlier) = self.earlier_passes {
                exchange.passes = earlier + self.splitter.new_event_count();
            }
            let end = (!has_more).then(|| self.splitter.finish(self.framing));
            if end.is_some() {
                exchange.ending.partial_event_bytes = self.splitter.partial_event_len();
                node.metrics
                    .record_stream_end(self.framing, self.splitter.partial_event_len());
            }
            if !ready.is_empty() {
                exchange.timing.record(clock::now());
                source.record_events(node, exchange, !self.has_started);
                self.has_started = true;
            }
            let is_complete = matches!(end, Some(Ok(())));
            unsent.set(ready.len() + self.splitter.partial_event_len());
            if !answer.outbox().has_room(ready.len()) {
                node.metrics.buffer_stops.inc();
                let partial = self.splitter.partial_event_len();
                unsent.set(ready.len() + partial + dial::RECEIVED_LIMIT);
                source.stopped();
                answer.outbox().room(ready.len()).await;
                source.resumed();
            }
            let is_first = answer.state() == State::NotBegun;
            let head = self
                .head
                .take_if(|_| is_first && (is_complete || !ready.is_empty()));
            if head.is_some() {
                let elapsed = clock::now().since(exchange.arrived);
                node.metrics
                    .record_first_event(&exchange.route.name, elapsed);
            }
            let sent = if is_complete {
                answer.end_stream(head, &ready)
            } else if ready.is_empty() {
                Ok(())
            } else {
                answer.send_events(head, &ready)
            };
            source.passed_on();
            exchange.last_event = self.splitter.last_id();
            exchange.can_resume = self.splitter.can_resume();
            exchange.expects_event = self.splitter.expects_event();
            if sent.is_err() {
                return Ok(Completion {
                    outcome: Outcome::CallerLeft,
                    reuse: None,
                });
            }
            unsent.set(self.splitter.partial_event_len());
            end.transpose()?;
            if !has_more {
                return Ok(Completion {
                    outcome: Outcome::Delivered,
                    reuse: self.reuse,
                });
            }
        }
    }
}
