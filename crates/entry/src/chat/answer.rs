//! Answers: from the pieces that engines send to what the caller gets.

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

/// What is kept of the answer to a request with a key.
#[derive(Debug, Deserialize, Serialize)]
pub struct Record {
    /// The text.
    pub text: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Where the answer goes: to the caller and, for a request with a key, into its record.
pub struct Output<'a> {
    events: &'a Sender<Event>,
    text: Option<RefCell<String>>,
    /// When the first piece was sent.
    pub first_sent: Cell<Option<Moment>>,
}

impl<'a> Output<'a> {
    /// Returns an output that passes pieces on to `events`.
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
        // A failed send means that the caller has left, which ends the request.
        let _ = self.events.send(Event::Text(text)).await;
    }

    /// Returns the record of a whole answer.
    pub fn record(&self, tokens: u64) -> claim::Answer {
        let text = self.text.as_ref().map(RefCell::take).unwrap_or_default();
        let body = serde_json::to_vec(&Record { text, tokens }).unwrap_or_default();
        claim::Answer::new(200, "application/json", &body)
    }
}

/// What happens to a request on its way.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next piece of the answer.
    Text(String),
    /// The answer is whole.
    Done {
        /// Its length in tokens.
        tokens: u64,
    },
    /// The request failed; nothing follows.
    Failed(Failure),
}

/// One event of a streamed answer. One goes out for each token, so it is written from borrowed parts.
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

/// Shapes the answer for the caller.
pub struct Encoder {
    /// The name of the request.
    pub request_id: String,
    /// The model that answers.
    pub model: String,
    /// The length of the prompt.
    pub prompt_tokens: u64,
}

impl Encoder {
    /// Waits for the end and answers with the whole text.
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

    /// Answers with a status of its own until the first piece has come, then with a stream.
    pub async fn stream(self, node: &Node, events: Receiver<Event>) -> Result<Reply, Failure> {
        let first = match events.recv().await {
            Ok(Event::Failed(failure)) => return Err(failure),
            Ok(event) => event,
            Err(_) => return Err(internal()),
        };
        let (writer, body) = body::channel();
        let copy = async move {
            let mut event = Some(first);
            while let Some(present) = event {
                let line = self.line(&present);
                if writer.send(line.into_bytes()).await.is_err() {
                    return;
                }
                event = match present {
                    Event::Text(_) => events.recv().await.ok(),
                    Event::Done { .. } | Event::Failed(_) => None,
                };
            }
        };
        node.executor.spawn(copy).detach();
        Ok(Reply::stream("text/event-stream", body))
    }

    fn line(&self, event: &Event) -> String {
        match event {
            Event::Text(text) => self.chunk(
                Delta {
                    content: Some(text),
                },
                None,
            ),
            Event::Done { tokens } => {
                let last = self.chunk(Delta { content: None }, Some(*tokens));
                format!("{last}data: [DONE]\n\n")
            }
            Event::Failed(failure) => format!("data: {}\n\n", json!({ "error": failure })),
        }
    }

    fn chunk(&self, delta: Delta<'_>, tokens: Option<u64>) -> String {
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
