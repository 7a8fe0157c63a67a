//! Invalid input gets an error answer with its kind, and the entry keeps serving.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use harness::Cluster;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer::Prompt;
use serde_json::Value;
use serde_json::json;
use web::client::Call;

/// The time after which a test fails if a connection is still open.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of bytes of each write of input without end.
const ENDLESS_WRITE: usize = 256 * 1024;
/// The timeout for receiving a request from a caller, in the settings of this cluster.
const CALLER_TIMEOUT_MS: u64 = 700;

fn start() -> Cluster {
    let settings = json!({
        "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "error",
        "caller_timeout_ms": CALLER_TIMEOUT_MS,
    });
    Cluster::start(Options {
        entries: 1,
        engines: 1,
        settings,
        ..Options::default()
    })
    .unwrap()
}

fn chat_call(cluster: &Cluster, body: &Value) -> Call {
    Call::json(cluster.entry_address(0), "/v1/chat/completions", body)
}

fn valid_body() -> Value {
    json!({ "model": "assistant", "messages": [{ "role": "user", "content": "hello" }] })
}

/// Checks that a call fails with this status and error kind, and that it did not run.
fn check_error(cluster: &Cluster, call: Call, status: u16, kind: &str) {
    let (found, body) = block_on(cluster.customer("forum").send(&call)).unwrap();
    assert_eq!(
        (found, body["error"]["kind"].as_str()),
        (status, Some(kind)),
        "{body}"
    );
    assert_eq!(body["error"]["ran"], "no");
    assert!(body["error"]["message"].as_str().unwrap().len() > 20);
}

/// Sends raw bytes, optionally shuts the connection down, and returns the answer.
fn send_raw(cluster: &Cluster, bytes: &[u8], end: Option<Shutdown>) -> String {
    let mut stream = TcpStream::connect(cluster.entry_address(0)).unwrap();
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
fn input_invalid_gets_its_error_kind() {
    let cluster = start();
    let customer = cluster.customer("forum");
    let signed = |body: &Value| customer.authenticate(chat_call(&cluster, body));
    check_error(
        &cluster,
        chat_call(&cluster, &valid_body()),
        401,
        "key_missing",
    );
    let unknown_key = chat_call(&cluster, &valid_body()).header("Authorization", "Bearer wrong");
    check_error(&cluster, unknown_key, 401, "key_unknown");
    let wrong_scheme = chat_call(&cluster, &valid_body()).header("Authorization", "Basic abc");
    check_error(&cluster, wrong_scheme, 401, "key_missing");
    let malformed = Call::post(
        cluster.entry_address(0),
        "/v1/chat/completions",
        "{\"model\":",
    );
    check_error(&cluster, customer.authenticate(malformed), 400, "malformed");
    check_error(
        &cluster,
        signed(&json!({ "model": "assistant", "messages": [] })),
        400,
        "malformed",
    );
    let mut no_tokens = valid_body();
    no_tokens["max_tokens"] = json!(0);
    check_error(&cluster, signed(&no_tokens), 400, "malformed");
    for key in ["no key", "3f2504e0-4f89-41d3-9a0c-0305e82c3301"] {
        check_error(
            &cluster,
            signed(&valid_body()).header("Idempotency-Key", key),
            400,
            "malformed",
        );
    }
    for timeout in ["0", "-1", "soon"] {
        check_error(
            &cluster,
            signed(&valid_body()).header("Request-Timeout", timeout),
            400,
            "malformed",
        );
    }
    let mut unknown_model = valid_body();
    unknown_model["model"] = json!("other");
    check_error(&cluster, signed(&unknown_model), 404, "not_found");
    let unknown_service = Call::json(cluster.entry_address(0), "/v1/services/none/x", &json!({}));
    check_error(
        &cluster,
        customer.authenticate(unknown_service),
        404,
        "not_found",
    );
    check_error(
        &cluster,
        customer.authenticate(Call::get(cluster.entry_address(0), "/other")),
        404,
        "not_found",
    );
}

#[test]
fn input_too_long_is_refused() {
    let cluster = start();
    let customer = cluster.customer("forum");
    // The contract allows 1,100,000 tokens, and the only engine has memory for 400,000.
    let too_long_for_fleet = Prompt::new(1_000_000, 10, 1);
    let received =
        block_on(customer.prompt(cluster.entry_address(0), &too_long_for_fleet)).unwrap();
    assert_eq!(
        received.result.unwrap_err().kind,
        domain::failure::Kind::TooLongForFleet
    );
    let too_long = Prompt::new(1_200_000, 10, 1);
    let received = block_on(customer.prompt(cluster.entry_address(0), &too_long)).unwrap();
    assert_eq!(
        received.result.unwrap_err().kind,
        domain::failure::Kind::TooLong
    );
    let answer = send_raw(&cluster, head(100_000_000).as_bytes(), None);
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
        .authenticate(chat_call(&cluster, &valid_body()));
    let is_expired = || block_on(cluster.customer("forum").send(&call)).unwrap().0 == 403;
    cluster
        .wait_until(
            Duration::from_secs(16),
            "the contract has expired",
            is_expired,
        )
        .unwrap();
    check_error(&cluster, call, 403, "contract_expired");
}

#[test]
fn input_incomplete_body_is_refused() {
    let cluster = start();
    let bytes = format!("{}{{\"model\":", head(1_000));
    let answer = send_raw(&cluster, bytes.as_bytes(), Some(Shutdown::Write));
    assert!(
        answer.starts_with("HTTP/1.1 400") && answer.contains("malformed"),
        "{answer}"
    );
}

#[test]
fn input_slow_sender_is_refused() {
    let cluster = start();
    let bytes = format!("{}{{\"model\":", head(1_000));
    let answer = send_raw(&cluster, bytes.as_bytes(), None);
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("slow_caller"),
        "{answer}"
    );
}

