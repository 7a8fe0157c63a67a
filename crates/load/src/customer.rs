//! A caller with a bearer key.

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

/// The time that a caller of a test waits at most.
const PATIENCE: Duration = Duration::from_secs(60);

/// A caller with a bearer key.
#[derive(Clone, Debug)]
pub struct Customer {
    client: Client,
    secret: String,
}

/// A prompt to be sent.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The text.
    pub text: String,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Marks the request as non-idempotent.
    pub key: Option<String>,
    /// Seconds that it may take; the contract's limit if absent.
    pub timeout_s: Option<f64>,
}

/// What came back for a prompt.
#[derive(Clone, Debug)]
pub struct Received {
    /// The name of the request.
    pub id: String,
    /// The time to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// The time to the end.
    pub took: Duration,
    /// The text, or how it failed.
    pub result: Result<String, Failure>,
}

impl Prompt {
    /// Returns a prompt of `tokens` tokens that differs for each `seed`.
    pub fn new(tokens: u64, answer_tokens: u64, seed: u64) -> Self {
        let start = format!("{seed:016x} thread about cloudy water, cichlid fry and late buses. ");
        let length = (tokens * domain::length::BYTES_PER_TOKEN) as usize;
        let mut text = start.repeat(length.div_ceil(start.len()));
        text.truncate(length);
        Self {
            text,
            answer_tokens,
            key: None,
            timeout_s: None,
        }
    }

    /// Marks the request as non-idempotent.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Returns the whole answer that belongs to this prompt.
    pub fn expected(&self) -> String {
        answer::whole(&self.text, self.answer_tokens)
    }
}

impl Received {
    /// Tells whether the answer is the whole answer to `prompt`.
    pub fn is_whole(&self, prompt: &Prompt) -> bool {
        self.result
            .as_ref()
            .is_ok_and(|text| *text == prompt.expected())
    }
}

impl Customer {
    /// Returns a caller with the given bearer key.
    pub fn new(secret: impl Into<String>) -> Self {
        Self {
            client: Client::default(),
            secret: secret.into(),
        }
    }

    /// Asks an entry which addresses to use.
    pub async fn entries(&self, entry: SocketAddr) -> Result<Entries> {
        let call = Call::get(entry, "/v1/entries");
        Ok(self.client.fetch(&call, PATIENCE).await?)
    }

    /// Sends a prompt and reads the streamed answer to its end.
    pub async fn prompt(&self, entry: SocketAddr, prompt: &Prompt) -> Result<Received> {
        let body = json!({
            "model": "assistant",
            "stream": true,
            "max_tokens": prompt.answer_tokens,
            "messages": [{ "role": "user", "content": prompt.text }],
        });
        let mut call = self.sign(Call::json(entry, "/v1/chat/completions", &body));
        if let Some(key) = &prompt.key {
            call = call.header("Idempotency-Key", key);
        }
        if let Some(seconds) = prompt.timeout_s {
            call = call.header("Request-Timeout", seconds.to_string());
        }
        let start = Instant::now();
        let mut answer = self.client.send_unpooled(&call, PATIENCE).await?;
        let id = answer.header("Request-Id").unwrap_or_default().to_owned();
        let mut received = Received {
            id,
            first_token: None,
            took: Duration::ZERO,
            result: Ok(String::new()),
        };
        if answer.is_success() {
            received.read(&mut answer, start).await?;
        } else {
            received.result = Err(failure(&answer.bytes().await?)?);
        }
        received.took = start.elapsed();
        Ok(received)
    }

    /// Calls a plain service. Returns the status and the body.
    pub async fn service(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
    ) -> Result<(u16, Value)> {
        let mut call = self.sign(Call::json(
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
        let mut answer = self.client.send_unpooled(call, PATIENCE).await?;
        let body = answer.bytes().await?;
        Ok((
            answer.status(),
            serde_json::from_slice(&body).unwrap_or(Value::Null),
        ))
    }

    /// Takes tickets from an entry.
    pub async fn tickets(&self, entry: SocketAddr, count: usize) -> Result<Vec<Key>> {
        let path = format!("/v1/keys?count={count}");
        let call = self.sign(Call::post(entry, path, Vec::new()));
        let keys: Keys = self.client.fetch(&call, PATIENCE).await?;
        Ok(keys.keys)
    }

    /// Adds the bearer key to a call.
    pub fn sign(&self, call: Call) -> Call {
        call.header("Authorization", format!("Bearer {}", self.secret))
    }
}

impl Received {
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
                self.result = Err(failure(data.as_bytes())?);
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

/// Reads the failure from an error body.
pub fn failure(body: &[u8]) -> Result<Failure> {
    let value: Value = serde_json::from_slice(body)?;
    let failure = value.get("error").context("no `error` in the body")?;
    Ok(serde_json::from_value(failure.clone())?)
}

/// Mints an idempotency key as a caller does.
pub fn mint() -> Key {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;

    static MINTED: AtomicU64 = AtomicU64::new(0);
    let number = MINTED.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let random = u128::from(digest::seeded(&number.to_be_bytes(), process));
    Key::generate(clock::since_epoch(), random)
}
