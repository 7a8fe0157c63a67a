//! The server side of RPC calls between entries.

use std::net::TcpListener;
use std::rc::Rc;

use async_io::Async;
use capnp::Error;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use claim::tickets::Handover;
use web::Stream;
use web::stream::accept;
use wire::call;
use wire::peer_capnp::peer;

use crate::claims;
use crate::limits;
use crate::node::Node;

/// Serves the calls of other entries until the process ends.
pub async fn serve(node: Rc<Node>, listener: Async<TcpListener>) {
    loop {
        let stream = Stream::new(accept(&listener, "peers").await);
        let network = VatNetwork::new(stream.clone(), stream, Side::Server, ReaderOptions::new());
        let client: peer::Client = capnp_rpc::new_client(Handler { node: node.clone() });
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let serve = async move {
            if let Err(error) = system.await {
                log::debug!(target: "peers", "Connection ended: {error}.");
            }
        };
        node.executor.spawn(serve).detach();
    }
}

struct Handler {
    node: Rc<Node>,
}

impl peer::Server for Handler {
    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = call::read_key(params.get_key()?).map_err(failed)?;
        let customer = params.get_customer()?.to_str()?.to_owned();
        let nonce = params.get_nonce();
        let decision = claims::decide(&self.node, key, nonce, &customer).await;
        call::write_decision(&decision, results.get().init_verdict());
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _: peer::ReleaseResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = call::read_key(params.get_key()?).map_err(failed)?;
        claims::record_outcome(&self.node, key, params.get_nonce(), None);
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: peer::SettleParams,
        _: peer::SettleResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = call::read_key(params.get_key()?).map_err(failed)?;
        let outcome = call::read_outcome(params.get_outcome()?).map_err(failed)?;
        claims::record_outcome(&self.node, key, params.get_nonce(), Some(outcome));
        Ok(())
    }

    async fn allot(
        self: Rc<Self>,
        params: peer::AllotParams,
        mut results: peer::AllotResults,
    ) -> Result<(), Error> {
        let ask = call::read_ask(params.get()?.get_ask()?).map_err(failed)?;
        let grant = limits::grant_locally(&self.node, &ask)
            .ok_or_else(|| Error::failed("the customer has no contract here yet".to_owned()))?;
        call::write_grant(&grant, results.get().init_grant());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), Error> {
        let next = params.get()?.get_next();
        let core = self.node.core.borrow();
        if core.is_configured && core.fold.next() > next {
            let fold = serde_json::to_vec(&core.fold).map_err(failed)?;
            results.get().set_fold(&fold);
        }
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        _: peer::HandOverResults,
    ) -> Result<(), Error> {
        let handover: Handover =
            serde_json::from_slice(params.get()?.get_parcel()?).map_err(failed)?;
        claims::take_over(&self.node, handover);
        Ok(())
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}
