//! The story of a request, told from the logs of several processes.
//!
//! Each process writes one JSON object a line. A story has the lines that name the request, in the
//! order in which they happened, and what the processes and servers that it met went through at that
//! time; it ends with the cause.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Lines of a process or server count as far as this from the request, in milliseconds: the time in
/// which the system has to notice a change.
const NEARBY_MS: u64 = 3_000;
/// Parts whose lines concern a whole process.
const PROCESS_PARTS: [&str; 5] = ["run", "config", "platform", "peers", "front"];
/// Parts whose lines concern a backend server.
const SERVER_PARTS: [&str; 3] = ["server", "reserve", "quarantine"];

/// A line of a log.
type Line = Map<String, Value>;

/// The story of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Story {
    /// What happened, in order.
    pub events: Vec<String>,
    /// Why the request ended as it did.
    pub cause: String,
}

/// Returns the story of the request with this id, or nothing if no log names it. Lines that are not
/// of our logs are passed over.
pub fn reconstruct<'a>(lines: impl Iterator<Item = &'a str>, request: &str) -> Option<Story> {
    let mut lines: Vec<Line> = lines.filter_map(parse).collect();
    lines.sort_by_key(time);
    let own: Vec<&Line> = lines.iter().filter(|it| names(it, request)).collect();
    let (first, last) = (own.first()?, own.last()?);
    let elapsed = last.get("elapsed_ms").and_then(Value::as_u64);
    let start = time(first).saturating_sub(elapsed.unwrap_or_default() + NEARBY_MS);
    let end = time(last) + NEARBY_MS;
    let nodes: BTreeSet<&str> = own.iter().filter_map(|it| text(it, "node")).collect();
    let servers: BTreeSet<&str> = own.iter().filter_map(|it| text(it, "server")).collect();
    let is_told = |it: &&Line| {
        names(it, request) || ((start..=end).contains(&time(it)) && concerns(it, &nodes, &servers))
    };
    let events = lines.iter().filter(is_told).map(describe);
    Some(Story {
        events: events.collect(),
        cause: cause(&own),
    })
}

fn parse(line: &str) -> Option<Line> {
    // A log collector may have put something before the object.
    let object = &line[line.find('{')?..];
    let Ok(Value::Object(line)) = serde_json::from_str(object) else {
        return None;
    };
    line.contains_key("part").then_some(line)
}

fn text<'a>(line: &'a Line, field: &str) -> Option<&'a str> {
    line.get(field).and_then(Value::as_str)
}

fn time(line: &Line) -> u64 {
    line.get("ms").and_then(Value::as_u64).unwrap_or_default()
}

fn names(line: &Line, request: &str) -> bool {
    text(line, "request") == Some(request)
}

fn concerns(line: &Line, nodes: &BTreeSet<&str>, servers: &BTreeSet<&str>) -> bool {
    let part = text(line, "part").unwrap_or_default();
    let of_node = text(line, "node").is_some_and(|it| nodes.contains(it));
    let of_server = text(line, "server").is_some_and(|it| servers.contains(it));
    (of_node && PROCESS_PARTS.contains(&part)) || (of_server && SERVER_PARTS.contains(&part))
}

fn describe(line: &Line) -> String {
    let hidden = ["ms", "node", "level", "part", "text"];
    let fields = line.iter().filter(|it| !hidden.contains(&it.0.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let of = |field| text(line, field).unwrap_or("-");
    format!(
        "{} {} {}: {} [{}]",
        time(line),
        of("node"),
        of("part"),
        of("text"),
        fields.join(" ")
    )
}

/// Returns why a request ended as it did, by its last lines.
fn cause(own: &[&Line]) -> String {
    let last_of = |part: &str| own.iter().rev().find(|it| text(it, "part") == Some(part));
    let broken = last_of("broken").map(|it| {
        let server = text(it, "server").unwrap_or("-");
        let error = text(it, "error").unwrap_or("-");
        format!("the answer of {server} broke off: {error}")
    });
    if let Some(refusal) = last_of("refuse") {
        let reason = text(refusal, "reason").unwrap_or("-");
        let why = match reason {
            "unconfigured" => "this instance knew no configuration yet",
            "no_route" => "no route of the configuration in force matches host and path",
            "unknown_key" => "the configuration in force has no such key",
            "quarantined" => "earlier attempts of the same request brought servers down",
            "no_server" => "no server of the service took work or could be reached",
            "no_room" => "no engines had memory for the prompt",
            "too_late" => "the caller would have left before the first event",
            "not_run" => "every server that was asked said that it did not run it",
            "failed" => "a server may have run it and its answer is lost",
            "timed_out" => "the route's time limit passed",
            _ => "unknown reason",
        };
        let broken = broken.map_or(String::new(), |it| format!("; {it}"));
        return format!("refused ({reason}): {why}{broken}");
    }
    let ended = last_of("request").or(last_of("attempt"));
    let outcome = ended
        .and_then(|it| text(it, "outcome"))
        .unwrap_or("unknown");
    match broken {
        Some(broken) => format!("{outcome}; {broken}"),
        None => outcome.to_owned(),
    }
}
