//! Prompts: parsing and validation of the request body.

use std::time::Duration;

use domain::Failure;
use domain::Length;
use domain::Moment;
use domain::digest;
use domain::failure::Kind;
use domain::length;
use routing::Job;
use routing::job::Tenant;
use routing::quarantine::Fingerprint;
use serde::Deserialize;

use crate::node::Node;
use crate::request::Head;
use crate::trace;

/// The limit on answer tokens if the caller sets none.
const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// The maximum limit on answer tokens that a caller may set.
const ANSWER_TOKENS_LIMIT: u64 = 16_384;
/// The length of the prefix by which prompts with an equal start are recognised, in bytes.
const PREFIX_BYTES: usize = 4_096;

/// The body of a chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub struct Body {
    /// The model's name.
    pub model: String,
    /// The messages of the conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The limit on the length of the answer, in tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// The role of the author.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// A validated prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// The text of all messages, joined by newlines.
    pub text: String,
    /// The length of the text, in tokens.
    pub tokens: u64,
    /// The limit on the length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Describes the prompt for the quarantine. Its parts are all messages but the last, which other
    /// prompts may share.
    pub fingerprint: Fingerprint,
}

impl Prompt {
    /// Parses a request body and validates it against the contract.
    pub fn parse(body: Body, head: &Head) -> Result<Self, Failure> {
        if body.messages.is_empty() {
            let message = "`messages` is empty: send at least one message";
            return Err(Failure::refused(Kind::Malformed, message));
        }
        let answer_tokens = body.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if answer_tokens == 0 || answer_tokens > ANSWER_TOKENS_LIMIT {
            let message = format!("`max_tokens` must be between 1 and {ANSWER_TOKENS_LIMIT}");
            return Err(Failure::refused(Kind::Malformed, message));
        }
        let model = digest::fast(body.model.as_bytes());
        let contents = body.messages.iter().map(|it| it.content.as_bytes());
        let mut parts: Vec<u64> = contents.map(|it| digest::seeded(it, model)).collect();
        parts.pop();
        let mut messages = body.messages.into_iter().map(|it| it.content);
        let mut text = messages.next().unwrap_or_default();
        for content in messages {
            text.push('\n');
            text.push_str(&content);
        }
        let tokens = length::tokens(text.len());
        let limit = head.contract.longest_prompt_tokens;
        if tokens > limit {
            let message = format!(
                "the prompt has {tokens} tokens and the contract allows {limit}: shorten it"
            );
            return Err(Failure::refused(Kind::TooLong, message));
        }
        let fingerprint = Fingerprint {
            request: digest::seeded(text.as_bytes(), model),
            parts,
        };
        Ok(Self {
            model: body.model,
            text,
            tokens,
            answer_tokens,
            fingerprint,
        })
    }

    /// Returns the job to queue for an engine.
    pub fn job(&self, node: &Node, id: trace::RequestId, head: &Head, now: Moment) -> Job {
        let prefix = &self.text.as_bytes()[..self.text.len().min(PREFIX_BYTES)];
        let core = node.core.borrow();
        let firm_weight = core
            .view
            .firms
            .get(&head.contract.firm)
            .map_or(1, |it| it.share);
        Job {
            id: id.number,
            tenant: Tenant {
                firm: head.contract.firm.clone(),
                firm_weight,
                customer: head.contract.customer.clone(),
                customer_weight: head.contract.share,
            },
            model: self.model.clone(),
            prompt_tokens: self.tokens,
            answer_tokens: self.answer_tokens,
            admitted: now,
            deadline: head.deadline,
            prefix: digest::fast(prefix),
            excluded: Vec::new(),
            failures: 0,
            memory_refusals: 0,
        }
    }

    /// Returns the objective for the time to first token: the model's objective, plus the engine
    /// time of the prefill for a long prompt.
    pub fn first_token_objective(&self, node: &Node) -> Duration {
        let core = node.core.borrow();
        let objective = core
            .view
            .models
            .get(&self.model)
            .map_or(0, |it| it.first_token_ms);
        let objective = Duration::from_millis(objective);
        match Length::of(self.tokens) {
            Length::Short | Length::Medium => objective,
            Length::Long | Length::Huge => objective + core.router.cost(self.tokens),
        }
    }
}
