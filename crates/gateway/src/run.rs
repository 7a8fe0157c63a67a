//! Starts and stops the process.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use domain::Moment;

use crate::Decoder;
use crate::Node;
use crate::Platform;
use crate::Protocol;
use crate::Settings;
use crate::calls;
use crate::configuration;
use crate::datagrams;
use crate::endpoints;
use crate::exchange::Requester;
use crate::follow;
use crate::listener;
use crate::peers;
use crate::reachability;
use crate::stop::Stop;
use crate::waiting;

/// The interval between checks for a signal to stop, and for the end of the last request.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between checks for a signal to reload, which is less urgent.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between two reads of the settings, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(10);
/// The time in which callers whose requests are abandoned get an answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// The interval between checks for the end of the last of these.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The implementations of the gateway's interfaces, which an adapter provides.
pub struct Ports<P> {
    /// The platform's store.
    pub platform: P,
    /// Decodes the platform's records.
    pub decoder: Box<dyn Decoder>,
    /// The protocol of callers and backend servers.
    pub protocol: Box<dyn Protocol>,
}

/// Runs a gateway until a signal stops it.
///
/// `reload` reads the settings again. Those that can change while the process runs take effect.
pub fn run<P: Platform>(
    settings: Settings,
    reload: impl Fn() -> Result<Settings> + 'static,
    ports: Ports<P>,
) -> Result<()> {
    let signals = Signals::register()?;
    let executor = Rc::new(LocalExecutor::new());
    let callers = bind(settings.caller_address)?;
    let datagrams = Async::<UdpSocket>::bind(settings.peer_address)
        .with_context(|| format!("can't bind {} for datagrams", settings.peer_address))?;
    let directory = settings.directory_address.map(bind).transpose()?;
    let readiness = settings.readiness_address.map(bind).transpose()?;
    let metrics = settings.metrics_address.and_then(|it| {
        let bound = bind(it);
        if let Err(error) = &bound {
            log::warn!(target: "run", error:% = error; "can't bind the metrics address; metrics are not served");
        }
        bound.ok()
    });
    let calls = bind(settings.peer_address)?;
    let relays = settings.relay_address.map(bind).transpose()?;
    let node = Node::new(
        settings,
        ports.protocol,
        ports.decoder,
        executor.clone(),
        datagrams,
    );
    datagrams::join(&node, &node.settings().seeds);
    log::info!(
        target: "run",
        incarnation:% = node.incarnation,
        callers:% = node.settings().caller_address,
        peers:% = node.settings().peer_address;
        "started"
    );
    let platform = Rc::new(ports.platform);
    let spawner = &executor;
    spawner.spawn(peers::gossip(node.clone())).detach();
    spawner.spawn(waiting::run(node.clone())).detach();
    spawner.spawn(calls::serve(node.clone(), calls)).detach();
    spawner
        .spawn(configuration::follow(node.clone(), platform.clone()))
        .detach();
    spawner
        .spawn(follow::servers(node.clone(), platform.clone()))
        .detach();
    spawner
        .spawn(follow::entries(node.clone(), platform.clone()))
        .detach();
    let endpoint_handlers = [
        (directory, endpoints::addresses as endpoints::Handler),
        (readiness, endpoints::readiness),
        (metrics, endpoints::metrics),
    ];
    for (listener, handler) in endpoint_handlers {
        if let Some(listener) = listener {
            let serve = endpoints::serve(node.clone(), listener, handler);
            spawner.spawn(serve).detach();
        }
    }
    let watch = watch_settings(node.clone(), platform, signals.clone(), reload);
    spawner.spawn(watch).detach();
    spawner.spawn(reachability::watch(node.clone())).detach();
    let accept = listener::accept(node.clone(), callers, Requester::Caller);
    let mut accepts = vec![spawner.spawn(accept)];
    if let Some(relays) = relays {
        let accept = listener::accept(node.clone(), relays, Requester::Peer);
        accepts.push(spawner.spawn(accept));
    }
    async_io::block_on(executor.run(async move {
        signals.stop_requested().await;
        stop(&node, accepts).await;
    }));
    Ok(())
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .with_context(|| format!("can't bind {address}: free it or choose another address"))
}

