//! The settings of a gateway process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Regions;
use placement::budget::Policy;

/// The parts that the process's memory is divided into.
const MEMORY_PARTS: usize = 8;
/// The parts for all that is kept for callers and servers. Waiting requests may use another part, and the rest
/// is for the process itself and the kernel.
const BUFFER_PARTS: usize = 3;
/// The parts among them for the bodies of callers' requests.
const BODY_PARTS: usize = 2;

/// The settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: String,
    /// The data centre of this instance.
    pub data_centre: String,
    /// The regions of the data centres; empty if they are not known, and then home regions have no effect.
    pub regions: Rc<Regions>,
    /// The address to which callers connect.
    pub caller_address: SocketAddr,
    /// The address at which callers ask which instances to use.
    pub directory_address: Option<SocketAddr>,
    /// The address at which the platform checks whether this instance is ready.
    pub readiness_address: Option<SocketAddr>,
    /// The address to which other entries send datagrams and RPC calls.
    pub peer_address: SocketAddr,
    /// The address at which requests are served that other entries relay to this one.
    pub relay_address: Option<SocketAddr>,
    /// The address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The peer addresses of entries that may be running.
    pub seeds: Vec<SocketAddr>,
    /// The lifetime of an answer to an address query.
    pub address_lifetime: Duration,
    /// The time between the signal to stop and the end of the process.
    pub grace_period: Duration,
    /// The time within which requests must stay away from an evacuated data centre; absent if evacuations
    /// are not followed.
    pub evacuation_bound: Option<Duration>,
    /// The retry budget of all entries together.
    pub retry_budget: Policy,
    /// The processor time that the process may use, in thousandths of a core.
    pub capacity: u32,
    /// The memory that the process may use, in bytes.
    pub memory_limit: usize,
    /// The log level.
    pub log_level: log::LevelFilter,
}

impl Settings {
    /// Keeps the values `in_force` of the settings that change only with a restart. Returns the names of those
    /// that differed.
    pub fn keep_fixed(&mut self, in_force: &Self) -> Vec<&'static str> {
        let kept = [
            keep("name", &mut self.name, &in_force.name),
            keep("data_centre", &mut self.data_centre, &in_force.data_centre),
            keep(
                "caller_address",
                &mut self.caller_address,
                &in_force.caller_address,
            ),
            keep(
                "directory_address",
                &mut self.directory_address,
                &in_force.directory_address,
            ),
            keep(
                "readiness_address",
                &mut self.readiness_address,
                &in_force.readiness_address,
            ),
            keep(
                "peer_address",
                &mut self.peer_address,
                &in_force.peer_address,
            ),
            keep(
                "relay_address",
                &mut self.relay_address,
                &in_force.relay_address,
            ),
            keep(
                "metrics_address",
                &mut self.metrics_address,
                &in_force.metrics_address,
            ),
            keep("capacity", &mut self.capacity, &in_force.capacity),
            keep("log_level", &mut self.log_level, &in_force.log_level),
        ];
        kept.into_iter().flatten().collect()
    }

    /// Returns the memory that all that is kept for callers and servers may use, in bytes.
    pub fn buffer_limit(&self) -> usize {
        self.memory_limit / MEMORY_PARTS * BUFFER_PARTS
    }

    /// Returns the memory that the bodies of callers' requests may use, in bytes.
    pub fn body_limit(&self) -> usize {
        self.memory_limit / MEMORY_PARTS * BODY_PARTS
    }
}

/// Sets a value to the one in force. Returns its name if they differed.
fn keep<T: Clone + PartialEq>(
    name: &'static str,
    value: &mut T,
    in_force: &T,
) -> Option<&'static str> {
    if value == in_force {
        return None;
    }
    *value = in_force.clone();
    Some(name)
}
