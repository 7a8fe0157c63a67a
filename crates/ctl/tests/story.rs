//! Tests that find the cause of a failed request in the logs, given its ID.

use ctl::story;

const LOG: &str = r#"
{"ms":1000,"node":"e1","level":"info","part":"run","text":"started"}
not a line of ours
   3.1 e1 {"ms":5000,"node":"e1","level":"info","part":"server","server":"i-1","text":"can't connect"}
{"ms":5200,"node":"e1","level":"info","part":"broken","request":"q1","server":"i-1","error":"closed","text":"the server's answer broke off"}
{"ms":5201,"node":"e1","level":"info","part":"attempt","request":"q1","server":"i-1","elapsed_ms":200,"outcome":"broken","text":"attempt ended"}
{"ms":5202,"node":"e1","level":"info","part":"refuse","request":"q1","status":502,"reason":"failed","text":"request refused"}
{"ms":5203,"node":"e2","level":"info","part":"config","version":9,"text":"configuration in force"}
{"ms":5300,"node":"e1","level":"info","part":"refuse","request":"q2","status":503,"reason":"too_late","text":"request refused"}
{"ms":5400,"node":"e1","level":"info","part":"attempt","request":"q3","server":"i-2","outcome":"delivered","text":"attempt ended"}
"#;

/// Checks the cause of a request's end and the number of events in its history.
fn check(request: &str, cause: &str, events: usize) {
    let story = story::reconstruct(LOG.lines(), request).expect("no line contains the request");
    assert_eq!(story.cause, cause);
    assert_eq!(story.events.len(), events, "{:#?}", story.events);
}

#[test]
fn reconstruct_interrupted_response_names_the_server() {
    let cause = "refused (failed): a server may have run the request, but gave no usable response; \
                 the response of i-1 was interrupted: closed";
    check("q1", cause, 4);
}

#[test]
fn reconstruct_refusal_names_the_reason() {
    let cause = "refused (too_late): the caller would have disconnected before the first event";
    check("q2", cause, 1);
}

#[test]
fn reconstruct_success() {
    check("q3", "delivered", 1);
}

#[test]
fn reconstruct_unknown_request_returns_none() {
    assert_eq!(story::reconstruct(LOG.lines(), "q9"), None);
}
