//! The servers that an attempt is sent to.

use std::rc::Rc;
use std::time::Duration;

use cost::Estimate;
use placement::Plan;
use placement::Server;
use placement::plan::Load;
use placement::workload::Part;
use placement::workload::Timeliness;

use crate::port::Helper;

/// Priorities of waiting requests at an engine, 0 to 9; lower ones go first.
const PRIORITY_ON_TIME: u8 = 3;
const PRIORITY_LATE: u8 = 7;
/// The lowest priority. Only late requests are told apart by level: ranks by length among those that are
/// on time made long ones late that were forecast in time (0.693 without, 0.679 with, see
/// docs/design/placement.md).
const PRIORITY_LOWEST: u8 = 9;

/// The servers that an attempt is sent to, and the forecast for them.
#[derive(Clone, Debug)]
pub struct Target {
    /// The server that answers.
    pub server: Rc<Server>,
    /// Servers that prefill parts of the prompt.
    pub helpers: Vec<Helper>,
    /// The work of each server, that of `server` first.
    pub parts: Vec<Part>,
    /// The forecast time to the first token.
    pub first_token: Duration,
    /// The expected loss of the plan, in the value of a short request.
    pub loss: f64,
    /// The load of the server when it was chosen.
    pub load: Load,
    /// Whether the first token is expected in time; absent for plain services.
    pub timeliness: Option<Timeliness>,
    /// What the request is expected to cost; `None` while too little is known.
    pub estimate: Option<Estimate>,
}

impl Target {
    /// Returns the target of an attempt at a plain service.
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
            load: Load::default(),
            timeliness: None,
            estimate: None,
        }
    }

    /// Returns the priority among the requests that wait at an engine, for a request that is less urgent
    /// by `level` levels than the most urgent ones of its service.
    pub fn priority(&self, level: u32) -> Option<u8> {
        let lower = u8::try_from(level).unwrap_or(u8::MAX);
        self.timeliness.map(|it| match it {
            Timeliness::OnTime => PRIORITY_ON_TIME,
            Timeliness::Late => PRIORITY_LATE.saturating_add(lower).min(PRIORITY_LOWEST),
        })
    }

    /// Returns the ids of the helpers, separated by commas, for logs.
    pub fn helper_ids(&self) -> String {
        let ids: Vec<&str> = self
            .helpers
            .iter()
            .map(|it| it.server.id.as_str())
            .collect();
        ids.join(",")
    }

    /// Returns the target of a plan whose parts go to `servers`; `None` if there are no servers.
    pub fn planned(plan: Plan, servers: Vec<Rc<Server>>) -> Option<Self> {
        let (server, helpers) = servers.split_first()?;
        let helpers = helpers.iter().map(|it| Helper {
            server: it.clone(),
            reservation_id: None,
        });
        Some(Self {
            server: server.clone(),
            helpers: helpers.collect(),
            parts: plan.parts,
            first_token: plan.first_token,
            loss: plan.loss,
            load: plan.load,
            timeliness: Some(plan.timeliness),
            estimate: None,
        })
    }
}
