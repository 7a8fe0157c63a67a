//! A cluster on loopback: the stand-in platform, engines, plain services and entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use async_io::Timer;
use async_io::block_on;
use domain::Contract;
use domain::Fleet;
use domain::digest;
use domain::fleet::BackendServer;
use domain::fleet::DataCentre;
use domain::fleet::Engine;
use domain::fleet::Firm;
use domain::fleet::Kind;
use domain::fleet::Model;
use domain::fleet::Service;
use load::Customer;
use platform::Instance;
use platform::Role;
use platform::Status;
use serde_json::Value;
use serde_json::json;
use web::Client;
use web::client::Call;

use crate::process;
use crate::process::Process;

/// The time in which a started cluster has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// The time for a call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of entry instances.
    pub entries: usize,
    /// The number of model engines.
    pub engines: usize,
    /// The number of servers of the plain service `bookings`.
    pub services: usize,
    /// Options of each engine.
    pub engine_options: Vec<String>,
    /// Options of the platform.
    pub platform_options: Vec<String>,
    /// Options of each server of the plain service.
    pub service_options: Vec<String>,
    /// KV memory of each engine, in tokens.
    pub memory_tokens: u64,
    /// Settings of the entries beside names and addresses.
    pub settings: Value,
    /// Changes to every contract, by field.
    pub contract: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 3,
            services: 1,
            engine_options: vec!["--speed=20".into(), "--token-us=2000".into()],
            platform_options: Vec::new(),
            service_options: Vec::new(),
            memory_tokens: 400_000,
            settings: json!({ "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "warn" }),
            contract: json!({}),
        }
    }
}

/// A running stand-in with its address.
#[derive(Debug)]
pub struct Server {
    /// The process.
    pub process: Process,
    /// Its name in the configuration.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other entries connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Whether the platform's list shows it as leaving.
    pub is_leaving: bool,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The entry instances. They come first, so that they are ended first.
    pub entries: Vec<Entry>,
    /// The model engines.
    pub engines: Vec<Server>,
    /// The servers of the plain service.
    pub services: Vec<Server>,
    /// The platform.
    pub platform: Server,
    /// The plan that the cluster follows.
    pub plan: Plan,
    /// For calls to the stand-ins.
    pub client: Client,
    folder: PathBuf,
    started: usize,
}

/// Returns a folder that no other cluster uses, also if both start at the same moment.
pub fn next_folder() -> PathBuf {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("coriander-{}-{number}", std::process::id()))
}

/// The bearer key of a customer of the test configuration.
pub fn secret(customer: &str) -> String {
    format!("secret-of-{customer}")
}

