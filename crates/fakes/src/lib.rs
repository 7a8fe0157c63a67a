//! Small stand-ins for what the system meets: the platform, model engines and plain services.
//!
//! Each is a state machine with a thin HTTP server, and each has faults on command. They stand in
//! until the users' own bench does.

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

/// Serves a stand-in until the process ends, and prints where.
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
