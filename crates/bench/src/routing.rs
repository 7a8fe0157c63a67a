//! Routing policies against one another, and firms against one another.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use domain::Length;
use harness::Cluster;
use harness::cluster::Plan;
use load::Customer;
use load::Mix;
use load::Report;
use load::mix::Stream;
use load::report::Percentiles;
use load::run;
use serde_json::Value;
use serde_json::json;

/// Engines that the policies share.
const ENGINES: usize = 6;
/// Engines that the firms share, few enough that the overload is one.
const FIRM_ENGINES: usize = 3;
/// How long prompts arrive in each run.
const TIME: Duration = Duration::from_secs(12);
/// Short prompts a second of each firm.
const SHORT_RATE: f64 = 60.0;
/// Long prompts a second of each firm.
const LONG_RATE: f64 = 1.0;
/// The steps of a trail that begin and end the stages of a request.
const STAGES: [&str; 4] = ["arrived", "admitted", "attempt 1: placed", "first token"];
/// The latest requests of each entry that are looked at.
const LATEST: u64 = 2_000;
/// How much more one firm sends when it overloads the fleet.
const OVERLOAD: f64 = 10.0;

/// Compares the policies.
pub fn run() -> Result<()> {
    println!("policy        class      p50 ms     p95 ms     p99 ms   short p95 slowdown");
    for policy in ["by_length", "round_robin", "least_loaded"] {
        let cluster = start(policy, ENGINES)?;
        warm(&cluster)?;
        let mix = mix(1.0);
        let alone = send(&cluster, &mix.without_long())?;
        let both = send(&cluster, &mix)?;
        let short = |it: &Report| it.first_token(Length::Short).p95_ms;
        let slowdown = short(&both) / short(&alone);
        for (length, class) in &both.classes {
            let times = class.first_token;
            println!(
                "{policy:<13} {length:<6} {:>10.1} {:>10.1} {:>10.1}   {slowdown:.2}   whole {}/{} {:?}",
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

/// Compares what one firm's overload does to another.
pub fn firms() -> Result<()> {
    println!("firms: p95 of the second firm's short prompts, first firm at 1 and {OVERLOAD} times");
    for policy in ["by_length", "round_robin"] {
        let cluster = start(policy, FIRM_ENGINES)?;
        warm(&cluster)?;
        let second = |report: &Report| report.customers[&1].first_token.p95_ms;
        let normal = second(&send(&cluster, &mix(1.0).without_long())?);
        let overload = send(&cluster, &mix(OVERLOAD).without_long())?;
        println!(
            "{policy:<13} {normal:.1} ms and {:.1} ms, ratio {:.2}; first firm {:?}",
            second(&overload),
            second(&overload) / normal,
            overload.customers[&0].failures
        );
        print_stages(&cluster, "riders")?;
    }
    Ok(())
}

fn start(policy: &str, engines: usize) -> Result<Cluster> {
    let mut settings = Plan::default().settings;
    settings["routing"] = json!(policy);
    Cluster::start(Plan {
        engines,
        services: 0,
        engine_options: vec!["--speed=4".into(), "--token-us=5000".into()],
        settings,
        contract: json!({
            "tokens_per_second": 100_000_000, "burst_tokens": 100_000_000,
            "requests_per_second": 100_000, "burst_requests": 100_000,
            "concurrent_requests": 100_000,
        }),
        ..Plan::default()
    })
}

/// Lets the entries learn the cost curve.
fn warm(cluster: &Cluster) -> Result<()> {
    let mix = Mix {
        seed: 99,
        duration: Duration::from_secs(3),
        ..mix(1.0)
    };
    send(cluster, &mix).map(|_| ())
}

fn mix(first_firm: f64) -> Mix {
    let stream = |customer, length, per_second| Stream {
        customer,
        length,
        per_second,
        answer_tokens: 10,
    };
    let streams = vec![
        stream(0, Length::Short, SHORT_RATE * first_firm),
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
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|it| it.callers).collect();
    let customers: Vec<Customer> = vec![cluster.customer("forum"), cluster.customer("riders")];
    run::run(&entries, &customers, mix)
}

/// Prints how long a customer's latest requests spent in each stage, from their trails.
fn print_stages(cluster: &Cluster, customer: &str) -> Result<()> {
    let mut stages: Vec<Vec<Duration>> = vec![Vec::new(); STAGES.len() - 1];
    for entry in &cluster.entries {
        let status = cluster.page(entry.operators, "/status")?;
        let last = status["requests"].as_u64().unwrap_or(0);
        let incarnation = status["incarnation"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        for number in last.saturating_sub(LATEST)..=last {
            let path = format!("/explain/{incarnation}-{number}");
            let Ok(trail) = cluster.page(entry.operators, &path) else {
                continue;
            };
            if trail["customer"] != customer {
                continue;
            }
            let steps = trail["steps"].as_array().cloned().unwrap_or_default();
            let at = |start: &str| {
                let is_meant =
                    |it: &&Value| it["what"].as_str().is_some_and(|it| it.starts_with(start));
                steps
                    .iter()
                    .find(is_meant)
                    .and_then(|it| it["at_us"].as_u64())
            };
            for (index, times) in stages.iter_mut().enumerate() {
                if let (Some(from), Some(to)) = (at(STAGES[index]), at(STAGES[index + 1])) {
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
