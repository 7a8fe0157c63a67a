//! Plain services: `POST /v1/services/{service}/{path}`.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use domain::Failure;
use domain::Moment;
use domain::failure::Execution;
use domain::failure::Kind;
use futures_lite::future;
use routing::router::End;
use web::Exchange;
use web::Reply;
use web::client::Call;

use crate::attempt;
use crate::attempt::Error;
use crate::attempt::LEAVING_HEADER;
use crate::grade;
use crate::limits;
use crate::metrics;
use crate::node::Node;
use crate::permit::Denial;
use crate::permit::Permit;
use crate::request;
use crate::request::Head;
use crate::servers::Choice;
use crate::trace;
use crate::trace::Outcome;

/// The maximum length of a request body, in bytes.
const BODY_LIMIT: u64 = 1024 * 1024;
/// The maximum length of an answer, in bytes. It is kept in memory until the caller has it.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// The `Retry-After` of a response when no server is available or the deadline has passed.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A call to a plain service.
struct ServiceCall<'a> {
    id: trace::RequestId,
    head: &'a Head,
    service: &'a str,
    path: &'a str,
    body: &'a [u8],
    /// Whether the call may have been executed, as far as is known.
    execution: Cell<Execution>,
}

/// Handles one call to a service.
pub async fn handle(node: Rc<Node>, mut exchange: Exchange, service: &str, path: &str) -> Reply {
    let id = node.next_request_id();
    let contract = request::contract(&node, &exchange).ok();
    let outcome = receive(&node, &mut exchange, id, service, path).await;
    let (name, outcome, reply) = match outcome {
        Ok(reply) => ("done", Outcome::Done { tokens: 0 }, reply),
        Err(failure) => {
            let reply = Reply::failure(&failure);
            (failure.kind.name(), Outcome::Failed(failure), reply)
        }
    };
    let labels = metrics::RequestLabels {
        length: "service".to_owned(),
        outcome: name.to_owned(),
    };
    node.metrics.requests.get_or_create(&labels).inc();
    if let Some(contract) = contract {
        let in_time = matches!(outcome, Outcome::Done { .. });
        grade::record(&node, &contract, "service", &outcome, in_time);
    }
    node.core.borrow_mut().traces.end(id.number, outcome);
    reply.with_header("Request-Id", &id.to_string())
}

async fn receive(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    id: trace::RequestId,
    service: &str,
    path: &str,
) -> Result<Reply, Failure> {
    let now = clock::now();
    let head = Head::read(node, exchange, now)?;
    node.core
        .borrow_mut()
        .traces
        .start(id.number, &head.contract.customer);
    if !node.core.borrow().servers.has_service(service) {
        let message = format!("the service `{service}` does not exist: correct the path");
        return Err(Failure::refused(Kind::NotFound, message));
    }
    let body = exchange.body(BODY_LIMIT).await?;
    // Until its claim is decided, it is unknown whether a request with this key ran before.
    let execution = Cell::new(if head.key.is_some() {
        Execution::Maybe
    } else {
        Execution::No
    });
    let call = ServiceCall {
        id,
        head: &head,
        service,
        path,
        body: &body,
        execution,
    };
    call.serve_in_time(node).await
}

/// Returns the recorded answer of an earlier request with the same key.
fn replay(answer: claim::Answer) -> Reply {
    let body = answer.body.unwrap_or_default();
    Reply::bytes(answer.status, &answer.content_type, body).with_header("Coriander-Repeat", "yes")
}

/// The answer of a backend server.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

impl Answer {
    fn record(&self) -> claim::Answer {
        claim::Answer::new(self.status, &self.content_type, &self.body)
    }
}

