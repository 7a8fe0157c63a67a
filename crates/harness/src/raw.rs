//! A backend server that answers with given bytes, as a faulty server does.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Instant;

use anyhow::Result;
use domain::fleet::BackendServer;
use domain::fleet::Engine;
use domain::fleet::Kind;
use domain::fleet::Service;
use h1::Request;
use h1::body::Decoder;

use crate::Cluster;
use crate::cluster::Options;

/// The paths of calls that bring no work, which get the answer [`LOAD`].
const CONTROL_PATHS: [&str; 4] = ["/load", "/cancel", "/holds", "/orders"];
/// A load report which says that the server takes work.
const LOAD: &str = "{\"incarnation\":1,\"is_leaving\":false}";

/// The number of bytes of each write of an answer without end.
const ENDLESS_WRITE: usize = 256 * 1024;

/// Returns the kind of a server of the plain service that a cluster has.
pub fn service() -> Kind {
    Kind::Service(Service {
        service: "bookings".to_owned(),
    })
}

/// Returns the kind of an engine for the model that a cluster has.
pub fn engine() -> Kind {
    Kind::Engine(Engine {
        models: vec!["assistant".to_owned()],
        memory_tokens: Options::default().memory_tokens,
        checks_fencing: false,
    })
}

/// How a server answers requests.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// With these bytes, after which it closes the connection.
    Once(&'static str),
    /// With the first bytes, and then with the second ones until the caller closes.
    Endless(&'static str, &'static str),
    /// The same, also for calls that bring no work.
    EndlessStatus(&'static str, &'static str),
}

/// A server that answers all requests alike, and calls that bring no work as a healthy server does.
#[derive(Debug)]
pub struct Server {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    answer: Answer,
    arrivals: Mutex<Vec<Instant>>,
}

impl Server {
    /// Starts a server in a thread.
    pub fn start(answer: Answer) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            answer,
            arrivals: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Self { address, shared })
    }

    /// Adds the server to the configuration of a cluster, beside the cluster's own servers.
    pub fn join(&self, cluster: &Cluster, kind: Kind) -> Result<()> {
        let mut fleet = cluster.fleet();
        fleet.backend_servers.push(BackendServer {
            name: "raw".to_owned(),
            address: self.address,
            data_centre: "dc-0".to_owned(),
            kind,
        });
        cluster.publish(&fleet)
    }

    /// Returns when requests arrived, without calls that bring no work.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) {
        let Some(request) = read(&mut stream) else {
            return;
        };
        let is_control = CONTROL_PATHS.contains(&request.path());
        if is_control && !matches!(self.answer, Answer::EndlessStatus(..)) {
            let length = LOAD.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{LOAD}");
            let _ = stream.write_all(answer.as_bytes());
            return;
        }
        if !is_control {
            lock(&self.arrivals).push(Instant::now());
        }
        match self.answer {
            Answer::Once(bytes) => {
                let _ = stream.write_all(bytes.as_bytes());
            }
            Answer::Endless(first, rest) | Answer::EndlessStatus(first, rest) => {
                // Many copies at once, so that the reader always finds more to read.
                let rest = rest.repeat(ENDLESS_WRITE / rest.len());
                let mut written = stream.write_all(first.as_bytes());
                while written.is_ok() {
                    written = stream.write_all(rest.as_bytes());
                }
            }
        }
    }
}

/// Reads a request with its body. Returns `None` at the end of the connection.
fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut buffer = Vec::new();
    let (request, length) = loop {
        if let Some(parsed) = Request::parse(&buffer).ok()? {
            break parsed;
        }
        fill(stream, &mut buffer)?;
    };
    buffer.drain(..length);
    let mut decoder = Decoder::new(request.framing);
    let mut body = Vec::new();
    loop {
        let consumed = decoder.decode(&buffer, &mut body).ok()?;
        buffer.drain(..consumed);
        if decoder.is_done() {
            return Some(request);
        }
        fill(stream, &mut buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).ok().filter(|it| *it > 0)?;
    buffer.extend_from_slice(&bytes[..length]);
    Some(())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
