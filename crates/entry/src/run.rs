//! Starting and stopping the process.

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
use web::server::Switch;

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

/// The time between two readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How often a stopping process looks whether it is done.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// Runs an entry instance until it is told to stop.
pub fn run(settings: Settings) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let (callers, callers_at) =
        server::bind(settings.callers).context("`callers` can't be bound: choose another")?;
    let peers = Sockets::bind(settings.peers).context("`peers` can't be bound: choose another")?;
    let peers_at = peers.address;
    let (operators, operators_at) =
        server::bind(settings.operators).context("`operators` can't be bound: choose another")?;
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
    let switch = node.switch.clone().with_timeout(timeout);
    let serve = server::serve(executor.clone(), callers, switch, handler);
    executor.spawn(serve).detach();
    let operator_node = node.clone();
    let handler = move |exchange| operators::handle(operator_node.clone(), exchange);
    let serve = server::serve(executor.clone(), operators, Switch::default(), handler);
    executor.spawn(serve).detach();

    executor
        .spawn(peers::gossip(node.clone(), datagrams))
        .detach();
    executor
        .spawn(peers::server::serve(node.clone(), peers.listener))
        .detach();
    executor.spawn(limits::renew(node.clone())).detach();
    executor.spawn(follow::run(node.clone())).detach();
    executor
        .spawn(follow::keep_snapshots(node.clone()))
        .detach();
    executor.spawn(list(node.clone())).detach();
    executor.spawn(engines::poll_loads(node.clone())).detach();
    executor.spawn(engines::sweep(node.clone())).detach();
    executor.spawn(orders::run(node.clone())).detach();
    executor.spawn(dispatch::run(node.clone())).detach();
    async_io::block_on(executor.run(stop(node)))
}

/// Reads the platform's list of instances again and again.
async fn list(node: Rc<Node>) {
    loop {
        match node.platform.instances().await {
            Ok(instances) => take_list(&node, &instances),
            Err(error) => log::debug!(target: "list", "No instance list: {error}."),
        }
        Timer::after(list_interval(&node)).await;
    }
}

/// Returns the time to the next reading. The list grows with the fleet, so that in a large one each
/// entry reads it seldom, and some entry often; what it finds is told to the others.
fn list_interval(node: &Node) -> Duration {
    let entries = node.core.borrow().members.alive().count() as u32;
    let jitter = 0.5 + rand::random::<f64>();
    node.scaled_interval(LIST_INTERVAL, (LIST_INTERVAL * entries).mul_f64(jitter))
}

fn take_list(node: &Node, instances: &[Instance]) {
    let entries = instances.iter().filter_map(|it| match it.role {
        Role::Entry { peers, .. } => Some(peers),
        Role::BackendServer => None,
    });
    let mut core = node.core.borrow_mut();
    let entries: Vec<_> = entries.collect();
    let greetings = core.members.list(&entries, &mut rand::rng());
    datagrams::send_all(node, greetings);
    let is_leaving = |it: &&Instance| it.status == Status::Leaving;
    let leaving = instances
        .iter()
        .filter(is_leaving)
        .filter(|it| it.role == Role::BackendServer);
    for instance in leaving {
        if core.mark_leaving(&instance.name) {
            let server = instance.name.clone();
            core.members.tell(Rumour::ServerLeaving { server });
        }
    }
}

/// Waits for a signal, then stops without cutting off a request.
async fn stop(node: Rc<Node>) -> Result<()> {
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::Ordering;

    let signal = Arc::new(AtomicBool::new(false));
    for number in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(number, signal.clone()).context("signals can't be handled")?;
    }
    while !signal.load(Ordering::Relaxed) && !node.core.borrow().is_stopping {
        Timer::after(STOP_CHECK).await;
    }
    node.core.borrow_mut().is_stopping = true;
    datagrams::announce_phase(&node);
    // Callers may keep an answer that names this instance, and others may give out such answers
    // for as long as the list lags behind.
    let settings = &node.settings;
    let linger = Duration::from_millis(settings.answer_lifetime_ms + settings.list_lag_ms);
    log::info!(target: "run", "Stopping. Serving for {linger:?} more.");
    let end = clock::now() + linger;
    clock::wait_until(end).await;
    node.switch.stop();
    while node.switch.busy() > 0 {
        Timer::after(STOP_CHECK).await;
    }
    claims::hand_over(&node).await;
    log::info!(target: "run", "Stopped.");
    Ok(())
}
