//! The parts that all requests have in common: contract, deadline and idempotency key.

use std::rc::Rc;
use std::time::Duration;

use domain::Contract;
use domain::Failure;
use domain::Key;
use domain::Moment;
use domain::digest;
use domain::failure::Kind;
use web::Exchange;

use crate::node::Node;

/// The bytes that a body may have in addition to the longest prompt.
const BODY_ALLOWANCE: u64 = 64 * 1024;
/// The bytes of JSON for one byte of a prompt, to allow for escapes.
const ESCAPE_FACTOR: u64 = 2;

/// The evaluated headers of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The contract of the customer who sent the request.
    pub contract: Rc<Contract>,
    /// The deadline for completing the request.
    pub deadline: Moment,
    /// The idempotency key. A request with a key runs at most once.
    pub key: Option<Key>,
}

impl Head {
    /// Evaluates the headers of a request that arrived at `now`.
    pub fn read(node: &Node, exchange: &Exchange, now: Moment) -> Result<Self, Failure> {
        let contract = contract(node, exchange)?;
        let limit = time_limit(exchange, &contract)?;
        let key = exchange
            .header("Idempotency-Key")
            .map(Key::parse)
            .transpose();
        let key = key.map_err(|error| {
            Failure::refused(Kind::Malformed, format!("Idempotency-Key {error}"))
        })?;
        Ok(Self {
            contract,
            deadline: now + limit,
            key,
        })
    }

    /// Returns the maximum body length that the contract allows, in bytes.
    pub fn body_limit(&self) -> u64 {
        let prompt = self.contract.longest_prompt_tokens * domain::length::BYTES_PER_TOKEN;
        prompt * ESCAPE_FACTOR + BODY_ALLOWANCE
    }
}

/// Authenticates a caller by its bearer key and returns its contract.
pub fn contract(node: &Node, exchange: &Exchange) -> Result<Rc<Contract>, Failure> {
    let header = exchange.header("Authorization").ok_or_else(|| {
        let message = "the Authorization header is missing: send `Authorization: Bearer KEY`";
        Failure::refused(Kind::KeyMissing, message)
    })?;
    let secret = header.strip_prefix("Bearer ").ok_or_else(|| {
        let message = "the Authorization header has an unsupported scheme: send `Bearer KEY`";
        Failure::refused(Kind::KeyMissing, message)
    })?;
    let hash = digest::sha256_hex(secret.trim());
    let core = node.core.borrow();
    let contract = core.view.contract_by_key_hash(&hash).ok_or_else(|| {
        let message = "the bearer key does not belong to a contract: ask your firm for a valid key";
        Failure::refused(Kind::KeyUnknown, message)
    })?;
    if !contract.is_valid(clock::since_epoch()) {
        let message = "the contract is not valid at this time: ask your firm to renew it";
        return Err(Failure::refused(Kind::ContractExpired, message));
    }
    Ok(contract.clone())
}

fn time_limit(exchange: &Exchange, contract: &Contract) -> Result<Duration, Failure> {
    let Some(text) = exchange.header("Request-Timeout") else {
        return Ok(contract.time_limit());
    };
    let seconds = text
        .trim()
        .parse::<f64>()
        .ok()
        .filter(|it| it.is_finite() && *it > 0.0);
    let seconds = seconds.ok_or_else(|| {
        let message = "Request-Timeout is not a positive number of seconds: correct or remove it";
        Failure::refused(Kind::Malformed, message)
    })?;
    Ok(contract
        .time_limit()
        .min(Duration::from_secs_f64(seconds.min(1e9))))
}