/// The signals that the process received.
#[derive(Clone, Debug, Default)]
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn register() -> Result<Self> {
        let signals = Self::default();
        let handlers = [
            (signal_hook::consts::SIGTERM, &signals.stop),
            (signal_hook::consts::SIGINT, &signals.stop),
            (signal_hook::consts::SIGHUP, &signals.reload),
        ];
        for (number, flag) in handlers {
            signal_hook::flag::register(number, flag.clone())
                .context("can't register a signal handler")?;
        }
        Ok(signals)
    }

    async fn stop_requested(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            Timer::after(SIGNAL_CHECK_INTERVAL).await;
        }
    }
}

/// Reads the settings again after a signal, and periodically, since they may change without one.
async fn watch_settings<P: Platform>(
    node: Rc<Node>,
    platform: Rc<P>,
    signals: Signals,
    reload: impl Fn() -> Result<Settings>,
) {
    let mut last_read = (*node.settings()).clone();
    loop {
        let due = clock::now() + SETTINGS_INTERVAL;
        while clock::now() < due && !signals.reload.load(Ordering::Relaxed) {
            Timer::after(RELOAD_CHECK_INTERVAL).await;
        }
        let is_signalled = signals.reload.swap(false, Ordering::Relaxed);
        match reload() {
            Ok(mut settings) if settings != last_read => {
                log::info!(target: "run", is_told = is_signalled; "settings changed");
                last_read = settings.clone();
                let kept = settings.keep_fixed(&node.settings());
                if !kept.is_empty() {
                    log::warn!(target: "run", settings = kept.join(" "); "these settings change only with a restart; the earlier values stay in force");
                }
                datagrams::join(&node, &settings.seeds);
                let (from, to) = (node.settings().store_address, settings.store_address);
                node.adopt_settings(settings);
                if from != to {
                    move_store(&node, &*platform, from, to);
                }
            }
            Ok(_) if is_signalled => {
                log::info!(target: "run", is_told = is_signalled; "settings read again; nothing has changed")
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(target: "run", error:% = format_args!("{error:#}"); "can't read the settings; the previous ones stay in force");
            }
        }
    }
}

/// Lets all calls go to the store at its new address. Answers of the earlier one do not count any more.
fn move_store<P: Platform>(node: &Node, platform: &P, from: SocketAddr, to: SocketAddr) {
    log::info!(target: "platform", from:% = from, to:% = to; "the address of the store has changed; all lists are read at the new one");
    platform.move_to(to);
    node.state.borrow_mut().records.move_store();
    node.moves.record();
}

/// Stops gracefully: first callers get only the addresses of other instances, then the listeners are
/// closed, then requests in progress are awaited. Those that take too long are refused.
async fn stop(node: &Node, accepts: Vec<async_executor::Task<()>>) {
    let now = clock::now();
    let stop = Stop::begin(now, &node.settings());
    node.state.borrow_mut().stop = Some(stop);
    datagrams::announce_phase(node);
    log::info!(
        target: "run",
        busy = node.running_requests.get(),
        lead_away_ms = stop.closing.since(now).as_millis() as u64,
        end_ms = stop.ending.since(now).as_millis() as u64;
        "stopping"
    );
    clock::wait_until(stop.closing).await;
    for accept in accepts {
        accept.cancel().await;
    }
    node.close_callers();
    wait_for_requests(node, stop.ending, SIGNAL_CHECK_INTERVAL).await;
    node.ending.set();
    wait_for_requests(node, clock::now() + ANSWER_TIME, END_CHECK_INTERVAL).await;
    log::info!(target: "run", busy = node.running_requests.get(); "stopped");
}

/// Completes once no request is in progress, at `end` at the latest.
async fn wait_for_requests(node: &Node, end: Moment, interval: Duration) {
    while node.running_requests.get() > 0 && clock::now() < end {
        Timer::after(interval).await;
    }
}
