//! The interfaces through which the gateway uses the platform and the protocol of callers and
//! backend servers. An adapter implements them; it only translates, and keeps no state but the store's address
//! and idle connections.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use h1::Request;
use h1::Response;
use membership::Origin;
use placement::Server;
use route::Table;
pub use wire::Record;

/// The platform's store: a set of lists to which records are appended.
pub trait Platform: 'static {
    /// Returns the newest record of each key of a list.
    fn snapshot(&self, list: List) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Returns the records from position `from` on. Waits up to `wait` for the first one.
    fn changes(
        &self,
        list: List,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Sends all further calls to the store at `address`, and closes the idle connections to the earlier one.
    fn move_to(&self, address: SocketAddr);

    /// Adds this instance to the list of entries.
    fn announce(
        &self,
        name: &str,
        peer_address: SocketAddr,
    ) -> impl Future<Output = Result<(), Error>>;
}

/// Decodes the platform's records.
pub trait Decoder: 'static {
    /// Decodes the configuration of routes. Returns `None` if the record holds something else.
    fn table(&self, record: &Record) -> Option<Result<Table, DecodeError>>;

    /// Decodes a record of the list of backend servers.
    fn server(&self, record: &Record) -> Result<Server, DecodeError>;

    /// Decodes a record that starts or ends the evacuation of a data centre. Returns `None` if the record
    /// holds something else.
    fn evacuation<'a>(&self, record: &'a Record) -> Option<Evacuation<'a>>;

    /// Decodes a record of the list of entries, and returns the entry's peer address.
    fn entry(&self, record: &Record) -> Result<SocketAddr, DecodeError>;
}

/// The start or the end of the evacuation of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation<'a> {
    /// The data centre.
    pub data_centre: &'a str,
    /// Whether the record starts the evacuation. Otherwise it ends it.
    pub is_start: bool,
}

/// A list in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The configuration of routes.
    Routes,
    /// The backend servers.
    Servers,
    /// The entries.
    Entries,
}

impl List {
    /// All lists.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Servers, Self::Entries];

    /// Returns the name of the list in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            List::Routes => "routes",
            List::Servers => "servers",
            List::Entries => "entries",
        }
    }
}

/// The newest record of each key of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// The position from which to read changes.
    pub next: u64,
}

/// Records that were appended to a list, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The records.
    pub records: Vec<Record>,
    /// The position from which to read further changes.
    pub next: u64,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There was no answer; the call may have been carried out.
    #[error("the platform did not answer ({0}): retry")]
    Unanswered(String),
    /// The platform refused the call and did not carry it out.
    #[error("the platform refused the call with status {0}: retry later")]
    Refused(u16),
    /// The store has no records from this position on: they are deleted, or it came back from an
    /// older copy.
    #[error("the store has no records from this position on: read a snapshot")]
    Gone,
    /// The answer can't be decoded.
    #[error("the platform's answer is malformed ({0}): check its version")]
    Malformed(String),
}

/// Why a record can't be decoded. All other records stay valid.
#[derive(Debug, thiserror::Error)]
#[error("the record can't be decoded ({0}): check the program that wrote it")]
pub struct DecodeError(pub String);

/// The protocol of callers and backend servers.
pub trait Protocol: 'static {
    /// Reads the metadata in the head of a caller's request.
    fn metadata(&self, request: &Request) -> Metadata;

    /// Returns the request head that is sent to a backend server.
    fn forward(&self, request: &Request, forwarding: &Forwarding<'_>) -> Request;

    /// Returns the request head that is sent to another entry, which serves the request in place of
    /// this one.
    fn relay(&self, request: &Request, time_left: Duration, last_event: Option<u64>) -> Request;

    /// Reads from a backend server's response whether it ran the request. Fails if the response can't be what the
    /// server meant to send; the request may have run then.
    fn verdict(&self, response: &Response) -> Result<Verdict, h1::Error>;

    /// Reads from a backend server's response what it says about further work.
    fn notice(&self, response: &Response) -> Notice;

    /// Returns the request id in a backend server's response, if there is one.
    fn response_id<'a>(&self, response: &'a Response) -> Option<&'a str>;

    /// Returns the command that reserves memory at a server, or renews the reservation.
    fn reserve(&self, reservation: &Reservation<'_>) -> Command;

    /// Returns the request that asks a server for its status, without the address.
    fn status_query(&self) -> Request;

    /// Returns the command that releases a reservation.
    fn release(&self, id: &str) -> Command;

    /// Returns the head of an answer that the gateway generates itself.
    fn refusal(&self, status: u16, id: Option<&str>, retry_after: Option<Duration>) -> Response;

    /// Returns whether a request asks for the addresses of instances.
    fn is_address_query(&self, request: &Request) -> bool;

    /// Reads from an address query where the caller is.
    fn origin(&self, request: &Request) -> Origin;

    /// Returns the JSON body of an answer to an address query.
    fn addresses(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8>;

    /// Returns whether a request asks for readiness.
    fn is_readiness_query(&self, request: &Request) -> bool;
}

/// What the head of a caller's request says besides method and target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// The request id that the caller chose.
    pub id: Option<String>,
    /// The value of the `Host` header.
    pub host: String,
    /// The time for which the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// Digests of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<u64>,
    /// The id of the last event of a stream that the caller has received.
    pub last_event: Option<u64>,
}

/// The size of a prompt and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The number of tokens of the prompt.
    pub tokens: u64,
    /// The maximum number of tokens of the answer.
    pub max_answer_tokens: u64,
    /// The number of answer tokens that the caller expects.
    pub expected_answer_tokens: Option<u64>,
}

/// What a forwarded request contains besides what the caller sent.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// The server.
    pub server: &'a Server,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The name of the organisation that sends the request.
    pub organisation: Option<&'a str>,
    /// The id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Servers that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// The priority among the requests that wait at the server, 0 to 9; 0 goes first.
    pub priority: Option<u8>,
}

/// A reservation of memory at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation<'a> {
    /// The id of the reservation.
    pub id: &'a str,
    /// The number of tokens that it has room for.
    pub tokens: u32,
    /// The time after which it expires unless it is renewed.
    pub lease: Duration,
}

/// A control request to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The head, without the body's length.
    pub head: Request,
    /// The body.
    pub body: Vec<u8>,
}

/// A server that prefills a part of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The server.
    pub server: Rc<Server>,
    /// The id of the reservation for its part, if there is one.
    pub reservation_id: Option<String>,
}

/// What a backend server's response says about further work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The time for which the server takes no work from this entry.
    pub pause: Option<Duration>,
    /// The number of requests a second that the server takes from all entries together.
    pub limit_per_s: Option<f64>,
    /// Whether the server leaves and takes no more work from any entry.
    pub is_leaving: bool,
    /// The time for which the server remains cold; zero if it is not cold, `None` if it does not say.
    pub cold_left: Option<Duration>,
}

/// Whether the request ran, according to a server's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request ran.
    Ran,
    /// The server did not run the request.
    NotRun {
        /// The address of the server that caused this, if it is another one.
        helper_address: Option<SocketAddr>,
    },
    /// Another server listens at the address, and did not run the request.
    OtherServer,
}
