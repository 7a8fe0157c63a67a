//! Bad input gets a clear answer and leaves nothing behind.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use async_io::block_on;
use harness::Cluster;
use harness::cluster::Plan;
use harness::cluster::secret;
use harness::customer::Prompt;
use serde_json::Value;
use serde_json::json;
use web::client::Call;

/// The time for a caller's part of a request, in the settings of this cluster.
const CALLER_TIMEOUT_MS: u64 = 700;

fn start() -> Cluster {
    let settings = json!({
        "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "error",
        "caller_timeout_ms": CALLER_TIMEOUT_MS,
    });
    Cluster::start(Plan {
        entries: 1,
        engines: 1,
        settings,
        ..Plan::default()
    })
    .unwrap()
}

fn chat(cluster: &Cluster, body: &Value) -> Call {
    Call::json(cluster.entry(0), "/v1/chat/completions", body)
}

fn good_body() -> Value {
    json!({ "model": "assistant", "messages": [{ "role": "user", "content": "hello" }] })
}

/// Checks the status and the kind of what a call gets.
fn check(cluster: &Cluster, call: Call, status: u16, kind: &str) {
    let (found, body) = block_on(cluster.customer("forum").send(&call)).unwrap();
    assert_eq!(
        (found, body["error"]["kind"].as_str()),
        (status, Some(kind)),
        "{body}"
    );
    assert_eq!(body["error"]["ran"], "no");
    assert!(body["error"]["message"].as_str().unwrap().len() > 20);
}

/// Sends raw bytes and returns what comes back.
fn raw(cluster: &Cluster, bytes: &[u8], end: Option<Shutdown>) -> String {
    let mut stream = TcpStream::connect(cluster.entry(0)).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let _ = stream.write_all(bytes);
    if let Some(end) = end {
        stream.shutdown(end).unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {length}\r\n\r\n",
        secret("forum")
    )
}

#[test]
fn input_each_mistake_gets_its_kind() {
    let cluster = start();
    let customer = cluster.customer("forum");
    let signed = |body: &Value| customer.authenticate(chat(&cluster, body));
    check(&cluster, chat(&cluster, &good_body()), 401, "key_missing");
    let wrong = chat(&cluster, &good_body()).header("Authorization", "Bearer wrong");
    check(&cluster, wrong, 401, "key_unknown");
    let scheme = chat(&cluster, &good_body()).header("Authorization", "Basic abc");
    check(&cluster, scheme, 401, "key_missing");
    let broken = Call::post(cluster.entry(0), "/v1/chat/completions", "{\"model\":");
    check(&cluster, customer.authenticate(broken), 400, "malformed");
    check(
        &cluster,
        signed(&json!({ "model": "assistant", "messages": [] })),
        400,
        "malformed",
    );
    let mut none = good_body();
    none["max_tokens"] = json!(0);
    check(&cluster, signed(&none), 400, "malformed");
    for key in ["no key", "3f2504e0-4f89-41d3-9a0c-0305e82c3301"] {
        check(
            &cluster,
            signed(&good_body()).header("Idempotency-Key", key),
            400,
            "malformed",
        );
    }
    for timeout in ["0", "-1", "soon"] {
        check(
            &cluster,
            signed(&good_body()).header("Request-Timeout", timeout),
            400,
            "malformed",
        );
    }
    let mut unknown = good_body();
    unknown["model"] = json!("other");
    check(&cluster, signed(&unknown), 404, "not_found");
    let path = Call::json(cluster.entry(0), "/v1/services/none/x", &json!({}));
    check(&cluster, customer.authenticate(path), 404, "not_found");
    check(
        &cluster,
        customer.authenticate(Call::get(cluster.entry(0), "/other")),
        404,
        "not_found",
    );
}

#[test]
fn input_too_long_is_refused() {
    let cluster = start();
    let customer = cluster.customer("forum");
    // The contract allows 1,100,000 tokens, and the one engine holds 400,000.
    let fleet = Prompt::new(1_000_000, 10, 1);
    let received = block_on(customer.prompt(cluster.entry(0), &fleet)).unwrap();
    assert_eq!(
        received.result.unwrap_err().kind,
        domain::failure::Kind::TooLongForFleet
    );
    let contract = Prompt::new(1_200_000, 10, 1);
    let received = block_on(customer.prompt(cluster.entry(0), &contract)).unwrap();
    assert_eq!(
        received.result.unwrap_err().kind,
        domain::failure::Kind::TooLong
    );
    let answer = raw(&cluster, head(100_000_000).as_bytes(), None);
    assert!(
        answer.starts_with("HTTP/1.1 413") && answer.contains("too_long"),
        "{answer}"
    );
}

#[test]
fn input_expired_contract_is_refused() {
    let cluster = start();
    let mut fleet = cluster.fleet();
    fleet.contracts[0].valid_until_s = Some(1_000_000);
    cluster.publish(&fleet).unwrap();
    let call = cluster
        .customer("forum")
        .authenticate(chat(&cluster, &good_body()));
    let is_expired = || block_on(cluster.customer("forum").send(&call)).unwrap().0 == 403;
    cluster
        .until(
            Duration::from_secs(16),
            "the contract has expired",
            is_expired,
        )
        .unwrap();
    check(&cluster, call, 403, "contract_expired");
}

#[test]
fn input_half_a_body_is_refused() {
    let cluster = start();
    let bytes = format!("{}{{\"model\":", head(1_000));
    let answer = raw(&cluster, bytes.as_bytes(), Some(Shutdown::Write));
    assert!(
        answer.starts_with("HTTP/1.1 400") && answer.contains("malformed"),
        "{answer}"
    );
}

#[test]
fn input_slow_sender_is_refused() {
    let cluster = start();
    let bytes = format!("{}{{\"model\":", head(1_000));
    let answer = raw(&cluster, bytes.as_bytes(), None);
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("slow_caller"),
        "{answer}"
    );
}

#[test]
fn input_oversized_or_broken_head_is_refused() {
    let cluster = start();
    let long = format!(
        "GET / HTTP/1.1\r\nHost: entry\r\nX: {}\r\n\r\n",
        "x".repeat(100_000)
    );
    for bytes in [long.as_bytes(), b"no http at all\r\n\r\n"] {
        let answer = raw(&cluster, bytes, None);
        assert!(
            answer.starts_with("HTTP/1.1 400") && answer.contains("malformed"),
            "{answer}"
        );
    }
    // The entry still serves.
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(cluster.customer("forum").prompt(cluster.entry(0), &prompt)).unwrap();
    assert!(received.is_complete(&prompt));
}

#[test]
fn settings_bad_file_exits_with_2() {
    let path = std::env::temp_dir().join(format!("coriander-bad-{}.jsonc", std::process::id()));
    std::fs::write(&path, "{ \"name\": \"x\", // no more\n }").unwrap();
    let text = path.to_string_lossy().into_owned();
    let arguments = ["--check", "--settings", &text];
    let output = harness::process::output("coriander-entry", &arguments).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("missing field"));
}
