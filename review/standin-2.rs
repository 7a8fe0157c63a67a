//! Stand-ins for the cases of the second review: the platform's store, backend servers, callers and a
//! loopback relay, and one scenario a case. Uses the standard library only.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

#[path = "standin-2/left_again.rs"]
mod left_again;
#[path = "standin-2/no_content.rs"]
mod no_content;

/// The exit code of a case that could not run.
const CANNOT_RUN: i32 = 2;
const CASE_LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER on|off");
        std::process::exit(CANNOT_RUN);
    };
    let world = World::new(trouble == "on");
    // No case takes this long. The processes that it started must not stay behind.
    let watched = world.clone();
    thread::spawn(move || {
        thread::sleep(CASE_LIMIT);
        watched.end();
        eprintln!("the case took too long");
        std::process::exit(CANNOT_RUN);
    });
    let result = match case.as_str() {
        "left-again" => left_again::run(&world),
        "no-content" => no_content::run(&world, no_content::Spoiled::Status),
        "coding" => no_content::run(&world, no_content::Spoiled::Coding),
        _ => Err(format!("no case {case}")),
    };
    world.end();
    let code = match result {
        Ok(true) => {
            world.log("verdict: the rule held");
            0
        }
        Ok(false) => {
            world.log("verdict: the rule was broken");
            1
        }
        Err(reason) => {
            world.log(&format!("the case could not run: {reason}"));
            CANNOT_RUN
        }
    };
    let record = world.record.lock().unwrap().clone();
    if let Err(error) = fs::write(Path::new(folder).join("record.txt"), record) {
        eprintln!("can't write record.txt: {error}");
        std::process::exit(CANNOT_RUN);
    }
    std::process::exit(code);
}

/// What all parts of a case share: the clock, the record, and the processes that were started.
pub struct World {
    pub trouble: bool,
    start: Instant,
    record: Mutex<String>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

impl World {
    fn new(trouble: bool) -> Arc<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let world = Arc::new(Self {
            trouble,
            start: Instant::now(),
            record: Mutex::default(),
            children: Mutex::default(),
            folder,
        });
        world.log(&format!("disruption: {}", if trouble { "on" } else { "off" }));
        world
    }

    /// Returns the milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn log(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        print!("{line}");
        self.record.lock().unwrap().push_str(&line);
    }

    pub fn sleep_until(&self, ms: u64) {
        let now = self.ms();
        if ms > now {
            thread::sleep(Duration::from_millis(ms - now));
        }
    }

    /// Ends all processes that the case has started.
    fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds.
pub fn wait(what: &str, limit_ms: u64, condition: impl Fn() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > Duration::from_millis(limit_ms) {
            return Err(format!("waited in vain for {what}"));
        }
        sleep_ms(20);
    }
    Ok(())
}

/// Returns a loopback address that no other part of this run uses.
pub fn next_ip() -> Ipv4Addr {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let run = std::process::id();
    Ipv4Addr::new(127, 20 + (run / 250 % 200) as u8, (run % 250) as u8, 1 + count as u8)
}

/// Returns a small random number.
pub fn random(limit: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        STATE.store(seed.as_nanos() as u64 | 1, Ordering::Relaxed);
    }
    let next = STATE
        .load(Ordering::Relaxed)
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    STATE.store(next, Ordering::Relaxed);
    (next >> 33) % limit
}

pub fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

// --- HTTP -----------------------------------------------------------------------------------------------

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|it| it.0.eq_ignore_ascii_case(name));
        found.next().map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
    }
}

