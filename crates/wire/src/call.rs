//! Encoding and decoding of the arguments and results of calls between entries.

use std::time::Duration;

use capnp::message::Builder;
use claim::Outcome;
use claim::Verdict;
use domain::Key;
use domain::key::Incarnation;
use limit::Ask;
use limit::Grant;
use limit::Limit;
use limit::Refusal;

use crate::Error;
use crate::peer_capnp::ask;
use crate::peer_capnp::grant;
use crate::peer_capnp::key;
use crate::peer_capnp::outcome;
use crate::peer_capnp::verdict;

/// The response of an authority to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The authority has decided.
    Verdict(Verdict),
    /// The authority can't decide now, for the given reason.
    Unavailable(String),
}

/// Writes a key.
pub fn write_key(key: Key, mut builder: key::Builder<'_>) {
    let bits = key.as_u128();
    builder.set_high((bits >> 64) as u64);
    builder.set_low(bits as u64);
}

/// Reads a key.
pub fn read_key(reader: key::Reader<'_>) -> Result<Key, Error> {
    let bits = u128::from(reader.get_high()) << 64 | u128::from(reader.get_low());
    Key::from_u128(bits).map_err(|_| Error::Field("key"))
}

/// Writes an outcome.
pub fn write_outcome(outcome: &Outcome, mut builder: outcome::Builder<'_>) {
    match outcome {
        Outcome::Open => builder.set_open(()),
        Outcome::Lost => builder.set_lost(()),
        Outcome::Done(answer) => {
            let mut done = builder.init_done();
            done.set_status(answer.status);
            done.set_content_type(&answer.content_type);
            done.set_has_body(answer.body.is_some());
            done.set_body(answer.body.as_deref().unwrap_or_default());
        }
    }
}

/// Reads an outcome.
pub fn read_outcome(reader: outcome::Reader<'_>) -> Result<Outcome, Error> {
    Ok(match reader.which()? {
        outcome::Open(()) => Outcome::Open,
        outcome::Lost(()) => Outcome::Lost,
        outcome::Done(done) => {
            let body = done.get_body()?.to_str()?;
            Outcome::Done(claim::Answer {
                status: done.get_status(),
                content_type: done.get_content_type()?.to_str()?.to_owned(),
                body: done.get_has_body().then(|| body.to_owned()),
            })
        }
    })
}

/// Writes a decision.
pub fn write_decision(decision: &Decision, mut builder: verdict::Builder<'_>) {
    match decision {
        Decision::Verdict(Verdict::Granted) => builder.set_granted(()),
        Decision::Verdict(Verdict::Used(outcome)) => write_outcome(outcome, builder.init_used()),
        Decision::Verdict(Verdict::TooOld) => builder.set_too_old(()),
        Decision::Verdict(Verdict::TooNew) => builder.set_too_new(()),
        Decision::Verdict(Verdict::NotIssued) => builder.set_not_issued(()),
        Decision::Unavailable(reason) => builder.set_unavailable(reason),
    }
}

/// Reads a decision.
pub fn read_decision(reader: verdict::Reader<'_>) -> Result<Decision, Error> {
    let verdict = match reader.which()? {
        verdict::Granted(()) => Verdict::Granted,
        verdict::Used(outcome) => Verdict::Used(read_outcome(outcome?)?),
        verdict::TooOld(()) => Verdict::TooOld,
        verdict::TooNew(()) => Verdict::TooNew,
        verdict::NotIssued(()) => Verdict::NotIssued,
        verdict::Unavailable(reason) => {
            return Ok(Decision::Unavailable(reason?.to_str()?.to_owned()));
        }
    };
    Ok(Decision::Verdict(verdict))
}

/// Writes a request for an allotment.
pub fn write_ask(ask: &Ask, mut builder: ask::Builder<'_>) {
    builder.set_entry(ask.entry.0);
    builder.set_customer(&ask.customer);
    builder.set_tokens(ask.tokens);
    builder.set_tokens_ahead(ask.tokens_ahead);
    builder.set_requests(ask.requests);
    builder.set_requests_ahead(ask.requests_ahead);
    builder.set_running(ask.running);
    builder.set_tokens_back(ask.tokens_back);
    builder.set_requests_back(ask.requests_back);
}

/// Reads a request for an allotment.
pub fn read_ask(reader: ask::Reader<'_>) -> Result<Ask, Error> {
    Ok(Ask {
        entry: Incarnation(reader.get_entry()),
        customer: reader.get_customer()?.to_str()?.to_owned(),
        tokens: reader.get_tokens(),
        tokens_ahead: reader.get_tokens_ahead(),
        requests: reader.get_requests(),
        requests_ahead: reader.get_requests_ahead(),
        running: reader.get_running(),
        tokens_back: reader.get_tokens_back(),
        requests_back: reader.get_requests_back(),
    })
}

/// Writes an allotment.
pub fn write_grant(grant: &Grant, mut builder: grant::Builder<'_>) {
    builder.set_tokens(grant.tokens);
    builder.set_requests(grant.requests);
    builder.set_is_tight(grant.is_near_limit);
    let Some(refusal) = grant.refusal else { return };
    builder.set_refusal(match refusal.limit {
        Limit::Tokens => grant::Refusal::Tokens,
        Limit::Requests => grant::Refusal::Requests,
        Limit::Concurrency => grant::Refusal::Concurrency,
    });
    builder.set_wait_micros(u64::try_from(refusal.wait.as_micros()).unwrap_or(u64::MAX));
}

/// Reads an allotment.
pub fn read_grant(reader: grant::Reader<'_>) -> Result<Grant, Error> {
    let wait = Duration::from_micros(reader.get_wait_micros());
    let limit = match reader.get_refusal()? {
        grant::Refusal::None => None,
        grant::Refusal::Tokens => Some(Limit::Tokens),
        grant::Refusal::Requests => Some(Limit::Requests),
        grant::Refusal::Concurrency => Some(Limit::Concurrency),
    };
    Ok(Grant {
        tokens: reader.get_tokens(),
        requests: reader.get_requests(),
        is_near_limit: reader.get_is_tight(),
        refusal: limit.map(|limit| Refusal { limit, wait }),
    })
}

/// Returns the encoded length of a request for an allotment and of its response, in bytes.
pub fn encoded_len(ask: &Ask, grant: &Grant) -> usize {
    let mut request = Builder::new_default();
    write_ask(ask, request.init_root());
    let mut response = Builder::new_default();
    write_grant(grant, response.init_root());
    let len = |message: &Builder<_>| capnp::serialize::write_message_to_words(message).len();
    len(&request) + len(&response)
}
