//! Formats the capacity tables in Markdown.

use std::fmt::Write;

use super::fit::Line;
use super::measure::Slopes;
use super::size;

/// Load reports per second about one backend server at the planned size.
const REPORTS_PER_SECOND: f64 = 1.0 / 3.0;
/// Polls per second of one backend server, for its load, its holds and its orders.
const POLLS_PER_SECOND: f64 = 1.0 / 3.0 + 1.0 / 3.0 + 1.0 / 5.0;
/// Bytes of one poll, with the headers of TCP and IP.
const POLL_BYTES: f64 = 130.0;
/// Bytes of one instance in the platform's instance list.
const LISTED_BYTES: f64 = 150.0;
/// Seconds between two reads of the instance list by one entry, for each entry of the deployment.
const LIST_SECONDS_PER_ENTRY: f64 = 0.5;
/// Bytes that the call protocol and TCP add to each pair of request and answer.
const CALL_OVERHEAD_BYTES: f64 = 250.0;
/// Allotments per request. Customers with a steady rate get allotments ahead of need.
const ALLOTMENTS_PER_REQUEST: f64 = 1.0;

/// Configuration snapshots per day.
const SNAPSHOTS_PER_DAY: f64 = 4.0;
/// The maximum time for which a shard keeps a claim that counts, in seconds: half of the log's
/// retention of one day.
const CLAIM_SECONDS: f64 = size::SECONDS_PER_DAY / 2.0;
/// The time for which tickets are kept, in seconds.
const TICKET_SECONDS: f64 = 1_800.0;

/// Returns the table of measured slopes.
pub fn slopes(it: &Slopes) -> String {
    let rows: [(&str, &str, &Line, f64); 15] = [
        (
            "membership: datagrams /s",
            "nodes",
            &it.gossip.datagrams,
            1.0,
        ),
        ("membership: bytes /s", "nodes", &it.gossip.bytes, 1.0),
        ("membership: processor µs /s", "nodes", &it.gossip.cpu, 1e6),
        ("membership: heap bytes", "nodes", &it.gossip.heap, 1.0),
        (
            "load reports: bytes of a datagram",
            "reports",
            &it.report_bytes,
            1.0,
        ),
        ("placement: processor µs", "runners", &it.placement, 1e6),
        ("routing: heap bytes", "runners", &it.routing_heap, 1.0),
        ("allotment: processor µs", "accounts", &it.allotment, 1e6),
        ("accounts: heap bytes", "accounts", &it.accounts_heap, 1.0),
        ("claim: processor µs", "keys", &it.claim, 1e6),
        ("claims: heap bytes", "keys", &it.claims_heap, 1.0),
        ("claims: bytes of a record", "claims", &it.claim_bytes, 1.0),
        ("tickets: heap bytes", "tickets", &it.tickets_heap, 1.0),
        (
            "configuration change: processor µs",
            "contracts",
            &it.change,
            1e6,
        ),
        (
            "configuration: heap bytes",
            "contracts",
            &it.config_heap,
            1.0,
        ),
    ];
    let mut out =
        "| measured | by | points | slope | intercept | residual |\n|---|---|---|---|---|---|\n"
            .to_owned();
    for (name, by, line, scale) in rows {
        let points = line
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {:.4}", y * scale));
        let points = points.collect::<Vec<_>>().join(", ");
        let _ = writeln!(
            out,
            "| {name} | {by} | {points} | {:.4} | {:.2} | {:.1}% |",
            line.slope * scale,
            line.intercept * scale,
            line.residual * 100.0
        );
    }
    out
}

/// The load that one role puts on a node, with rates per second.
struct Role {
    name: &'static str,
    state: f64,
    messages: f64,
    bytes: f64,
    cpu: f64,
    mechanism: &'static str,
}