/// Reads one message. Returns `None` if the connection ends or fails before its head is there.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, is_response: bool) -> Option<Message> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { line: lines.next()?.to_owned(), ..Message::default() };
    for line in lines {
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if is_response && message.status() == 204 {
        // RFC 9110, section 15.3.5: it has no content, and ends with its head.
        message.is_complete = true;
        return Some(message);
    }
    let is_chunked = message.header("transfer-encoding").is_some_and(|it| it == "chunked");
    if is_chunked {
        read_chunks(stream, buffer, &mut message);
        return Some(message);
    }
    let length = match message.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        Some(length) => length,
        None if is_response => usize::MAX,
        None => 0,
    };
    while buffer.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => {
                message.body = std::mem::take(buffer);
                message.is_complete = length == usize::MAX;
                return Some(message);
            }
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
    message.body = buffer.drain(..length).collect();
    message.is_complete = true;
    Some(message)
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &mut Message) {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(2).position(|it| it == b"\r\n") {
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return;
            };
            if buffer.len() >= end + 2 + size + 2 {
                message.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
                buffer.drain(..end + 2 + size + 2);
                if size == 0 {
                    message.is_complete = true;
                    return;
                }
                continue;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

// --- the store ------------------------------------------------------------------------------------------

/// The platform's store: keyed topics with one partition.
pub struct Store {
    shared: Arc<StoreShared>,
    /// One address for each node, so that it is known who calls.
    pub addresses: Vec<SocketAddr>,
}

struct StoreShared {
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
    /// The number of reads of the list of servers, by address.
    reads: Vec<AtomicU64>,
    /// Whether calls at an address get 503.
    refuses: Vec<AtomicBool>,
}

impl Store {
    pub fn start(addresses: usize) -> Self {
        let shared = Arc::new(StoreShared {
            topics: Mutex::default(),
            changed: Condvar::new(),
            reads: (0..addresses).map(|_| AtomicU64::new(0)).collect(),
            refuses: (0..addresses).map(|_| AtomicBool::new(false)).collect(),
        });
        let listen = |index: usize| {
            let listener = TcpListener::bind((next_ip(), 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            let shared = shared.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let shared = shared.clone();
                    thread::spawn(move || shared.serve(stream, index));
                }
            });
            address
        };
        let addresses = (0..addresses).map(listen).collect();
        Self { shared, addresses }
    }

    /// Appends a record, and returns once it is acknowledged. An empty value removes the key.
    pub fn append(&self, topic: &str, key: &str, value: &str) {
        self.shared.append(topic, key, value.as_bytes().to_vec());
    }

    /// Returns how often the list of servers was read at an address.
    pub fn reads(&self, index: usize) -> u64 {
        self.shared.reads[index].load(Ordering::Relaxed)
    }

    /// Sets whether calls at an address are turned away.
    pub fn refuse(&self, index: usize, refuses: bool) {
        self.shared.refuses[index].store(refuses, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }
}

impl StoreShared {
    fn append(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, index: usize) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer, false) {
            sleep_ms(4);
            let (status, body) = match self.is_refusing(index) {
                true => (503, Vec::new()),
                false => self.answer(&call, index),
            };
            let head = format!("HTTP/1.1 {status} x\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(&[head.into_bytes(), body].concat()).is_err() {
                return;
            }
        }
    }

    fn is_refusing(&self, index: usize) -> bool {
        self.refuses[index].load(Ordering::Relaxed)
    }

    fn answer(&self, call: &Message, index: usize) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        let path = call.target().split('?').next().unwrap_or_default();
        if topic == "keyed.servers" {
            self.reads[index].fetch_add(1, Ordering::Relaxed);
        }
        match path {
            "/api/log-newest" => (200, self.newest(&topic)),
            "/api/log-read" => {
                let number = |name: &str| call.query(name).and_then(|it| it.parse::<usize>().ok());
                let from = number("from").unwrap_or(0);
                self.read(&topic, from, number("waitMs").unwrap_or(0) as u64, index)
            }
            "/api/log-append" if !topic.starts_with("keyed.op") && !topic.starts_with("keyed.servers") => {
                let mut rest = call.body.as_slice();
                while let Some((length, tail)) = rest.split_first_chunk::<4>() {
                    let (content, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
                    rest = tail;
                    let (key, value) = content[1..].split_at(usize::from(content[0]));
                    self.append(&topic, &String::from_utf8_lossy(key), value.to_vec());
                }
                let end = self.topics.lock().unwrap().get(&topic).map_or(0, Vec::len);
                (200, format!("{{\"offset\":{},\"end\":{end}}}", end.saturating_sub(1)).into_bytes())
            }
            _ => (403, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if !value.is_empty() {
                items.push(format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
            }
        }
        format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}", items.join(","), records.len()).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64, index: usize) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let has_nothing = |topics: &mut BTreeMap<String, Vec<(String, Vec<u8>)>>| {
            !self.is_refusing(index) && topics.get(topic).is_none_or(|it| it.len() <= from)
        };
        let limit = Duration::from_millis(wait_ms);
        let (topics, _) = self.changed.wait_timeout_while(topics, limit, has_nothing).unwrap();
        if self.is_refusing(index) {
            return (503, Vec::new());
        }
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        if from > records.len() {
            return (410, b"{\"first\":0}".to_vec());
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let content = [&[key.len() as u8], key.as_bytes(), value].concat();
            body.extend_from_slice(&(content.len() as u32).to_be_bytes());
            body.extend_from_slice(&content);
        }
        (200, body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let first = u32::from(group[0]) << 16;
        let second = group.get(1).map_or(0, |it| u32::from(*it) << 8);
        let number = first | second | group.get(2).map_or(0, |it| u32::from(*it));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

// --- nodes ----------------------------------------------------------------------------------------------

/// An instance of the system.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub pid: u32,
    pub log: PathBuf,
}

/// Starts instances as the deploy file says, one for each address of the store.
pub fn start_nodes(world: &World, stores: &[SocketAddr]) -> Result<Vec<Node>, String> {
    let ips: Vec<Ipv4Addr> = stores.iter().map(|_| next_ip()).collect();
    let zones = ["buc-a", "buc-b", "buc-c"];
    let is_free = |base: u16| {
        let mut ports = ips.iter().flat_map(|ip| (base..base + 6).map(move |port| (*ip, port)));
        ports.all(|it| TcpListener::bind(it).is_ok() && UdpSocket::bind(it).is_ok())
    };
    let mut bases = (0..100).map(|_| 10_000 + random(2_000) as u16 * 10);
    let base = bases.find(|it| is_free(*it)).ok_or("no free ports")?;
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", base + 5)).collect();
    let mut nodes = Vec::new();
    for (index, (ip, store)) in ips.iter().zip(stores).enumerate() {
        let name = format!("edge-{}-{}", zones[index % 3], index + 1);
        let settings = format!(
            r#"{{"node":"{name}","role":"entry","class":"edge","serves":["edge","directory"],"ip":"{ip}",
"zone":"{}","region":"buc","zones":{{"buc-a":"buc","buc-b":"buc","buc-c":"buc"}},
"listen":{{"front":"{ip}:{}","ready":"{ip}:{}","control":null,"directory":"{ip}:{}"}},
"portRange":[{base},{}],"seeds":[{}],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4200,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","beatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"],
"tolerate":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lostMs":200,"configMs":2000,"backMs":250,"outerMs":5000,"strictRevoke":false,"revokeMs":5000,
"budgetRatio":0.2,"budgetWindowS":10,"budgetExtra":100,"recoverS":12,"passMs":120,"retryS":0,
"stall_ms":1500,"holdMaxMs":20000,"freeMs":4000,"idleMaxMs":9000,"ttl_max_s":5}},
"provider":{{"addr":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,"appendMs":2.0,
"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,
"ttlMinMs":1000}}}}"#,
            zones[index % 3],
            base + 2,
            base + 3,
            base + 4,
            base + 1,
            seeds.join(","),
        );
        let address = |offset: u16| SocketAddr::from((*ip, base + offset));
        let path = world.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|it| it.to_string())?;
        let mut node = Node {
            name: name.clone(),
            front: address(2),
            ready: address(3),
            directory: address(4),
            pid: 0,
            log: world.folder.join(format!("{name}.log")),
        };
        node.start(world)?;
        nodes.push(node);
    }
    Ok(nodes)
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self, world: &World) -> Result<(), String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|it| it.to_string())?;
        let mut command = Command::new("target/release/coriander-node");
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("CORIANDERARCH_NODE_FILE", world.folder.join(format!("{}.json", self.name)));
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        let child = command.spawn().map_err(|it| format!("coriander-node: {it}"))?;
        self.pid = child.id();
        world.children.lock().unwrap().push(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid.to_string()]).status();
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request.as_bytes(), 1_000).is_ok_and(|it| it.status() == 200)
    }

    /// Returns the number of addresses that the directory names.
    pub fn address_count(&self) -> usize {
        let request = "GET /api/resolve?name=forum.example&region=buc&zone=buc-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Ok(answer) = exchange(self.directory, request.as_bytes(), 1_000) else {
            return 0;
        };
        String::from_utf8_lossy(&answer.body).matches("\"127.").count()
    }

    /// Returns the lines of the process's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&self, world: &World) -> bool {
        let mut children = world.children.lock().unwrap();
        let child = children.iter_mut().find(|it| it.id() == self.pid);
        child.is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }
}

