//! What the gateway needs of the platform and of the protocol that callers and backend servers
//! speak. An adapter translates; it decides nothing and keeps nothing.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use h1::Request;
use h1::Response;
use placement::Server;
use route::Table;
pub use wire::Record;

/// The platform's store, as a set of lists that grow by records.
pub trait Platform: 'static {
    /// Returns the newest record of each key of a list.
    fn snapshot(&self, list: List) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Returns the records from position `from` on. Waits for up to `wait` while there are none.
    fn changes(
        &self,
        list: List,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Enters this instance into the list of entries.
    fn announce(&self, name: &str, peers: SocketAddr) -> impl Future<Output = Result<(), Error>>;
}

/// Reads what the platform's records say.
pub trait Decoder: 'static {
    /// Decodes the configuration of routes. Returns nothing if the record is about something else.
    fn table(&self, record: &Record) -> Option<Result<Table, DecodeError>>;

    /// Decodes an entry of the list of backend servers.
    fn server(&self, record: &Record) -> Result<Server, DecodeError>;

    /// Decodes an entry of the list of entries: its peer address.
    fn entry(&self, record: &Record) -> Result<SocketAddr, DecodeError>;
}

/// A list that the platform keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The configuration of routes.
    Routes,
    /// The backend servers.
    Servers,
    /// The entries.
    Entries,
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// The position from which changes are to be read.
    pub next: u64,
}

/// Records of a list, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The records.
    pub records: Vec<Record>,
    /// The position from which further changes are to be read.
    pub next: u64,
}

/// A call to the platform that failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer came; the call may have been carried out.
    #[error("the platform did not answer ({0}): retry")]
    Unanswered(String),
    /// The platform refused the call, and nothing was done.
    #[error("the platform refused the call with status {0}: retry later")]
    Refused(u16),
    /// The records at the position are no longer kept.
    #[error("the records are gone: read the newest ones")]
    Gone,
    /// The answer can't be understood.
    #[error("the platform's answer is malformed ({0}): check its version")]
    Malformed(String),
}

/// A record that can't be understood. It says nothing; all others hold.
#[derive(Debug, thiserror::Error)]
#[error("the record is unreadable ({0}): check its writer")]
pub struct DecodeError(pub String);

/// The protocol that callers and backend servers speak.
pub trait Protocol: 'static {
    /// Reads what a caller's request says beside method, target and body.
    fn metadata(&self, request: &Request) -> Metadata;

    /// Returns the head of a request as a backend server is to receive it.
    fn forward(&self, request: &Request, send: &Forwarding<'_>) -> Request;

    /// Reads what a backend server's answer says on whether it ran the request.
    fn verdict(&self, response: &Response) -> Verdict;

    /// Returns the id of the request that a backend server answers, if the answer has one.
    fn response_id<'a>(&self, response: &'a Response) -> Option<&'a str>;

    /// Returns the order that sets memory aside at a server, or renews that.
    fn reserve(&self, reservation: &Reservation<'_>) -> Command;

    /// Returns the order that gives memory back.
    fn release(&self, id: &str) -> Command;

    /// Returns the head of an answer of the gateway's own.
    fn refusal(&self, status: u16, id: Option<&str>, retry_after: Option<Duration>) -> Response;

    /// Reads a question for addresses. Returns nothing if the request asks something else.
    fn is_address_query(&self, request: &Request) -> bool;

    /// Returns the body of an answer that names addresses, as JSON.
    fn addresses(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8>;

    /// Tells whether a request asks for readiness.
    fn is_readiness_query(&self, request: &Request) -> bool;
}

/// What a caller's request says beside method, target and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// The caller's id for the request.
    pub id: Option<String>,
    /// The host that it names.
    pub host: String,
    /// The time for which the caller will wait.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// The last event of a stream that the caller has received.
    pub last_event: Option<u64>,
}

/// The size of a prompt and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// The most tokens of the answer.
    pub max_output: u64,
    /// What the caller expects the answer's tokens to be.
    pub expected_output: Option<u64>,
}

/// What a backend server is told beside what the caller sent.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// The server.
    pub server: &'a Server,
    /// The time that is left for the request.
    pub time_left: Duration,
    /// Who sends it.
    pub organisation: Option<&'a str>,
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
    /// Servers that read parts of the prompt.
    pub helpers: &'a [Helper],
    /// The rank among the requests that wait at the server, 0 to 9; 0 goes first.
    pub priority: Option<u8>,
}

/// Memory of a server that is to be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation<'a> {
    /// Its name.
    pub id: &'a str,
    /// The tokens that it holds.
    pub tokens: u32,
    /// The time after which it ends unless it is renewed.
    pub lease: Duration,
}

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The head; the body's length is not yet in it.
    pub head: Request,
    /// The body.
    pub body: Vec<u8>,
}

/// A server that reads a part of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The server.
    pub server: Rc<Server>,
    /// The reservation that holds its part.
    pub reservation_id: Option<String>,
}

/// What an answer says on whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer of a run.
    Ran,
    /// The server did not run the request.
    NotRun {
        /// The address of the server that was the reason, if it is another one.
        at: Option<SocketAddr>,
    },
    /// Another server listens at the address. It did not run the request.
    OtherServer,
}
