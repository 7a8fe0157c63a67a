//! Responses, as built by request handlers.

use domain::Failure;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

const MILLIS_PER_SECOND: u64 = 1_000;

/// The response to a request.
#[derive(Debug)]
pub struct Reply {
    response: Response,
    closes_connection: bool,
}

impl Reply {
    /// Returns a response with a JSON body.
    pub fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(200, "application/json", body)
    }

    /// Returns a response with a plain-text body.
    pub fn text(text: impl Into<String>) -> Self {
        Self::bytes(200, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// Returns a response with the given status, content type and body.
    pub fn bytes(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        Self::new(status, content_type, Body::from_bytes(body.into()))
    }

    /// Returns a response with a streamed body.
    pub fn stream(content_type: &str, body: Body) -> Self {
        Self::new(200, content_type, body)
    }

    /// Returns the response that reports a failure to the caller.
    pub fn failure(failure: &Failure) -> Self {
        let body = serde_json::json!({ "error": failure });
        let status = failure.kind.status();
        let mut reply = Self::bytes(status, "application/json", body.to_string());
        if let Some(retry_after_ms) = failure.retry_after_ms {
            // The header is in whole seconds. The body has the exact value.
            let seconds = retry_after_ms.div_ceil(MILLIS_PER_SECOND).max(1);
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
            closes_connection: false,
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

    /// Closes the connection after this response. The rest of the request is not processed.
    pub fn closing(mut self) -> Self {
        self.response.insert_header("Connection", "close");
        self.closes_connection = true;
        self
    }

    pub(crate) fn closes_connection(&self) -> bool {
        self.closes_connection
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
