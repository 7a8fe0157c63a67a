//! `POST /v1/chat/completions`: reads a prompt, runs it and returns a complete answer or a failure
//! that states whether the request may have run.

use std::cell::Cell;
use std::rc::Rc;

use domain::Failure;
use domain::failure::Execution;
use domain::failure::Kind;
use web::Exchange;
use web::Reply;

use crate::node::Node;
use crate::request::Head;
use crate::trace;
use crate::trace::Outcome;

pub mod answer;
pub mod prompt;
pub mod serve;

use self::answer::Encoder;
use self::prompt::Prompt;
use self::serve::Request;

/// The maximum number of events that are buffered for a slow caller.
const EVENT_LIMIT: usize = 1_024;

/// Handles one chat request.
pub async fn handle(node: Rc<Node>, mut exchange: Exchange) -> Reply {
    let id = node.next_request_id();
    let reply = match receive(&node, &mut exchange, id).await {
        Ok(reply) => reply,
        Err(failure) => {
            node.core
                .borrow_mut()
                .traces
                .end(id.number, Outcome::Failed(failure.clone()));
            let is_unread = failure.kind == Kind::TooLong || failure.kind == Kind::SlowCaller;
            let reply = Reply::failure(&failure);
            if is_unread { reply.closing() } else { reply }
        }
    };
    reply.with_header("Request-Id", &id.to_string())
}
async fn receive(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    id: trace::RequestId,
) -> Result<Reply, Failure> {
    let arrived = clock::now();
    let head = Head::read(node, exchange, arrived)?;
    node.core
        .borrow_mut()
        .traces
        .start(id.number, &head.contract.customer);
    let body: prompt::Body = exchange.json(head.body_limit()).await?;
    let is_streamed = body.stream;
    let prompt = Prompt::parse(body, &head)?;
    node.record_step(
        id.number,
        format!("arrived with {} prompt tokens", prompt.tokens),
    );
    let encoder = Encoder {
        request_id: id.to_string(),
        model: prompt.model.clone(),
        prompt_tokens: prompt.tokens,
    };
    let (sender, receiver) = async_channel::bounded(EVENT_LIMIT);
    // Until its claim is decided, it is unknown whether a request with this key ran before.
    let execution = Cell::new(if head.key.is_some() {
        Execution::Maybe
    } else {
        Execution::No
    });
    let request = Request {
        id,
        head,
        prompt,
        arrived,
        execution,
    };
    node.executor
        .spawn(serve::run(node.clone(), request, sender))
        .detach();
    if is_streamed {
        encoder.stream(node, receiver).await
    } else {
        encoder.whole(receiver).await
    }
}

fn internal() -> Failure {
    let message = "the request ended without an answer: report this with its Request-Id";
    Failure::uncertain(Kind::Internal, message)
}