/// Waits until all nodes are ready and know each other.
pub fn wait_for_nodes(nodes: &[Node]) -> Result<(), String> {
    for node in nodes {
        wait("a node to be ready", 15_000, || node.is_ready())?;
        wait("a node to know the others", 15_000, || node.address_count() == nodes.len())?;
    }
    Ok(())
}

// --- callers --------------------------------------------------------------------------------------------

/// Sends a request over a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit_ms: u64) -> Result<Message, String> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(|it| format!("connect: {it}"))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).map_err(|it| it.to_string())?;
    stream.write_all(request).map_err(|it| format!("write: {it}"))?;
    read_message(&mut stream, &mut Vec::new(), true).ok_or("no answer".to_owned())
}

/// Returns a request id that is new.
pub fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("{:08x}{:08x}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed) + 0x1000)
}

/// The API key of most requests.
pub const KEY: &str = "key-one-0123456789";

/// Returns a request on a route.
pub fn request(path: &str, id: &str, deadline_ms: u64, extra: &str, body: &str) -> Vec<u8> {
    request_with(KEY, path, id, deadline_ms, extra, body)
}

/// The same with another API key.
pub fn request_with(key: &str, path: &str, id: &str, deadline_ms: u64, extra: &str, body: &str) -> Vec<u8> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: forum.example\r\nX-Request-Id: {id}\r\n");
    let _ = write!(text, "X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra}");
    if !body.is_empty() {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

// --- backend servers ------------------------------------------------------------------------------------

/// A request that a backend server received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub message: Message,
    /// Whether the server began to run it.
    pub has_run: bool,
}

