//! A runner of each service spoils one bit of some answers. All other bytes are right.

use super::*;

/// How long the runner spoils answers.
const SPOILS_MS: u64 = 5_500;
/// It spoils one in so many.
const SPOILED_EVERY: u64 = 60;
const EVENTS: usize = 16;
/// The time from one event to the next.
const EVENT_MS: u64 = 10;
const CALLERS: usize = 24;

fn config() -> String {
    r#"{"version":3,"routes":[
{"name":"thread-reply","host":"forum.example","pathPrefix":"/reply/","kind":"stream","timeoutMs":10000,"goalMs":300,"priority":1,"backend":"sfat-llm","attempts":2,"canResume":true,"gapTargetMs":250},
{"name":"shop-notice","host":"forum.example","pathPrefix":"/notice/","kind":"non_idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"backend":"forum-app","attempts":1},
{"name":"stock-check","host":"forum.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"backend":"forum-app","attempts":2}],
"services":[{"name":"forum-app","healthPath":"/healthz","maxConns":96},
{"name":"sfat-llm","healthPath":"/healthz","maxConns":424,"engine":{"slots":16,"kvTokens":232000,"stride":43,"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"hopMs":0.075,"usual":{"prompt":12327,"answer":1303}}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-one-0123456789"]}]}"#
        .to_owned()
}

/// An answer that a caller got: the id and the route of the request, the status, whether the answer is complete,
/// whether its body is the runner's, and its first bytes.
type Answer = (String, &'static str, u16, bool, bool, String);

/// The bit that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoiled {
    /// The status reads 204 instead of 200.
    Status,
    /// The name of the field `Transfer-Encoding` of a stream ends with an f.
    Coding,
}

/// Returns the whole body of the answer to a request.
fn body_of(id: &str, is_stream: bool) -> String {
    body_after(id, is_stream, 0)
}

/// Returns the body of an answer that goes on after an event.
fn body_after(id: &str, is_stream: bool, last: usize) -> String {
    if !is_stream {
        return format!("{{\"request\":\"{id}\",\"notes\":\"{}\"}}", "x".repeat(700));
    }
    (last + 1..=EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect()
}

pub fn run(world: &Arc<World>, bit: Spoiled) -> Result<bool, String> {
    let store = Arc::new(Store::start(3));
    store.append("keyed.op", "config", &config());
    // Answers until `spoils_until`, in milliseconds since the start of the case, may be spoiled.
    let spoils_until = Arc::new(AtomicU64::new(0));
    let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
    let (until, ids) = (spoils_until.clone(), spoiled.clone());
    // The number of answers of each server, and by service the one that spoils some: the first to have so many.
    let counts: Mutex<HashMap<String, u64>> = Mutex::default();
    let faulty: Mutex<HashMap<String, String>> = Mutex::default();
    let handler: Arc<Handler> = Arc::new(move |server, message, stream| {
        server.record(message, true);
        let id = message.header("X-Request-Id").unwrap_or_default().to_owned();
        let is_stream = server.service == "sfat-llm";
        let last = message.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let body = body_after(&id, is_stream, last);
        sleep_ms(20);
        let may_spoil = is_stream || bit == Spoiled::Status;
        let mut is_spoiled = false;
        if may_spoil && server.world.ms() < until.load(Ordering::Relaxed) {
            let mut counts = counts.lock().unwrap();
            let count = counts.entry(server.id.clone()).or_default();
            *count += 1;
            if *count % SPOILED_EVERY == SPOILED_EVERY / 2 {
                let mut faulty = faulty.lock().unwrap();
                let chosen = faulty.entry(server.service.clone()).or_insert_with(|| server.id.clone());
                is_spoiled = *chosen == server.id;
            }
        }
        if is_spoiled {
            ids.lock().unwrap().push(id.clone());
            server.world.log(&format!("{} spoils its answer to {id}: {bit:?}", server.id));
        }
        let status = if is_spoiled && bit == Spoiled::Status { "204" } else { "200" };
        let coding = if is_spoiled && bit == Spoiled::Coding { "Transfer-Encodinf" } else { "Transfer-Encoding" };
        let framing = match is_stream {
            true => format!("Content-Type: text/event-stream\r\n{coding}: chunked"),
            false => format!("Content-Length: {}", body.len()),
        };
        let head = format!(
            "HTTP/1.1 {status} OK\r\n{}X-Server-Stamp: 3e1b.07.{}.600.0.c9f2a4d1\r\n{framing}\r\n\r\n",
            server.common_fields(message),
            server.id
        );
        let mut parts = vec![head];
        match is_stream {
            false => parts[0].push_str(&body),
            true => {
                let events = body.split_inclusive("\n\n");
                parts.extend(events.map(|it| format!("{:x}\r\n{it}\r\n", it.len())));
                parts.push("0\r\n\r\n".to_owned());
            }
        }
        for part in parts {
            if stream.write_all(part.as_bytes()).is_err() {
                return Next::Close;
            }
            if is_stream {
                sleep_ms(EVENT_MS);
            }
        }
        Next::Keep
    });
    let names = [
        ("i-5b4f2f01", "buc-a"),
        ("i-5b4f2f02", "buc-b"),
        ("i-5b4f2f03", "buc-c"),
        ("e-91c2aa01", "buc-a"),
        ("e-91c2aa02", "buc-b"),
        ("e-91c2aa03", "buc-c"),
    ];
    let servers: Vec<Arc<Server>> = names
        .map(|(id, zone)| {
            let service = if id.starts_with('e') { "sfat-llm" } else { "forum-app" };
            Server::start(world, id, service, zone, handler.clone())
        })
        .into();
    for server in &servers {
        server.report_regularly(&store);
    }
    let nodes = start_nodes(world, &store.addresses)?;
    wait_for_nodes(&nodes)?;
    let start = world.ms() + 1_000;
    if world.trouble {
        spoils_until.store(start + SPOILS_MS, Ordering::Relaxed);
    }
    let end = start + SPOILS_MS + 500;
    let fronts: Vec<SocketAddr> = nodes.iter().map(|it| it.front).collect();
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (world, fronts, answers) = (world.clone(), fronts.clone(), answers.clone());
            thread::spawn(move || {
                while world.ms() < end {
                    // Only streams have a coding, so most callers ask for one where it is spoiled.
                    let route = match bit {
                        Spoiled::Coding if number % 8 != 0 => "reply",
                        _ => ["reply", "notice", "stock"][number % 3],
                    };
                    let id = new_id();
                    let (extra, body) = match route {
                        "reply" => ("X-Model: m\r\nX-Token-Count: 900,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:100\r\n", "why do the fry gasp"),
                        "notice" => ("", "tank 4 is sold"),
                        _ => ("", ""),
                    };
                    let limit = if route == "reply" { 10_000 } else { 1_000 };
                    let text = request(&format!("/{route}/1"), &id, limit, extra, body);
                    let front = fronts[random(fronts.len() as u64) as usize];
                    if let Ok(answer) = exchange(front, &text, limit + 1_000) {
                        let is_whole = answer.body == body_of(&id, route == "reply").as_bytes();
                        let start: String = String::from_utf8_lossy(&answer.body).chars().take(90).collect();
                        answers.lock().unwrap().push((id, route, answer.status(), answer.is_complete, is_whole, start));
                    }
                    sleep_ms(10);
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let mut broken = 0;
    let mut totals: BTreeMap<(&str, u16, bool), u64> = BTreeMap::new();
    for (id, route, status, is_complete, is_whole, start) in answers.iter() {
        *totals.entry((route, *status, *is_whole)).or_default() += 1;
        let is_success = (200..300).contains(status);
        if is_success && *is_complete && !is_whole {
            broken += 1;
            world.log(&format!("request {id} on {route}: a complete {status} without the runner's body: {start:?}"));
        }
    }
    for ((route, status, is_whole), count) in totals {
        world.log(&format!("{route}: {count} answers with status {status}, body {}", if is_whole { "whole" } else { "not whole" }));
    }
    for server in &servers {
        world.log(&format!("{} ran {} requests", server.id, server.arrivals.lock().unwrap().len()));
    }
    let spoiled = spoiled.lock().unwrap().len();
    world.log(&format!("answers spoiled: {spoiled}; successes that callers got without the runner's body: {broken}"));
    if world.trouble && spoiled == 0 {
        return Err("no answer was spoiled".to_owned());
    }
    Ok(broken == 0)
}
