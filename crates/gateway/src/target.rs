//! Where an attempt goes.

use std::rc::Rc;
use std::time::Duration;

use placement::Plan;
use placement::Server;
use placement::plan::Load;
use placement::workload::Part;
use placement::workload::Timeliness;

use crate::port::Helper;

/// Ranks of waiting requests at an engine, 0 to 9, lower ones first.
const RANK_ON_TIME: u8 = 3;
const RANK_LATE: u8 = 7;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// The server that answers.
    pub server: Rc<Server>,
    /// Servers that read parts of the prompt.
    pub helpers: Vec<Helper>,
    /// What each server does.
    pub parts: Vec<Part>,
    /// The time until the first token, as forecast.
    pub first_token: Duration,
    /// What the plan expects to be lost, in the value of a short request.
    pub loss: f64,
    /// What was known of the server.
    pub basis: Load,
    /// Whether the request can still be in time; absent for plain services.
    pub standing: Option<Timeliness>,
}

impl Target {
    /// Returns an attempt at a plain service.
    pub fn plain(server: Rc<Server>) -> Self {
        let part = Part {
            server: server.key(),
            prefill_ms: 0.0,
            tokens: 0,
        };
        Self {
            server,
            helpers: Vec::new(),
            parts: vec![part],
            first_token: Duration::ZERO,
            loss: 0.0,
            basis: Load::default(),
            standing: None,
        }
    }

    /// Returns the rank among the requests that wait at an engine.
    pub fn rank(&self) -> Option<u8> {
        self.standing.map(|it| match it {
            Timeliness::OnTime => RANK_ON_TIME,
            Timeliness::Late => RANK_LATE,
        })
    }

    /// Returns the ids of the servers that read parts, for logs.
    pub fn helper_names(&self) -> String {
        let names: Vec<&str> = self
            .helpers
            .iter()
            .map(|it| it.server.id.as_str())
            .collect();
        names.join(",")
    }

    /// Returns an attempt by a plan whose parts go to `servers`.
    pub fn planned(plan: Plan, servers: Vec<Rc<Server>>) -> Option<Self> {
        let (server, helpers) = servers.split_first()?;
        let helpers = helpers.iter().map(|it| Helper {
            server: it.clone(),
            ticket: None,
        });
        Some(Self {
            server: server.clone(),
            helpers: helpers.collect(),
            parts: plan.parts,
            first_token: plan.first_token,
            loss: plan.loss,
            basis: plan.load,
            standing: Some(plan.timeliness),
        })
    }
}
