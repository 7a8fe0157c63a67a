//! Applies home regions: requests run only at servers in the regions of their route and organisation.
//!
//! Servers are left out when one is chosen ([`placement::servers::Scope`]), and checked again right before a
//! request or a reservation is sent, since the configuration may have changed meanwhile.

use crate::Node;
use crate::exchange::Exchange;
use crate::node::State;
use crate::target::Target;

/// Returns whether the servers of an attempt are in the request's home regions. Counts the attempt as
/// withdrawn if not.
pub fn permits(node: &Node, state: &State, exchange: &Exchange, target: &Target) -> bool {
    let homes = exchange.homes(state);
    let helpers = target.helpers.iter().map(|it| &it.server);
    let mut servers = std::iter::once(&target.server).chain(helpers);
    let Some(outside) = servers.find(|it| !state.servers.is_home(it, &homes)) else {
        return true;
    };
    node.metrics.home_withdrawals.inc();
    log::info!(
        target: "homes",
        request = exchange.metadata.id.as_deref().unwrap_or("-"),
        route = exchange.route.name.as_str(),
        server = outside.id.as_str(),
        data_centre = outside.data_centre.as_str(),
        homes = homes.names();
        "a request was held back, because the server is not in its home regions"
    );
    false
}

/// Logs the home regions in the configuration in force that have no effect, or that hold no listed server.
pub fn check(node: &Node, state: &State) {
    let Some(table) = &state.table else {
        return;
    };
    let mut routes = table.routes().filter(|it| !it.homes.is_any());
    if node.settings().regions.is_empty() {
        if let Some(route) = routes.next() {
            log::warn!(target: "homes", route = route.name.as_str(), homes = route.homes.names(); "the settings give no data centre's region, so home regions have no effect");
        }
        return;
    }
    if state.records.servers_position().is_none() {
        return;
    }
    for route in routes {
        let is_served = state.servers.all().any(|it| {
            let mut services = route.services.iter().map(|it| &it.0);
            services.any(|name| *name == it.server.service)
                && state.servers.is_home(&it.server, &route.homes)
        });
        if !is_served {
            log::warn!(target: "homes", route = route.name.as_str(), homes = route.homes.names(); "no listed server of the route is in its home regions");
        }
    }
}
