//! Compares routing policies, and measures how an overload by one firm affects another.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use domain::Length;
use harness::Cluster;
use harness::cluster::Options;
use load::Customer;
use load::Mix;
use load::Report;
use load::mix::Stream;
use load::report::Percentiles;
use load::run;
use serde_json::Value;
use serde_json::json;

/// The number of engines when policies are compared.
const ENGINES: usize = 6;
/// The number of engines that the firms share, low enough that [`OVERLOAD`] exceeds their capacity.
const FIRM_ENGINES: usize = 3;
/// The time during which prompts arrive in one run.
const TIME: Duration = Duration::from_secs(12);
/// Short prompts per second of each firm.
const SHORT_RATE: f64 = 60.0;
/// Long prompts per second of each firm.
const LONG_RATE: f64 = 1.0;
/// The prefixes of the trace steps that begin and end the stages of a request.
const STAGES: [&str; 4] = ["arrived", "admitted", "attempt 1: placed", "first token"];
/// The number of latest requests of each entry that are evaluated.
const LATEST_REQUESTS: u64 = 2_000;
/// The factor by which one firm increases its request rate to overload the fleet.
const OVERLOAD: f64 = 10.0;

/// Compares the routing policies.
pub fn run() -> Result<()> {
    println!("policy        class      p50 ms     p95 ms     p99 ms   short p95 slowdown");
    for policy in ["by_length", "round_robin", "least_loaded"] {
        let cluster = start(policy, ENGINES)?;
        warm_up(&cluster)?;
        let mix = mix(1.0);
        let short_only = send(&cluster, &mix.without_long())?;
        let mixed = send(&cluster, &mix)?;
        let short_p95 = |it: &Report| it.first_token(Length::Short).p95_ms;
        let slowdown = short_p95(&mixed) / short_p95(&short_only);
        for (length, class) in &mixed.classes {
            let times = class.first_token;
            println!(
                "{policy:<13} {length:<6} {:>10.1} {:>10.1} {:>10.1}   {slowdown:.2}   complete {}/{} {:?}",
                times.p50_ms,
                times.p95_ms,
                times.p99_ms,
                class.complete,
                class.sent,
                class.failures
            );
        }
    }
    Ok(())
}

/// Measures how an overload by the first firm affects the second one.
pub fn firms() -> Result<()> {
    println!(
        "firms: p95 of the second firm's short prompts, with the first firm at 1 and {OVERLOAD} times its rate"
    );
    for policy in ["by_length", "round_robin"] {
        let cluster = start(policy, FIRM_ENGINES)?;
        warm_up(&cluster)?;
        let second_firm_p95 = |report: &Report| report.customers[&1].first_token.p95_ms;
        let normal = second_firm_p95(&send(&cluster, &mix(1.0).without_long())?);
        let overload = send(&cluster, &mix(OVERLOAD).without_long())?;
        println!(
            "{policy:<13} {normal:.1} ms and {:.1} ms, ratio {:.2}; first firm {:?}",
            second_firm_p95(&overload),
            second_firm_p95(&overload) / normal,
            overload.customers[&0].failures
        );
        print_stages(&cluster, "riders")?;
    }
    Ok(())
}

fn start(policy: &str, engines: usize) -> Result<Cluster> {
    let mut settings = Options::default().settings;
    settings["routing"] = json!(policy);
    Cluster::start(Options {
        engines,
        services: 0,
        engine_options: vec!["--speed=4".into(), "--token-us=5000".into()],
        settings,
        contract_overrides: json!({
            "tokens_per_second": 100_000_000, "burst_tokens": 100_000_000,
            "requests_per_second": 100_000, "burst_requests": 100_000,
            "concurrent_requests": 100_000,
        }),
        ..Options::default()
    })
}

/// Sends prompts from which the entries estimate the cost of prompts by length.
fn warm_up(cluster: &Cluster) -> Result<()> {
    let mix = Mix {
        seed: 99,
        duration: Duration::from_secs(3),
        ..mix(1.0)
    };
    send(cluster, &mix).map(|_| ())
}

fn mix(first_firm_factor: f64) -> Mix {
    let stream = |customer, length, per_second| Stream {
        customer,
        length,
        per_second,
        answer_tokens: 10,
    };
    let streams = vec![
        stream(0, Length::Short, SHORT_RATE * first_firm_factor),
        stream(1, Length::Short, SHORT_RATE),
        stream(0, Length::Long, LONG_RATE),
        stream(1, Length::Long, LONG_RATE),
    ];
    Mix {
        seed: 7,
        duration: TIME,
        streams,
    }
}

fn send(cluster: &Cluster, mix: &Mix) -> Result<Report> {
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|it| it.caller_address).collect();
    let customers: Vec<Customer> = vec![cluster.customer("forum"), cluster.customer("riders")];
    run::run(&entries, &customers, mix)
}

/// Prints how long the latest requests of a customer spent in each stage, from their traces.
fn print_stages(cluster: &Cluster, customer: &str) -> Result<()> {
    let mut stages: Vec<Vec<Duration>> = vec![Vec::new(); STAGES.len() - 1];
    for entry in &cluster.entries {
        let status = cluster.get_json(entry.operator_address, "/status")?;
        let last_number = status["requests"].as_u64().unwrap_or(0);
        let incarnation = status["incarnation"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        for number in last_number.saturating_sub(LATEST_REQUESTS)..=last_number {
            let path = format!("/explain/{incarnation}-{number}");
            let Ok(trace) = cluster.get_json(entry.operator_address, &path) else {
                continue;
            };
            if trace["customer"] != customer {
                continue;
            }
            let steps = trace["steps"].as_array().cloned().unwrap_or_default();
            let time_of = |prefix: &str| {
                let is_step =
                    |it: &&Value| it["what"].as_str().is_some_and(|it| it.starts_with(prefix));
                steps
                    .iter()
                    .find(is_step)
                    .and_then(|it| it["at_us"].as_u64())
            };
            for (index, times) in stages.iter_mut().enumerate() {
                if let (Some(from), Some(to)) = (time_of(STAGES[index]), time_of(STAGES[index + 1]))
                {
                    times.push(Duration::from_micros(to.saturating_sub(from)));
                }
            }
        }
    }
    for (index, times) in stages.into_iter().enumerate() {
        let count = times.len();
        let times = Percentiles::new(times);
        println!(
            "  {customer}: {} to {}: p50 {:.1} p95 {:.1} ms of {count}",
            STAGES[index],
            STAGES[index + 1],
            times.p50_ms,
            times.p95_ms
        );
    }
    Ok(())
}
