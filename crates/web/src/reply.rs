//! Answers to requests, as handlers build them.

use domain::Failure;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

const MILLIS_PER_SECOND: u64 = 1_000;

/// An answer to one request.
#[derive(Debug)]
pub struct Reply {
    response: Response,
    is_last: bool,
}

impl Reply {
    /// Returns an answer with a JSON body.
    pub fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(200, "application/json", body)
    }

    /// Returns an answer with a body in plain text.
    pub fn text(text: impl Into<String>) -> Self {
        Self::bytes(200, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// Returns an answer with the given status, type and body.
    pub fn bytes(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        Self::new(status, content_type, Body::from_bytes(body.into()))
    }

    /// Returns an answer whose body is written while it is sent.
    pub fn stream(content_type: &str, body: Body) -> Self {
        Self::new(200, content_type, body)
    }

    /// Returns the answer that tells a caller of a failure.
    pub fn failure(failure: &Failure) -> Self {
        let body = serde_json::json!({ "error": failure });
        let status = failure.kind.status();
        let mut reply = Self::bytes(status, "application/json", body.to_string());
        if let Some(wait) = failure.retry_after_ms {
            // The header counts whole seconds; the body has the exact value.
            let seconds = wait.div_ceil(MILLIS_PER_SECOND).max(1);
            reply = reply.with_header("Retry-After", &seconds.to_string());
        }
        reply
    }

    fn new(status: u16, content_type: &str, body: Body) -> Self {
        let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        response.set_body(body);
        response.insert_header("Content-Type", content_type);
        Self {
            response,
            is_last: false,
        }
    }

    /// Replaces the status.
    pub fn with_status(mut self, status: u16) -> Self {
        self.response
            .set_status(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
        self
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.response.insert_header(name, value);
        self
    }

    /// Closes the connection after this answer, without reading what the caller still sends.
    pub fn closing(mut self) -> Self {
        self.response.insert_header("Connection", "close");
        self.is_last = true;
        self
    }

    pub(crate) fn is_last(&self) -> bool {
        self.is_last
    }

    pub(crate) fn into_response(self) -> Response {
        self.response
    }
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        Self::failure(&failure)
    }
}