/// What a handler does with a request, besides what it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The connection stays open.
    Keep,
    /// It is closed.
    Close,
}

pub type Handler = dyn Fn(&Server, &Message, &mut TcpStream) -> Next + Send + Sync;

/// A backend server of one service.
pub struct Server {
    pub world: Arc<World>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_leaving: AtomicBool,
    pub is_gone: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub running: AtomicUsize,
    sequence: AtomicU64,
    born: u64,
    streams: Mutex<HashMap<u64, TcpStream>>,
}

impl Server {
    /// Starts a server. `handler` answers the requests that are addressed to it.
    pub fn start(world: &Arc<World>, id: &str, service: &str, zone: &str, handler: Arc<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind((next_ip(), 0)).expect("a free port");
        let server = Arc::new(Self {
            world: world.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            arrivals: Mutex::default(),
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            born: epoch_ms(),
            streams: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            let mut number = 0;
            for stream in listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::Relaxed) {
                    return;
                }
                number += 1;
                let (server, handler) = (accepting.clone(), handler.clone());
                if let Ok(copy) = stream.try_clone() {
                    server.streams.lock().unwrap().insert(number, copy);
                }
                thread::spawn(move || {
                    server.serve(stream, &*handler);
                    server.streams.lock().unwrap().remove(&number);
                });
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer, false) {
            let expected = message.header("X-Expect-Instance");
            if expected.is_some_and(|it| it != self.id) {
                let fields = self.common_fields(&message);
                let answer = format!("HTTP/1.1 421 Misdirected Request\r\n{fields}X-Runner-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let next = handler(self, &message, &mut stream);
            if next == Next::Close {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Records that a request arrived.
    pub fn record(&self, message: &Message, has_run: bool) {
        self.arrivals.lock().unwrap().push(Arrival {
            at_ms: self.world.ms(),
            id: message.header("X-Request-Id").unwrap_or("-").to_owned(),
            message: message.clone(),
            has_run,
        });
    }

    /// Returns the fields that all its answers have.
    pub fn common_fields(&self, message: &Message) -> String {
        let mut fields = String::new();
        if let Some(id) = message.header("X-Request-Id") {
            let _ = write!(fields, "X-Request-Id: {id}\r\n");
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            fields.push_str("Server-Leaving: 1\r\nConnection: close\r\n");
        }
        fields
    }

    /// Answers with a success.
    pub fn answer(&self, message: &Message, stream: &mut TcpStream, body: &str) -> Next {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}X-Server-Stamp: 3e1b.07.{}.600.0.c9f2a4d1\r\nContent-Length: {}\r\n\r\n",
            self.common_fields(message),
            self.id,
            body.len()
        );
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() || self.is_leaving.load(Ordering::Relaxed) {
            return Next::Close;
        }
        Next::Keep
    }

    /// Writes its entry to the store, with a higher sequence number.
    pub fn report(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let value = format!(
            r#"{{"backend":"{}","addr":"{}","zone":"{}","version":1,"slots":6,"state":"{state}","coldLeftMs":0,"seq":{sequence},"born":{},"stage":"unified"}}"#,
            self.service, self.address, self.zone, self.born
        );
        store.append("keyed.servers", &self.id, &value);
    }

    /// Reports every 1.2 s until the server is gone.
    pub fn report_regularly(self: &Arc<Self>, store: &Arc<Store>) {
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !server.is_gone.load(Ordering::Relaxed) {
                server.report(&store);
                sleep_ms(1_200);
            }
        });
    }

    /// Ends the server: its connections are closed, and nothing listens at its address any more.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }
}
