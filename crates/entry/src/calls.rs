//! The client side of RPC calls between entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use claim::Nonce;
use claim::Outcome;
use domain::Key;
use futures_lite::future;
use limit::Ask;
use limit::Grant;
use web::Stream;
use web::stream::within;
use wire::call;
use wire::call::Decision;
use wire::peer_capnp::peer;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A pool of connections to other entries, one to each.
#[derive(Default)]
pub struct Pool {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

/// A connection, which ends once the pool and all calls have dropped it.
struct Connection {
    client: peer::Client,
    /// Its drop ends the task that runs the connection.
    _open: Sender<()>,
}

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established, so the peer certainly did not receive the call.
    #[error("the peer is unreachable")]
    Unreachable,
    /// The peer may have received the call, but did not answer.
    #[error("the peer did not answer ({0})")]
    Unanswered(String),
}

impl Pool {
    /// Claims a key at a peer.
    pub async fn claim(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        key: Key,
        nonce: Nonce,
        customer: &str,
        timeout: Duration,
    ) -> Result<Decision, Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.claim_request();
        let mut params = request.get();
        call::write_key(key, params.reborrow().init_key());
        params.set_nonce(nonce);
        params.set_customer(customer);
        let response = within(timeout, request.send().promise).await;
        let response = self.check_response(peer, response)?;
        let verdict = response
            .get()
            .and_then(|it| it.get_verdict())
            .map_err(unanswered)?;
        call::read_decision(verdict).map_err(unanswered)
    }

    /// Releases a claim at a peer.
    pub async fn release(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        key: Key,
        nonce: Nonce,
        timeout: Duration,
    ) -> Result<(), Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.release_request();
        call::write_key(key, request.get().init_key());
        request.get().set_nonce(nonce);
        let response = within(timeout, request.send().promise).await;
        self.check_response(peer, response).map(|_| ())
    }

    /// Reports the outcome of a claimed request to a peer.
    pub async fn settle(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        key: Key,
        nonce: Nonce,
        outcome: &Outcome,
        timeout: Duration,
    ) -> Result<(), Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.settle_request();
        call::write_key(key, request.get().init_key());
        request.get().set_nonce(nonce);
        call::write_outcome(outcome, request.get().init_outcome());
        let response = within(timeout, request.send().promise).await;
        self.check_response(peer, response).map(|_| ())
    }

    /// Requests an allotment from a peer.
    pub async fn allot(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        ask: &Ask,
        timeout: Duration,
    ) -> Result<Grant, Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.allot_request();
        call::write_ask(ask, request.get().init_ask());
        let response = within(timeout, request.send().promise).await;
        let response = self.check_response(peer, response)?;
        let grant = response
            .get()
            .and_then(|it| it.get_grant())
            .map_err(unanswered)?;
        call::read_grant(grant).map_err(unanswered)
    }

    /// Requests the folded configuration from a peer. The result is empty if the peer has not read
    /// beyond `next`.
    pub async fn configuration(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        next: u64,
        timeout: Duration,
    ) -> Result<Vec<u8>, Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.configuration_request();
        request.get().set_next(next);
        let response = within(timeout, request.send().promise).await;
        let response = self.check_response(peer, response)?;
        let fold = response
            .get()
            .and_then(|it| it.get_fold())
            .map_err(unanswered)?;
        Ok(fold.to_vec())
    }

    /// Hands the tickets of one issuer over to a peer.
    pub async fn hand_over(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
        handover: &[u8],
        timeout: Duration,
    ) -> Result<(), Error> {
        let connection = self.connection(executor, peer).await?;
        let mut request = connection.client.hand_over_request();
        request.get().set_parcel(handover);
        let response = within(timeout, request.send().promise).await;
        self.check_response(peer, response).map(|_| ())
    }

    /// Returns the response, or drops the connection to the peer after a failed call.
    fn check_response<T>(
        &self,
        peer: SocketAddr,
        response: Option<Result<T, capnp::Error>>,
    ) -> Result<T, Error> {
        let error = match response {
            Some(Ok(response)) => return Ok(response),
            Some(Err(error)) => error.to_string(),
            None => "timed out".to_owned(),
        };
        self.connections.borrow_mut().remove(&peer);
        Err(Error::Unanswered(error))
    }

    async fn connection(
        &self,
        executor: &LocalExecutor<'static>,
        peer: SocketAddr,
    ) -> Result<Rc<Connection>, Error> {
        if let Some(connection) = self.connections.borrow().get(&peer) {
            return Ok(connection.clone());
        }
        let stream = within(CONNECT_TIMEOUT, Stream::connect(peer)).await;
        let stream = stream.and_then(Result::ok).ok_or(Error::Unreachable)?;
        let network = VatNetwork::new(stream.clone(), stream, Side::Client, ReaderOptions::new());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let (open, dropped) = async_channel::bounded::<()>(1);
        let run = async move {
            let unused = async {
                let _ = dropped.recv().await;
                Ok(())
            };
            // The system itself ends only with the connection, which a silent peer never closes.
            if let Err(error) = future::or(system, unused).await {
                log::debug!(target: "peers", "Connection to {peer} ended: {error}.");
            }
        };
        executor.spawn(run).detach();
        let connection = Rc::new(Connection {
            client,
            _open: open,
        });
        self.connections
            .borrow_mut()
            .insert(peer, connection.clone());
        Ok(connection)
    }
}

fn unanswered(error: impl std::fmt::Display) -> Error {
    Error::Unanswered(error.to_string())
}

/// Retries a call once if the peer did not answer. The connection from the pool may be stale, for
/// example because the peer was restarted.
pub async fn retry_unanswered<T, F>(mut attempt: impl FnMut() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    match attempt().await {
        Err(Error::Unanswered(_)) => attempt().await,
        other => other,
    }
}
