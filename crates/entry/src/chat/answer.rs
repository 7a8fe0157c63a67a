//! Answers: encodes the text that engines generate as responses to callers.

use std::cell::Cell;
use std::cell::RefCell;

use async_channel::Receiver;
use async_channel::Sender;
use domain::Failure;
use domain::Moment;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use web::Reply;
use web::body;

use super::internal;
use crate::node::Node;

/// The recorded answer to a request with a key, which is replayed to later requests with the key.
#[derive(Debug, Deserialize, Serialize)]
pub struct Record {
    /// The complete text.
    pub text: String,
    /// The length of the text, in tokens.
    pub tokens: u64,
}

/// The destination of generated text: the caller and, for a request with a key, its record.
pub struct Output<'a> {
    events: &'a Sender<Event>,
    text: Option<RefCell<String>>,
    /// When the first piece was sent to the caller.
    pub first_sent: Cell<Option<Moment>>,
}

impl<'a> Output<'a> {
    /// Returns an output that sends pieces to `events` and, if `is_recorded`, keeps them.
    pub fn new(events: &'a Sender<Event>, is_recorded: bool) -> Self {
        Self {
            events,
            text: is_recorded.then(RefCell::default),
            first_sent: Cell::new(None),
        }
    }

    /// Sends the next piece of the answer.
    pub async fn send(&self, text: String) {
        if self.first_sent.get().is_none() {
            self.first_sent.set(Some(clock::now()));
        }
        if let Some(record) = &self.text {
            record.borrow_mut().push_str(&text);
        }
        // Sending fails only if the caller has disconnected, which ends the request elsewhere.
        let _ = self.events.send(Event::Text(text)).await;
    }

    /// Returns the record of the complete answer.
    pub fn record(&self, tokens: u64) -> claim::Answer {
        let text = self.text.as_ref().map(RefCell::take).unwrap_or_default();
        let body = serde_json::to_vec(&Record { text, tokens }).unwrap_or_default();
        claim::Answer::new(200, "application/json", &body)
    }
}

/// An event of a running request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next piece of the answer.
    Text(String),
    /// The answer is complete.
    Done {
        /// The length of the answer, in tokens.
        tokens: u64,
    },
    /// The request failed. No event follows.
    Failed(Failure),
}

/// One event of a streamed answer. There is one for each token, so it borrows its parts instead of
/// cloning them.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<serde_json::Value>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// Encodes the answer in the response format of the API.
pub struct Encoder {
    /// The ID of the request.
    pub request_id: String,
    /// The name of the model that answers.
    pub model: String,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
}

impl Encoder {
    /// Waits for the end of the request and returns the complete answer as one response.
    pub async fn whole(&self, events: Receiver<Event>) -> Result<Reply, Failure> {
        let mut text = String::new();
        loop {
            match events.recv().await {
                Ok(Event::Text(piece)) => text.push_str(&piece),
                Ok(Event::Done { tokens }) => {
                    return Ok(Reply::json(&json!({
                        "id": self.request_id,
                        "object": "chat.completion",
                        "model": self.model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": text },
                            "finish_reason": "stop",
                        }],
                        "usage": self.usage(tokens),
                    })));
                }
                Ok(Event::Failed(failure)) => return Err(failure),
                Err(_) => return Err(internal()),
            }
        }
    }

    /// Returns a streamed response once the first event has arrived. A failure before that is
    /// returned with its own status.
    pub async fn stream(self, node: &Node, events: Receiver<Event>) -> Result<Reply, Failure> {
        let first = match events.recv().await {
            Ok(Event::Failed(failure)) => return Err(failure),
            Ok(event) => event,
            Err(_) => return Err(internal()),
        };
        let (writer, body) = body::channel();
        let forward = async move {
            let mut event = Some(first);
            while let Some(current) = event {
                let line = self.encode_event(&current);
                if writer.send(line.into_bytes()).await.is_err() {
                    return;
                }
                event = match current {
                    Event::Text(_) => events.recv().await.ok(),
                    Event::Done { .. } | Event::Failed(_) => None,
                };
            }
        };
        node.executor.spawn(forward).detach();
        Ok(Reply::stream("text/event-stream", body))
    }

    fn encode_event(&self, event: &Event) -> String {
        match event {
            Event::Text(text) => self.encode_chunk(
                Delta {
                    content: Some(text),
                },
                None,
            ),
            Event::Done { tokens } => {
                let last = self.encode_chunk(Delta { content: None }, Some(*tokens));
                format!("{last}data: [DONE]\n\n")
            }
            Event::Failed(failure) => format!("data: {}\n\n", json!({ "error": failure })),
        }
    }

    fn encode_chunk(&self, delta: Delta<'_>, tokens: Option<u64>) -> String {
        let chunk = Chunk {
            id: &self.request_id,
            object: "chat.completion.chunk",
            model: &self.model,
            choices: [Choice {
                index: 0,
                delta,
                finish_reason: tokens.map(|_| "stop"),
            }],
            usage: tokens.map(|it| self.usage(it)),
        };
        format!(
            "data: {}\n\n",
            serde_json::to_string(&chunk).unwrap_or_default()
        )
    }

    fn usage(&self, tokens: u64) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        })
    }
}
