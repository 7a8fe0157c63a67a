//! Startup and graceful shutdown of the process.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Timer;
use membership::message::Rumour;
use platform::Instance;
use platform::Role;
use platform::Status;
use settings::Entry as Settings;
use web::server;
use web::server::Handle;

use crate::callers;
use crate::claims;
use crate::datagrams;
use crate::dispatch;
use crate::engines;
use crate::follow;
use crate::limits;
use crate::node::Addresses;
use crate::node::Node;
use crate::operators;
use crate::orders;
use crate::peers;
use crate::peers::Sockets;

/// The interval between two reads of the platform's instance list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the shutdown checks its conditions.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry instance until a signal or a drain request stops it.
pub fn run(settings: Settings) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let (callers, callers_at) = server::bind(settings.callers)
        .context("failed to bind `callers`: choose another address")?;
    let peers =
        Sockets::bind(settings.peers).context("failed to bind `peers`: choose another address")?;
    let peers_at = peers.address;
    let (operators, operators_at) = server::bind(settings.operators)
        .context("failed to bind `operators`: choose another address")?;
    let addresses = Addresses {
        callers: callers_at,
        peers: peers_at,
        operators: operators_at,
    };
    println!("listening callers={callers_at} peers={peers_at} operators={operators_at}");
    let node = Node::new(settings, addresses, executor.clone());
    let datagrams = Rc::new(peers.datagrams);
    let _ = node.datagrams.set(datagrams.clone());
    log::info!(target: "run", "Started as incarnation {}.", node.incarnation);

    let caller_node = node.clone();
    let handler = move |exchange| callers::handle(caller_node.clone(), exchange);
    let timeout = Duration::from_millis(node.settings.caller_timeout_ms);
    let handle = node.server_handle.clone().with_timeout(timeout);
    let serve = server::serve(executor.clone(), callers, handle, handler);
    executor.spawn(serve).detach();
    let operator_node = node.clone();
    let handler = move |exchange| operators::handle(operator_node.clone(), exchange);
    let serve = server::serve(executor.clone(), operators, Handle::default(), handler);
    executor.spawn(serve).detach();

    executor
        .spawn(peers::gossip(node.clone(), datagrams))
        .detach();
    executor
        .spawn(peers::server::serve(node.clone(), peers.listener))
        .detach();
    executor.spawn(limits::report_usage(node.clone())).detach();
    executor.spawn(follow::run(node.clone())).detach();
    executor
        .spawn(follow::write_snapshots(node.clone()))
        .detach();
    executor.spawn(poll_instances(node.clone())).detach();
    executor.spawn(engines::poll_loads(node.clone())).detach();
    executor.spawn(engines::sweep(node.clone())).detach();
    executor.spawn(orders::run(node.clone())).detach();
    executor.spawn(dispatch::run(node.clone())).detach();
    async_io::block_on(executor.run(shut_down(node)))
}

/// Polls the platform's list of instances.
async fn poll_instances(node: Rc<Node>) {
    loop {
        match node.platform.instances().await {
            Ok(instances) => apply_instances(&node, &instances),
            Err(error) => log::debug!(target: "list", "Reading the instance list failed: {error}."),
        }
        Timer::after(poll_interval(&node)).await;
    }
}

/// Returns the delay before the next read. The list grows with the fleet, so in a large fleet each
/// entry reads it rarely. The fleet as a whole still reads it often, and entries share changes.
fn poll_interval(node: &Node) -> Duration {
    let entries = node.core.borrow().members.alive().count() as u32;
    let jitter = 0.5 + rand::random::<f64>();
    node.scaled_interval(POLL_INTERVAL, (POLL_INTERVAL * entries).mul_f64(jitter))
}

fn apply_instances(node: &Node, instances: &[Instance]) {
    let entries = instances.iter().filter_map(|it| match it.role {
        Role::Entry { peers, .. } => Some(peers),
        Role::BackendServer => None,
    });
    let mut core = node.core.borrow_mut();
    let entries: Vec<_> = entries.collect();
    let probes = core.members.set_listed(&entries, &mut rand::rng());
    datagrams::send_all(node, probes);
    let is_leaving = |it: &&Instance| it.status == Status::Leaving;
    let leaving = instances
        .iter()
        .filter(is_leaving)
        .filter(|it| it.role == Role::BackendServer);
    for instance in leaving {
        if core.mark_leaving(&instance.name) {
            let server = instance.name.clone();
            core.members.gossip(Rumour::ServerLeaving { server });
        }
    }
}

/// Waits for a signal or a drain request, then shuts down after all running requests are completed.
async fn shut_down(node: Rc<Node>) -> Result<()> {
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::Ordering;

    let signal = Arc::new(AtomicBool::new(false));
    for signal_number in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal_number, signal.clone())
            .context("failed to register signal handlers")?;
    }
    while !signal.load(Ordering::Relaxed) && !node.core.borrow().is_stopping {
        Timer::after(STOP_CHECK_INTERVAL).await;
    }
    node.core.borrow_mut().is_stopping = true;
    datagrams::announce_phase(&node);
    // Callers may cache a list that includes this instance, and other entries may return such lists
    // for as long as the platform's instance list lags behind.
    let settings = &node.settings;
    let grace_period = Duration::from_millis(settings.answer_lifetime_ms + settings.list_lag_ms);
    log::info!(target: "run", "Stopping. Serving requests for another {grace_period:?}.");
    let end = clock::now() + grace_period;
    clock::wait_until(end).await;
    node.server_handle.stop();
    while node.server_handle.active_requests() > 0 {
        Timer::after(STOP_CHECK_INTERVAL).await;
    }
    claims::hand_over(&node).await;
    log::info!(target: "run", "Stopped.");
    Ok(())
}
