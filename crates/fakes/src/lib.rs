//! Fakes of the system's dependencies for tests: the platform, model engines and plain services.
//!
//! Each is a state machine behind a thin HTTP server and supports fault injection. They are used
//! until the users' own test bench is available.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use async_executor::LocalExecutor;
use web::Exchange;
use web::Reply;
use web::server::Handle;

pub mod answer;
pub mod engine;
pub mod platform;
pub mod service;

/// Serves a fake until the process ends, and prints its address.
fn serve<F, Fut>(executor: Rc<LocalExecutor<'static>>, listen: SocketAddr, handler: F) -> Result<()>
where
    F: Fn(Exchange) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let (listener, address) = web::server::bind(listen)?;
    println!("listening {address}");
    let server = web::server::serve(executor.clone(), listener, Handle::default(), handler);
    async_io::block_on(executor.run(server));
    Ok(())
}
