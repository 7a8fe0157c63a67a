//! RPC between entries: an entry fetches the cached records of a list from another.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use web::Stream;
use web::stream::accept;
use web::stream::within;
use wire::listing;
use wire::peer_capnp::peer;

use crate::Node;
use crate::metrics::PeerCallLabels;
use crate::port::List;
use crate::port::Snapshot;

/// The timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves the calls of other entries until the process ends.
pub async fn serve(node: Rc<Node>, listener: Async<TcpListener>) {
    loop {
        let stream = Stream::new(accept(&listener, "peers").await);
        let network = VatNetwork::new(stream.clone(), stream, Side::Server, ReaderOptions::new());
        let client: peer::Client = capnp_rpc::new_client(Handler { node: node.clone() });
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let serve = async move {
            if let Err(error) = system.await {
                log::debug!(target: "peers", error:% = error; "the connection of a peer failed");
            }
        };
        node.executor.spawn(serve).detach();
    }
}

struct Handler {
    node: Rc<Node>,
}

impl peer::Server for Handler {
    async fn knowledge(
        self: Rc<Self>,
        params: peer::KnowledgeParams,
        mut results: peer::KnowledgeResults,
    ) -> Result<(), capnp::Error> {
        let list = match params.get()?.get_list()? {
            peer::ListName::Routes => List::Routes,
            peer::ListName::Servers => List::Servers,
        };
        let call = PeerCallLabels { list: list.name() };
        self.node.metrics.peer_calls.get_or_create(&call).inc();
        let snapshot = self.node.state.borrow().records.snapshot(list);
        let mut results = results.get();
        results.set_next(snapshot.next);
        let records = results.init_records(snapshot.records.len() as u32);
        listing::write_records(&snapshot.records, records);
        Ok(())
    }
}

/// Fetches the cached records of a list from a peer. Returns `None` if the peer does not answer or
/// has no records.
pub async fn fetch(node: &Node, peer: SocketAddr, list: List) -> Option<Snapshot> {
    let result = within(CALL_TIMEOUT, call(node, peer, list)).await;
    match result {
        Some(Ok(snapshot)) => Some(snapshot).filter(|it| !it.records.is_empty()),
        Some(Err(error)) => {
            log::info!(target: "peers", peer:% = peer, error:% = error; "fetching records from a peer failed");
            None
        }
        None => {
            log::info!(target: "peers", peer:% = peer; "fetching records from a peer timed out");
            None
        }
    }
}

async fn call(node: &Node, peer: SocketAddr, list: List) -> Result<Snapshot, capnp::Error> {
    let socket = Async::<std::net::TcpStream>::connect(peer).await?;
    let stream = Stream::new(socket);
    let network = VatNetwork::new(stream.clone(), stream, Side::Client, ReaderOptions::new());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let _system = node.executor.spawn(system);
    let mut request = client.knowledge_request();
    request.get().set_list(match list {
        List::Routes => peer::ListName::Routes,
        List::Servers | List::Entries => peer::ListName::Servers,
    });
    let response = request.send().promise.await?;
    let results = response.get()?;
    let records = listing::read_records(results.get_records()?)
        .map_err(|error| capnp::Error::failed(error.to_string()))?;
    Ok(Snapshot {
        records,
        next: results.get_next(),
    })
}