impl Cluster {
    /// Starts everything, publishes a configuration of two firms and waits until all entries are
    /// ready.
    pub fn start(plan: Plan) -> Result<Self> {
        let folder = next_folder();
        std::fs::create_dir_all(&folder)?;
        let platform = stand_in("platform", "platform", &plan.platform_options)?;
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            client: Client::default(),
            folder,
            started: 0,
            plan,
        };
        for index in 0..cluster.plan.engines {
            let mut options = cluster.plan.engine_options.clone();
            options.push(format!("--memory-tokens={}", cluster.plan.memory_tokens));
            cluster
                .engines
                .push(stand_in("engine", &format!("runner-{index}"), &options)?);
        }
        for index in 0..cluster.plan.services {
            let options = &cluster.plan.service_options;
            cluster
                .services
                .push(stand_in("service", &format!("booking-{index}"), options)?);
        }
        cluster.publish(&cluster.fleet())?;
        for _ in 0..cluster.plan.entries {
            cluster.start_entry()?;
        }
        cluster.list()?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts one more entry instance. The platform's list does not have it yet.
    pub fn start_entry(&mut self) -> Result<usize> {
        let name = format!("entry-{}", self.started);
        let data_centre = format!("dc-{}", self.started % 3);
        self.started += 1;
        let mut settings = self.plan.settings.clone();
        settings["name"] = json!(name);
        settings["data_centre"] = json!(data_centre);
        for part in ["callers", "peers", "operators"] {
            settings[part] = json!("127.0.0.1:0");
        }
        settings["platform"] = json!(self.platform.address);
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string())?;
        let path = path.to_string_lossy().into_owned();
        let process = Process::start("coriander-entry", &["--settings", &path])?;
        let addresses: BTreeMap<&str, &str> = process
            .greeting
            .split(' ')
            .filter_map(|it| it.split_once('='))
            .collect();
        let address = |part: &str| -> Result<SocketAddr> {
            Ok(addresses.get(part).context("no such address")?.parse()?)
        };
        let (callers, peers) = (address("callers")?, address("peers")?);
        let operators = address("operators")?;
        let is_leaving = false;
        self.entries.push(Entry {
            process,
            name,
            callers,
            peers,
            operators,
            is_leaving,
        });
        Ok(self.entries.len() - 1)
    }

    /// Tells the platform's list which instances there are.
    pub fn list(&self) -> Result<()> {
        let entries = self.entries.iter().map(|it| Instance {
            name: it.name.clone(),
            data_centre: "dc-0".to_owned(),
            role: Role::Entry {
                callers: it.callers,
                peers: it.peers,
            },
            status: if it.is_leaving {
                Status::Leaving
            } else {
                Status::Live
            },
        });
        let servers = self
            .engines
            .iter()
            .chain(&self.services)
            .map(|it| Instance {
                name: it.name.clone(),
                data_centre: "dc-0".to_owned(),
                role: Role::BackendServer,
                status: Status::Live,
            });
        self.tell_list(&entries.chain(servers).collect::<Vec<_>>())
    }

    /// Tells the platform's list exactly this.
    pub fn tell_list(&self, instances: &[Instance]) -> Result<()> {
        self.post(self.platform.address, "/instances", &json!(instances))
    }

    /// Waits until all entries are ready and know one another.
    pub fn wait_ready(&self) -> Result<()> {
        let live = self.entries.iter().filter(|it| !it.is_leaving);
        let count = live.clone().count();
        self.until(READY_LIMIT, "all entries are ready", || {
            live.clone().all(|it| {
                let call = Call::get(it.operators, "/readyz");
                let answer = block_on(self.client.send_unpooled(&call, CALL_TIMEOUT));
                let listed = self.page(it.callers, "/v1/entries");
                answer.is_ok_and(|it| it.is_success())
                    && listed.is_ok_and(|it| it["entries"].as_array().map(Vec::len) == Some(count))
            })
        })
    }

    /// Waits until `condition` holds.
    pub fn until(
        &self,
        limit: Duration,
        what: &str,
        mut condition: impl FnMut() -> bool,
    ) -> Result<()> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > limit {
                bail!("not within {limit:?}: {what}");
            }
            block_on(Timer::after(Duration::from_millis(10)));
        }
        Ok(())
    }

    /// Gives a stand-in a fault.
    pub fn fault(&self, address: SocketAddr, fault: &Value) -> Result<()> {
        self.post(address, "/faults", fault)
    }

    /// Reads a page of JSON.
    pub fn page(&self, address: SocketAddr, path: &str) -> Result<Value> {
        Ok(block_on(
            self.client.fetch(&Call::get(address, path), CALL_TIMEOUT),
        )?)
    }

    /// Publishes a configuration as an operator would.
    pub fn publish(&self, fleet: &Fleet) -> Result<()> {
        let output = self.try_publish(fleet, "test")?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        anyhow::ensure!(output.status.success(), "publish failed: {text}");
        Ok(())
    }

    /// Publishes a configuration and returns what the tool says.
    pub fn try_publish(&self, fleet: &Fleet, author: &str) -> Result<Output> {
        publish(&self.folder, self.platform.address, fleet, author, None)
    }

    /// Returns the folder for the cluster's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns a caller of a customer.
    pub fn customer(&self, name: &str) -> Customer {
        Customer::new(secret(name))
    }

    /// Returns the callers' address of an entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].callers
    }

    /// Returns the configuration of this cluster: two firms with two customers each.
    pub fn fleet(&self) -> Fleet {
        let engines = self.engines.iter().map(|it| BackendServer {
            name: it.name.clone(),
            address: it.address,
            data_centre: "dc-0".to_owned(),
            kind: Kind::Engine(Engine {
                models: vec!["assistant".to_owned()],
                memory_tokens: self.plan.memory_tokens,
                checks_fencing: false,
            }),
        });
        let services = self.services.iter().map(|it| BackendServer {
            name: it.name.clone(),
            address: it.address,
            data_centre: "dc-1".to_owned(),
            kind: Kind::Service(Service {
                service: "bookings".to_owned(),
            }),
        });
        let firm = |name: &str| Firm {
            name: name.to_owned(),
            share: 1,
        };
        let data_centre = |index: usize| DataCentre {
            name: format!("dc-{index}"),
            region: "region-0".to_owned(),
        };
        let customers = [
            ("forum", "acvariu"),
            ("shops", "acvariu"),
            ("riders", "buses"),
            ("clinics", "buses"),
        ];
        Fleet {
            firms: vec![firm("acvariu"), firm("buses")],
            data_centres: (0..3).map(data_centre).collect(),
            models: vec![Model {
                name: "assistant".to_owned(),
                version: 1,
                first_token_ms: 1_100,
            }],
            backend_servers: engines.chain(services).collect(),
            contracts: customers
                .iter()
                .map(|(name, firm)| self.contract(name, firm))
                .collect(),
        }
    }

    fn contract(&self, customer: &str, firm: &str) -> Contract {
        let mut contract = json!({
            "customer": customer,
            "firm": firm,
            "key_hashes": [digest::sha256_hex(&secret(customer))],
            "tokens_per_second": 1_000_000,
            "burst_tokens": 4_000_000,
            "requests_per_second": 1_000,
            "burst_requests": 1_000,
            "concurrent_requests": 500,
            "longest_prompt_tokens": 1_100_000,
            "time_limit_ms": 30_000,
            "share": 1,
        });
        for (field, value) in self.plan.contract.as_object().into_iter().flatten() {
            contract[field] = value.clone();
        }
        serde_json::from_value(contract).expect("the plan's contract fields are valid")
    }

    fn post(&self, address: SocketAddr, path: &str, value: &Value) -> Result<()> {
        let call = Call::json(address, path, value);
        let answer = block_on(self.client.send_unpooled(&call, CALL_TIMEOUT));
        // A process that is told to crash does not answer.
        if let Ok(answer) = answer {
            anyhow::ensure!(answer.is_success(), "{path} answered {}", answer.status());
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn stand_in(part: &str, name: &str, options: &[String]) -> Result<Server> {
    let mut arguments = vec![part];
    arguments.extend(options.iter().map(String::as_str));
    let process = Process::start("coriander-fakes", &arguments)?;
    let address = process
        .greeting
        .strip_prefix("listening ")
        .context("no address")?
        .parse()?;
    Ok(Server {
        process,
        name: name.to_owned(),
        address,
    })
}

/// Publishes a configuration with the operators' tool and returns what it says.
pub fn publish(
    folder: &Path,
    platform: SocketAddr,
    fleet: &Fleet,
    author: &str,
    expect: Option<u64>,
) -> Result<Output> {
    let path = folder.join(format!("fleet-{author}.jsonc"));
    std::fs::write(&path, serde_json::to_string(fleet)?)?;
    let path = path.to_string_lossy().into_owned();
    let platform = platform.to_string();
    let expect = expect.map(|it| it.to_string());
    let mut arguments = vec![
        "publish",
        &path,
        "--platform",
        &platform,
        "--author",
        author,
    ];
    if let Some(expect) = &expect {
        arguments.extend(["--expect", expect]);
    }
    process::output("coriander-ctl", &arguments)
}
