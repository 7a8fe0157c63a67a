//! `coriander-load`: sends a mix of prompts and reports the time to first token.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use clap::Parser;
use domain::Length;
use load::Customer;
use load::Mix;
use load::mix::Stream;
use load::run;

/// Sends a mix of prompts in an open loop, and reports the time to first token by length class.
///
/// The same seed sends the same prompts at the same times.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The callers' address of an entry instance, which returns the addresses of all entries.
    #[arg(long)]
    entry: SocketAddr,
    /// The customers' bearer keys, separated by commas. Each customer sends an equal share of the
    /// prompts.
    #[arg(long, required = true, value_delimiter = ',')]
    keys: Vec<String>,
    /// The random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long to send prompts, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The rate of short prompts per second (1,000 to 4,000 tokens).
    #[arg(long, default_value_t = 20.0)]
    short: f64,
    /// The rate of medium prompts per second (up to 32,000 tokens).
    #[arg(long, default_value_t = 1.0)]
    medium: f64,
    /// The rate of long prompts per second (100,000 to 200,000 tokens).
    #[arg(long, default_value_t = 0.0)]
    long: f64,
    /// The rate of huge prompts per second (up to 1,000,000 tokens).
    #[arg(long, default_value_t = 0.0)]
    huge: f64,
    /// The number of tokens of each answer.
    #[arg(long, default_value_t = 20)]
    answer_tokens: u64,
    /// First run the mix without long and huge prompts, and report how much they slow down short
    /// prompts.
    #[arg(long)]
    slowdown: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let customers: Vec<Customer> = arguments.keys.iter().map(Customer::new).collect();
    let first = customers.first().context("specify at least one key")?;
    let entries = async_io::block_on(first.entries(arguments.entry))
        .context("the entry instance does not respond: check its callers' address")?;
    let entries: Vec<SocketAddr> = entries.entries.into_iter().map(|it| it.address).collect();
    let mix = mix(&arguments);
    let baseline = match arguments.slowdown {
        true => Some(run::run(&entries, &customers, &mix.without_long())?),
        false => None,
    };
    let report = run::run(&entries, &customers, &mix)?;
    let slowdown = baseline.map(|baseline| {
        let short = |it: &load::Report| it.first_token(Length::Short).p95_ms;
        short(&report) / short(&baseline)
    });
    if arguments.json {
        let value = serde_json::json!({ "report": report, "short_p95_slowdown": slowdown });
        println!("{}", serde_json::to_string_pretty(&value)?);
    } else {
        print!("{}", report.table());
        if let Some(slowdown) = slowdown {
            println!("slowdown of short prompts at p95: {slowdown:.2}");
        }
    }
    Ok(())
}

fn mix(arguments: &Arguments) -> Mix {
    let rates = [
        arguments.short,
        arguments.medium,
        arguments.long,
        arguments.huge,
    ];
    let count = arguments.keys.len();
    let streams = Length::ALL
        .into_iter()
        .zip(rates)
        .flat_map(|(length, rate)| {
            (0..count).map(move |customer| Stream {
                customer,
                length,
                per_second: rate / count as f64,
                answer_tokens: arguments.answer_tokens,
            })
        });
    let duration = Duration::from_secs_f64(arguments.seconds);
    Mix {
        seed: arguments.seed,
        duration,
        streams: streams.collect(),
    }
}