impl ServiceCall<'_> {
    /// Serves the call, or cancels it at its deadline.
    async fn serve_in_time(&self, node: &Rc<Node>) -> Result<Reply, Failure> {
        let deadline = async {
            clock::wait_until(self.head.deadline).await;
            let message = "the time limit passed: raise Request-Timeout or retry later";
            let failure =
                Failure::refused(Kind::TimedOut, message).with_execution(self.execution.get());
            Err(failure.retry_after(RETRY_AFTER))
        };
        future::or(self.serve(node), deadline).await
    }

    async fn serve(&self, node: &Rc<Node>) -> Result<Reply, Failure> {
        let mut permit = match Permit::claim(node, self.head).await {
            Ok(permit) => permit,
            Err(Denial::Refused(failure)) => return Err(failure),
            Err(Denial::Completed(answer)) => return Ok(replay(answer)),
        };
        self.execution.set(Execution::No);
        let result = self.run(node, &mut permit).await;
        if let Some(permit) = permit {
            match &result {
                Ok(answer) => permit.complete(answer.record()),
                Err(failure) => permit.fail(failure),
            }
        }
        result.map(|answer| Reply::bytes(answer.status, &answer.content_type, answer.body))
    }

    async fn run(&self, node: &Rc<Node>, permit: &mut Option<Permit>) -> Result<Answer, Failure> {
        let _admission = limits::admit(node, &self.head.contract, 0).await?;
        let mut excluded = Vec::new();
        loop {
            let now = clock::now();
            let timeout = now.until(self.head.deadline);
            let choice = node
                .core
                .borrow_mut()
                .servers
                .next(now, self.service, &excluded);
            let Some(choice) = choice else {
                return Err(self.unavailable(node, now));
            };
            node.record_step(self.id.number, format!("sent to {}", choice.name));
            let before = self.execution.replace(Execution::Maybe);
            if let Some(permit) = permit {
                permit.mark_sent();
            }
            let error = match self.send(node, &choice, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            node.record_step(self.id.number, format!("{}: {error}", choice.name));
            if error.is_certainly_not_run() {
                self.execution.set(before);
                if let Some(permit) = permit {
                    permit.mark_not_run();
                }
            } else if permit.is_some() {
                let message = format!(
                    "the answer was lost ({error}): check whether the request was executed \
                     before you send it again with a new key"
                );
                return Err(Failure::uncertain(Kind::BackendFailed, message));
            }
            excluded.push(choice.name);
        }
    }

    async fn send(&self, node: &Node, choice: &Choice, timeout: Duration) -> Result<Answer, Error> {
        let answer = node.client.send_unpooled(&self.call(choice), timeout).await;
        let record_failure = |error: web::client::Error| {
            node.core
                .borrow_mut()
                .servers
                .record_end(clock::now(), &choice.name, End::Failed);
            Error::Broken(error.to_string())
        };
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(error) if error.is_unreachable() => {
                node.core
                    .borrow_mut()
                    .servers
                    .record_unreachable(clock::now(), &choice.name);
                return Err(Error::Unreachable);
            }
            Err(error) => return Err(record_failure(error)),
        };
        attempt::record_notice(node, &choice.name, &answer);
        if answer.status() == 503 && answer.header(LEAVING_HEADER).is_some() {
            return Err(Error::Leaving);
        }
        let content_type = answer
            .header("Content-Type")
            .unwrap_or("application/octet-stream");
        let content_type = content_type.to_owned();
        let body = answer
            .bytes_within(ANSWER_LIMIT)
            .await
            .map_err(record_failure)?;
        node.core
            .borrow_mut()
            .servers
            .record_end(clock::now(), &choice.name, End::Done);
        Ok(Answer {
            status: answer.status(),
            content_type,
            body,
        })
    }

    fn call(&self, choice: &Choice) -> Call {
        let mut call = Call::post(choice.address, format!("/{}", self.path), self.body);
        if let Some(key) = self.head.key {
            call = call.header("Idempotency-Key", key.to_string());
        }
        call.header("Request-Id", self.id.to_string())
    }

    fn unavailable(&self, node: &Node, now: Moment) -> Failure {
        let core = node.core.borrow();
        let pause = core.servers.pause_of_all(now, self.service);
        let message = format!(
            "no server of `{}` is available now: retry later",
            self.service
        );

        Failure::refused(Kind::Overloaded, message)
            .with_execution(self.execution.get())
            .retry_after(pause.unwrap_or(RETRY_AFTER))
    }
}
