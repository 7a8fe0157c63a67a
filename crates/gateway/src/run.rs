//! Starting and stopping the process.

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

use crate::Decoder;
use crate::Node;
use crate::Platform;
use crate::Protocol;
use crate::Settings;
use crate::calls;
use crate::datagrams;
use crate::endpoints;
use crate::follow;
use crate::listener;
use crate::peers;

/// How often the process looks whether it was signalled, or is done.
const SIGNAL_CHECK: Duration = Duration::from_millis(50);
/// The time between two looks for a signal to reload, which is less urgent.
const RELOAD_CHECK: Duration = Duration::from_millis(250);
/// The time between two readings of the settings, which may change without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(10);
/// Callers may keep an answer that names addresses for this many times its lifetime; from the
/// platform's pages.
const KEPT_LIFETIMES: u32 = 3;
/// The part of the grace after which what is still in progress is given up, so that the process
/// ends itself.
const GRACE_PART: f64 = 0.96;

/// What the gateway needs of the outside, as an adapter gives it.
pub struct Ports<P> {
    /// The platform's store.
    pub platform: P,
    /// Reads its records.
    pub decoder: Box<dyn Decoder>,
    /// The protocol of callers and backend servers.
    pub protocol: Box<dyn Protocol>,
}

/// Runs a gateway until it is told to stop.
///
/// `reload` reads the settings again; those that can change while the process runs do.
pub fn run<P: Platform>(
    settings: Settings,
    reload: impl Fn() -> Result<Settings> + 'static,
    ports: Ports<P>,
) -> Result<()> {
    let signals = Signals::register()?;
    let executor = Rc::new(LocalExecutor::new());
    let callers = bind(settings.caller_address)?;
    let datagrams = Async::<UdpSocket>::bind(settings.peer_address)
        .with_context(|| format!("{} can't be bound for datagrams", settings.peer_address))?;
    let directory = settings.directory_address.map(bind).transpose()?;
    let readiness = settings.readiness_address.map(bind).transpose()?;
    let metrics = settings.metrics_address.and_then(|it| {
        let bound = bind(it);
        if let Err(error) = &bound {
            log::warn!(target: "run", error:% = error; "there will be no metrics");
        }
        bound.ok()
    });
    let calls = bind(settings.peer_address)?;
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
    let spawn = &executor;
    spawn.spawn(peers::gossip(node.clone())).detach();
    spawn.spawn(calls::serve(node.clone(), calls)).detach();
    spawn
        .spawn(follow::routes(node.clone(), platform.clone()))
        .detach();
    spawn
        .spawn(follow::servers(node.clone(), platform.clone()))
        .detach();
    spawn
        .spawn(follow::entries(node.clone(), platform))
        .detach();
    let doors = [
        (directory, endpoints::addresses as endpoints::Handler),
        (readiness, endpoints::readiness),
        (metrics, endpoints::metrics),
    ];
    for (listener, reply) in doors {
        if let Some(listener) = listener {
            let serve = endpoints::serve(node.clone(), listener, reply);
            spawn.spawn(serve).detach();
        }
    }
    let watch = watch_settings(node.clone(), signals.clone(), reload);
    spawn.spawn(watch).detach();
    let accept = spawn.spawn(listener::accept(node.clone(), callers));
    async_io::block_on(executor.run(async move {
        signals.stop_asked().await;
        stop(&node, accept).await;
    }));
    Ok(())
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .with_context(|| format!("{address} can't be bound: free it or choose another"))
}

/// What the process was signalled.
#[derive(Clone, Debug, Default)]
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn register() -> Result<Self> {
        let signals = Self::default();
        let wanted = [
            (signal_hook::consts::SIGTERM, &signals.stop),
            (signal_hook::consts::SIGINT, &signals.stop),
            (signal_hook::consts::SIGHUP, &signals.reload),
        ];
        for (number, flag) in wanted {
            signal_hook::flag::register(number, flag.clone())
                .context("signals can't be handled")?;
        }
        Ok(signals)
    }

    async fn stop_asked(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            Timer::after(SIGNAL_CHECK).await;
        }
    }
}

/// Reads the settings again when the process is told to, and from time to time, since they may
/// change without a signal.
async fn watch_settings(node: Rc<Node>, signals: Signals, reload: impl Fn() -> Result<Settings>) {
    loop {
        let due = clock::now() + SETTINGS_CHECK;
        while clock::now() < due && !signals.reload.load(Ordering::Relaxed) {
            Timer::after(RELOAD_CHECK).await;
        }
        let is_told = signals.reload.swap(false, Ordering::Relaxed);
        match reload() {
            Ok(settings) if settings != *node.settings() => {
                log::info!(target: "run", is_told; "settings changed");
                datagrams::join(&node, &settings.seeds);
                node.adopt_settings(settings);
            }
            Ok(_) if is_told => {
                log::info!(target: "run", is_told; "settings read again, nothing has changed")
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(target: "run", error:% = format_args!("{error:#}"); "the settings can't be read, those before stay in force");
            }
        }
    }
}

/// Stops without cutting off a request: first callers are led elsewhere, then the listener is
/// closed, then the requests in progress are awaited.
async fn stop(node: &Node, accept: async_executor::Task<()>) {
    let started = clock::now();
    let settings = node.settings();
    let end = started + settings.grace_period.mul_f64(GRACE_PART);
    node.state.borrow_mut().is_stopping = true;
    datagrams::announce_phase(node);
    let lead_away = settings.address_lifetime * KEPT_LIFETIMES;
    log::info!(target: "run", busy = node.busy.get(), lead_away_ms = lead_away.as_millis() as u64; "stopping");
    clock::wait_until((started + lead_away).min(end)).await;
    accept.cancel().await;
    node.close();
    while node.busy.get() > 0 && clock::now() < end {
        Timer::after(SIGNAL_CHECK).await;
    }
    log::info!(target: "run", busy = node.busy.get(); "stopped");
}