fn all_roles(it: &Slopes) -> Vec<Role> {
    let peers = size::NODES / size::DATA_CENTRES - 1.0;
    let runners_per_node = size::RUNNERS / size::NODES;
    let report_bytes = it.report_bytes.at(runners_per_node.ceil());
    let requests = size::REQUESTS_PER_SECOND / size::NODES;
    let accounts = size::ORGANISATIONS / size::NODES;
    let keyed = size::REQUESTS_PER_SECOND * size::KEYED_FRACTION;
    let generated = keyed * size::GENERATED_FRACTION;
    let shard_keys = generated * CLAIM_SECONDS / claim::SHARD_COUNT as f64;
    let tickets = keyed * (1.0 - size::GENERATED_FRACTION) * TICKET_SECONDS / size::NODES;
    let shards = claim::SHARD_COUNT as f64;
    let change = it.change.at(size::ORGANISATIONS);
    vec![
        Role {
            name: "membership",
            state: it.gossip.heap.at(size::NODES),
            messages: it.gossip.datagrams.at(size::NODES),
            bytes: it.gossip.bytes.at(size::NODES),
            cpu: it.gossip.cpu.at(size::NODES),
            mechanism: "randomised probing, with rumours in the probes",
        },
        Role {
            name: "engine home",
            state: it.routing_heap.at(size::RUNNERS / size::DATA_CENTRES),
            messages: peers * REPORTS_PER_SECOND + runners_per_node * POLLS_PER_SECOND,
            bytes: peers * REPORTS_PER_SECOND * report_bytes
                + runners_per_node * POLLS_PER_SECOND * POLL_BYTES,
            cpu: 2.0 * peers * REPORTS_PER_SECOND * 5e-6,
            mechanism: "one home reads each runner and sends its load to the entries of the data centre",
        },
        Role {
            name: "contract home",
            state: it.accounts_heap.at(accounts),
            messages: 2.0 * requests * ALLOTMENTS_PER_REQUEST,
            bytes: requests * ALLOTMENTS_PER_REQUEST * (it.allotment_bytes + CALL_OVERHEAD_BYTES),
            cpu: requests * ALLOTMENTS_PER_REQUEST * (it.allotment.at(accounts) + 40e-6),
            mechanism: "rendezvous home for each contract, allotments ahead of need",
        },
        Role {
            name: "claim shard (on 32 nodes)",
            state: it.claims_heap.at(shard_keys),
            messages: 2.0 * generated / shards,
            bytes: (generated / shards) * (2.0 * it.claim_bytes.slope + CALL_OVERHEAD_BYTES),
            cpu: 2.0 * (generated / shards) * (it.claim.at(shard_keys) + 40e-6),
            mechanism: "32 claim streams, one home each, batched appends",
        },
        Role {
            name: "tickets",
            state: it.tickets_heap.at(tickets),
            messages: 2.0 * keyed * (1.0 - size::GENERATED_FRACTION) / size::NODES,
            bytes: keyed * (1.0 - size::GENERATED_FRACTION) / size::NODES * CALL_OVERHEAD_BYTES,
            cpu: keyed / size::NODES * 40e-6,
            mechanism: "the issuing incarnation alone decides",
        },
        Role {
            name: "configuration follower",
            state: it.config_heap.at(size::ORGANISATIONS),
            messages: size::CHANGES_PER_DAY / size::SECONDS_PER_DAY,
            bytes: size::CHANGES_PER_DAY / size::SECONDS_PER_DAY * it.change_bytes,
            cpu: size::CHANGES_PER_DAY / size::SECONDS_PER_DAY * change,
            mechanism: "fold of one stream with long polling; snapshots before records expire",
        },
    ]
}

/// Returns the table of the load by role at the planned size.
pub fn roles(it: &Slopes) -> String {
    let mut out = "| role | state kB | messages /s | bytes /s | processor | mechanism |\n\
                   |---|---|---|---|---|---|\n"
        .to_owned();
    for role in all_roles(it) {
        let _ = writeln!(
            out,
            "| {} | {:.1} | {:.2} | {:.0} | {:.3}% | {} |",
            role.name,
            role.state / 1e3,
            role.messages,
            role.bytes,
            role.cpu * 100.0,
            role.mechanism
        );
    }
    out
}

/// Returns the table that compares the computed totals with their targets.
pub fn totals(it: &Slopes) -> String {
    let roles = all_roles(it);
    let sum = |value: fn(&Role) -> f64| roles.iter().map(value).sum::<f64>();
    let generated = size::REQUESTS_PER_SECOND * size::KEYED_FRACTION * size::GENERATED_FRACTION;
    let shard_appends = (2.0 * generated).min(claim::APPENDS_PER_SECOND as f64);
    let snapshot_parts = (size::ORGANISATIONS / config::snapshot::ENTRIES_PER_PART as f64).ceil();
    let config_appends =
        (size::CHANGES_PER_DAY + SNAPSHOTS_PER_DAY * snapshot_parts) / size::SECONDS_PER_DAY;
    let placement = &it.placement.points;
    let ratio = placement[2].1 / placement[0].1;
    let rows = [
        (
            "control: processor, % of a core",
            sum(|it| it.cpu) * 100.0,
            size::CPU_TARGET * 100.0,
        ),
        (
            "control: memory, MB",
            sum(|it| it.state) / 1e6,
            size::MEMORY_TARGET / 1e6,
        ),
        (
            "control: bytes /s sent",
            sum(|it| it.bytes),
            size::BYTES_TARGET,
        ),
        (
            "appends /s, all streams",
            shard_appends + config_appends,
            size::APPENDS_TARGET,
        ),
        (
            "placement among 1,300 to 13 runners, ratio",
            ratio,
            size::PLACEMENT_TARGET,
        ),
        (
            "snapshot, kB (four a day)",
            it.snapshot_bytes.at(size::ORGANISATIONS) / 1e3,
            f64::INFINITY,
        ),
        (
            "tokens /s through one entry at peak load",
            size::TOKENS_PER_SECOND / size::NODES,
            f64::INFINITY,
        ),
        (
            "member changes per hour",
            size::MEMBER_CHANGES_PER_DAY / 24.0,
            f64::INFINITY,
        ),
        (
            "instance list: bytes /s received",
            (size::NODES + size::RUNNERS) * LISTED_BYTES / (LIST_SECONDS_PER_ENTRY * size::NODES),
            f64::INFINITY,
        ),
    ];
    let mut out =
        "| at the planned size, for each node | computed | target | met |\n|---|---|---|---|\n"
            .to_owned();
    for (name, value, target) in rows {
        let (target, met) = if target.is_finite() {
            (
                format!("{target:.1}"),
                if value <= target { "yes" } else { "no" },
            )
        } else {
            ("none".to_owned(), "")
        };
        let _ = writeln!(out, "| {name} | {value:.2} | {target} | {met} |");
    }
    out
}
