//! Runs: sends a mix of prompts in an open loop, distributed evenly over the entries.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Timer;
use domain::Length;

use crate::customer::Customer;
use crate::customer::Prompt;
use crate::mix::Arrival;
use crate::mix::Mix;
use crate::report::Report;
use crate::report::Sample;

/// The interval at which a run checks whether all prompts have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Sends a mix and summarises the responses.
pub fn run(entries: &[SocketAddr], customers: &[Customer], mix: &Mix) -> Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    let samples = Rc::new(RefCell::new(Vec::new()));
    let arrivals = mix.arrivals();
    let total = arrivals.len();
    let send = async {
        let start = Instant::now();
        for (index, arrival) in arrivals.into_iter().enumerate() {
            Timer::at(start + arrival.at).await;
            let customer = customers[arrival.customer].clone();
            let entry = entries[index % entries.len()];
            let samples = samples.clone();
            let send = async move {
                let sample = send(entry, &customer, arrival).await;
                samples.borrow_mut().push(sample);
            };
            executor.spawn(send).detach();
        }
        while samples.borrow().len() < total {
            Timer::after(CHECK_INTERVAL).await;
        }
    };
    async_io::block_on(executor.run(send));
    let samples = samples.take();
    Ok(Report::new(&samples))
}

async fn send(entry: SocketAddr, customer: &Customer, arrival: Arrival) -> Sample {
    let prompt = Prompt::new(arrival.tokens, arrival.answer_tokens, arrival.seed);
    let received = customer.prompt(entry, &prompt).await;
    let result = match received {
        Ok(received) => match received.result {
            Ok(_) => Ok(received.first_token.unwrap_or(received.elapsed)),
            Err(failure) => Err(failure.kind.name().to_owned()),
        },
        Err(_) => Err("no_answer".to_owned()),
    };
    Sample {
        customer: arrival.customer,
        length: Length::of(arrival.tokens),
        result,
    }
}