#[test]
fn input_oversized_or_malformed_head_is_refused() {
    let cluster = start();
    let long = format!(
        "GET / HTTP/1.1\r\nHost: entry\r\nX: {}\r\n\r\n",
        "x".repeat(100_000)
    );
    for bytes in [long.as_bytes(), b"no http at all\r\n\r\n"] {
        let answer = send_raw(&cluster, bytes, None);
        assert!(
            answer.starts_with("HTTP/1.1 400") && answer.contains("malformed"),
            "{answer}"
        );
    }
    // The entry still serves other requests.
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    assert!(received.is_complete(&prompt));
}

#[test]
fn settings_invalid_file_exits_with_2() {
    let path = std::env::temp_dir().join(format!("coriander-bad-{}.jsonc", std::process::id()));
    std::fs::write(&path, "{ \"name\": \"x\", // no more\n }").unwrap();
    let text = path.to_string_lossy().into_owned();
    let arguments = ["--check", "--settings", &text];
    let output = harness::process::output("coriander-entry", &arguments).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("missing field"));
}

/// Sends `first` and then copies of `rest` until the entry closes the connection. Checks that it
/// does, and that it answers others meanwhile.
fn check_endless(cluster: &Cluster, first: &str, rest: &str) {
    let mut stream = TcpStream::connect(cluster.entry_address(0)).unwrap();
    let rest = rest.repeat(ENDLESS_WRITE / rest.len());
    stream.write_all(first.as_bytes()).unwrap();
    let sending = thread::spawn(move || while stream.write_all(rest.as_bytes()).is_ok() {});
    for _ in 0..5 {
        let customer = cluster.customer("forum");
        assert!(block_on(customer.entries(cluster.entry_address(0))).is_ok());
        thread::sleep(Duration::from_millis(100));
    }
    let closed = || sending.is_finished();
    cluster
        .wait_until(CLOSE_TIMEOUT, "the connection to be closed", closed)
        .unwrap();
}

#[test]
fn input_without_end_is_closed() {
    let cluster = start();
    let line = "POST /v1/chat/completions HTTP/1.1\r\n";
    check_endless(&cluster, "", "a");
    check_endless(&cluster, "", "\r\n");
    check_endless(&cluster, &format!("{line}X-A: "), "a");
    check_endless(&cluster, line, "X-A: a\r\n");
    check_endless(&cluster, &head(usize::MAX >> 1), "a");
    let chunked = format!("{line}Host: entry\r\nTransfer-Encoding: chunked\r\n\r\n");
    check_endless(&cluster, &chunked, "4\r\naaaa\r\n");
    check_endless(&cluster, &format!("{chunked}0\r\n"), "a: b\r\n");
}
