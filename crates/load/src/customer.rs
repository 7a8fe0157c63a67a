//! A customer's client with a bearer key.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use domain::Failure;
use domain::Key;
use domain::digest;
use entry::callers::Entries;
use entry::callers::Keys;
use fakes::answer;
use serde_json::Value;
use serde_json::json;
use web::Client;
use web::client::Answer;
use web::client::Call;

/// The timeout of every call.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A customer's client, which sends requests with a bearer key.
#[derive(Clone, Debug)]
pub struct Customer {
    client: Client,
    secret: String,
}

/// A prompt to be sent.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The text. Each line is a message of the conversation.
    pub text: String,
    /// The number of tokens of the answer.
    pub answer_tokens: u64,
    /// The idempotency key, which marks the request as non-idempotent.
    pub idempotency_key: Option<String>,
    /// The timeout in seconds; the contract's time limit if `None`.
    pub timeout_s: Option<f64>,
}

/// The response to a prompt.
#[derive(Clone, Debug)]
pub struct Response {
    /// The ID of the request.
    pub id: String,
    /// The time to the first token; `None` if no token was received.
    pub first_token: Option<Duration>,
    /// The time to the end of the response.
    pub elapsed: Duration,
    /// The text of the answer, or the failure.
    pub result: Result<String, Failure>,
}

impl Prompt {
    /// Returns a prompt of `tokens` tokens that is unique for each `seed`.
    pub fn new(tokens: u64, answer_tokens: u64, seed: u64) -> Self {
        let start = format!("{seed:016x} thread about cloudy water, cichlid fry and late buses. ");
        let length = (tokens * domain::length::BYTES_PER_TOKEN) as usize;
        let mut text = start.repeat(length.div_ceil(start.len()));
        text.truncate(length);
        Self {
            text,
            answer_tokens,
            idempotency_key: None,
            timeout_s: None,
        }
    }

    /// Sets the idempotency key, which marks the request as non-idempotent.
    pub fn with_idempotency_key(mut self, key: impl Into<String>) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }

    /// Returns the complete answer that a fake engine generates for this prompt.
    pub fn expected_answer(&self) -> String {
        answer::complete(&self.text, self.answer_tokens)
    }
}

impl Response {
    /// Returns whether this is the complete answer to `prompt`.
    pub fn is_complete(&self, prompt: &Prompt) -> bool {
        self.result
            .as_ref()
            .is_ok_and(|text| *text == prompt.expected_answer())
    }
}

impl Customer {
    /// Returns a client with the given bearer key.
    pub fn new(secret: impl Into<String>) -> Self {
        Self {
            client: Client::default(),
            secret: secret.into(),
        }
    }

    /// Requests the addresses of all entries from one entry.
    pub async fn entries(&self, entry: SocketAddr) -> Result<Entries> {
        let call = Call::get(entry, "/v1/entries");
        Ok(self.client.fetch(&call, TIMEOUT).await?)
    }

    /// Sends a prompt and reads the streamed answer to its end.
    pub async fn prompt(&self, entry: SocketAddr, prompt: &Prompt) -> Result<Response> {
        let lines = prompt.text.split('\n');
        let messages: Vec<_> = lines
            .map(|it| json!({ "role": "user", "content": it }))
            .collect();
        let body = json!({
            "model": "assistant",
            "stream": true,
            "max_tokens": prompt.answer_tokens,
            "messages": messages,
        });
        let mut call = self.authenticate(Call::json(entry, "/v1/chat/completions", &body));
        if let Some(key) = &prompt.idempotency_key {
            call = call.header("Idempotency-Key", key);
        }
        if let Some(seconds) = prompt.timeout_s {
            call = call.header("Request-Timeout", seconds.to_string());
        }
        let start = Instant::now();
        let mut answer = self.client.send_unpooled(&call, TIMEOUT).await?;
        let id = answer.header("Request-Id").unwrap_or_default().to_owned();
        let mut received = Response {
            id,
            first_token: None,
            elapsed: Duration::ZERO,
            result: Ok(String::new()),
        };
        if answer.is_success() {
            received.read(&mut answer, start).await?;
        } else {
            received.result = Err(parse_failure(&answer.bytes().await?)?);
        }
        received.elapsed = start.elapsed();
        Ok(received)
    }

    /// Calls a plain service. Returns the status and the body.
    pub async fn service(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
    ) -> Result<(u16, Value)> {
        let mut call = self.authenticate(Call::json(
            entry,
            format!("/v1/services/{path}"),
            &json!({}),
        ));
        if let Some(key) = key {
            call = call.header("Idempotency-Key", key);
        }
        self.send(&call).await
    }

    /// Sends any call. Returns the status and the body.
    pub async fn send(&self, call: &Call) -> Result<(u16, Value)> {
        let mut answer = self.client.send_unpooled(call, TIMEOUT).await?;
        let body = answer.bytes().await?;
        Ok((
            answer.status(),
            serde_json::from_slice(&body).unwrap_or(Value::Null),
        ))
    }

    /// Requests tickets from an entry.
    pub async fn tickets(&self, entry: SocketAddr, count: usize) -> Result<Vec<Key>> {
        let path = format!("/v1/keys?count={count}");
        let call = self.authenticate(Call::post(entry, path, Vec::new()));
        let keys: Keys = self.client.fetch(&call, TIMEOUT).await?;
        Ok(keys.keys)
    }

    /// Adds the bearer key to a call.
    pub fn authenticate(&self, call: Call) -> Call {
        call.header("Authorization", format!("Bearer {}", self.secret))
    }
}

impl Response {
    async fn read(&mut self, answer: &mut Answer, start: Instant) -> Result<()> {
        let mut text = String::new();
        let mut is_done = false;
        while let Some(line) = answer.line().await? {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                is_done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data)?;
            if !event["error"].is_null() {
                self.result = Err(parse_failure(data.as_bytes())?);
                return Ok(());
            }
            if let Some(piece) = event["choices"][0]["delta"]["content"].as_str() {
                self.first_token.get_or_insert_with(|| start.elapsed());
                text.push_str(piece);
            }
        }
        anyhow::ensure!(is_done, "the stream ended without [DONE] or an error");
        self.result = Ok(text);
        Ok(())
    }
}

/// Parses the failure in the body of an error response.
pub fn parse_failure(body: &[u8]) -> Result<Failure> {
    let value: Value = serde_json::from_slice(body)?;
    let failure = value
        .get("error")
        .context("the body has no `error` field")?;
    Ok(serde_json::from_value(failure.clone())?)
}

/// Generates an idempotency key, as a caller would.
pub fn generate_key() -> Key {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;

    static GENERATED: AtomicU64 = AtomicU64::new(0);
    let number = GENERATED.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let random = u128::from(digest::seeded(&number.to_be_bytes(), process));
    Key::generate(clock::since_epoch(), random)
}
