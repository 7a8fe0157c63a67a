//! A cluster on loopback ports: a fake platform, fake engines and plain services, and real entries.

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

/// The time within which a started cluster must be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// The timeout of a call to a fake or to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The composition of a cluster and the options of its programs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of entry instances.
    pub entries: usize,
    /// The number of model engines.
    pub engines: usize,
    /// The number of servers of the plain service `bookings`.
    pub services: usize,
    /// Command-line options of each engine.
    pub engine_options: Vec<String>,
    /// Command-line options of the platform.
    pub platform_options: Vec<String>,
    /// Command-line options of each server of the plain service.
    pub service_options: Vec<String>,
    /// The KV memory of each engine, in tokens.
    pub memory_tokens: u64,
    /// The settings of the entries, without names and addresses.
    pub settings: Value,
    /// Values that replace fields of every contract.
    pub contract_overrides: Value,
}

impl Default for Options {
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
            contract_overrides: json!({}),
        }
    }
}

/// A running fake of the platform, an engine or a plain service.
#[derive(Debug)]
pub struct Fake {
    /// The process.
    pub process: Process,
    /// Its name in the configuration and in the instance list.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other entries.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// Whether the platform's instance list shows it as leaving.
    pub is_leaving: bool,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The entry instances. This is the first field, so that they are dropped before the fakes.
    pub entries: Vec<Entry>,
    /// The model engines.
    pub engines: Vec<Fake>,
    /// The servers of the plain service.
    pub services: Vec<Fake>,
    /// The platform.
    pub platform: Fake,
    /// The options that the cluster was started with.
    pub options: Options,
    /// The client for calls to the fakes and the entries.
    pub client: Client,
    folder: PathBuf,
    next_entry: usize,
}

/// Returns the path of a folder that no other cluster uses, even if both start at the same time.
pub fn unique_folder() -> PathBuf {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("coriander-{}-{number}", std::process::id()))
}

/// Returns the bearer key of a customer of the test configuration.
pub fn secret(customer: &str) -> String {
    format!("secret-of-{customer}")
}

impl Cluster {
    /// Starts all processes, publishes a configuration with two firms and waits until all entries
    /// are ready.
    pub fn start(options: Options) -> Result<Self> {
        let folder = unique_folder();
        std::fs::create_dir_all(&folder)?;
        let platform = start_fake("platform", "platform", &options.platform_options)?;
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            client: Client::default(),
            folder,
            next_entry: 0,
            options,
        };
        for index in 0..cluster.options.engines {
            let mut arguments = cluster.options.engine_options.clone();
            arguments.push(format!("--memory-tokens={}", cluster.options.memory_tokens));
            cluster.engines.push(start_fake(
                "engine",
                &format!("runner-{index}"),
                &arguments,
            )?);
        }
        for index in 0..cluster.options.services {
            let arguments = &cluster.options.service_options;
            cluster.services.push(start_fake(
                "service",
                &format!("booking-{index}"),
                arguments,
            )?);
        }
        cluster.publish(&cluster.fleet())?;
        for _ in 0..cluster.options.entries {
            cluster.start_entry()?;
        }
        cluster.update_instances()?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts another entry instance and returns its index. The platform's instance list does not
    /// contain it until [`Self::update_instances`] is called.
    pub fn start_entry(&mut self) -> Result<usize> {
        let name = format!("entry-{}", self.next_entry);
        let data_centre = format!("dc-{}", self.next_entry % 3);
        self.next_entry += 1;
        let mut settings = self.options.settings.clone();
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
            .first_line
            .split(' ')
            .filter_map(|it| it.split_once('='))
            .collect();
        let address = |part: &str| -> Result<SocketAddr> {
            Ok(addresses
                .get(part)
                .context("the first line of the entry lacks an address")?
                .parse()?)
        };
        let (caller_address, peer_address) = (address("callers")?, address("peers")?);
        let operator_address = address("operators")?;
        let is_leaving = false;
        self.entries.push(Entry {
            process,
            name,
            caller_address,
            peer_address,
            operator_address,
            is_leaving,
        });
        Ok(self.entries.len() - 1)
    }

    /// Sets the platform's instance list to the instances of this cluster.
    pub fn update_instances(&self) -> Result<()> {
        let entries = self.entries.iter().map(|it| Instance {
            name: it.name.clone(),
            data_centre: "dc-0".to_owned(),
            role: Role::Entry {
                callers: it.caller_address,
                peers: it.peer_address,
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
        self.set_instances(&entries.chain(servers).collect::<Vec<_>>())
    }

    /// Sets the platform's instance list.
    pub fn set_instances(&self, instances: &[Instance]) -> Result<()> {
        self.post(self.platform.address, "/instances", &json!(instances))
    }

    /// Waits until all entries that are not leaving are ready and list one another.
    pub fn wait_ready(&self) -> Result<()> {
        let live = self.entries.iter().filter(|it| !it.is_leaving);
        let count = live.clone().count();
        self.wait_until(READY_LIMIT, "all entries are ready", || {
            live.clone().all(|it| {
                let call = Call::get(it.operator_address, "/readyz");
                let answer = block_on(self.client.send_unpooled(&call, CALL_TIMEOUT));
                let listed = self.get_json(it.caller_address, "/v1/entries");
                answer.is_ok_and(|it| it.is_success())
                    && listed.is_ok_and(|it| it["entries"].as_array().map(Vec::len) == Some(count))
            })
        })
    }

    /// Polls `condition` until it is true. Returns an error that names `what` after `limit`.
    pub fn wait_until(
        &self,
        limit: Duration,
        what: &str,
        mut condition: impl FnMut() -> bool,
    ) -> Result<()> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > limit {
                bail!("timed out after {limit:?} while waiting for: {what}");
            }
            block_on(Timer::after(Duration::from_millis(10)));
        }
        Ok(())
    }

    /// Replaces the faults of a fake. An empty object ends all faults.
    pub fn set_faults(&self, address: SocketAddr, faults: &Value) -> Result<()> {
        self.post(address, "/faults", faults)
    }

    /// Fetches a JSON document.
    pub fn get_json(&self, address: SocketAddr, path: &str) -> Result<Value> {
        Ok(block_on(
            self.client.fetch(&Call::get(address, path), CALL_TIMEOUT),
        )?)
    }

    /// Publishes a configuration with the operators' tool. Fails if the tool does.
    pub fn publish(&self, fleet: &Fleet) -> Result<()> {
        let output = self.try_publish(fleet, "test")?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        anyhow::ensure!(
            output.status.success(),
            "coriander-ctl publish failed: {text}"
        );
        Ok(())
    }

    /// Publishes a configuration with the operators' tool and returns its output.
    pub fn try_publish(&self, fleet: &Fleet, author: &str) -> Result<Output> {
        publish(&self.folder, self.platform.address, fleet, author, None)
    }

    /// Returns the folder of the cluster's settings and configuration files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns a client with the bearer key of a customer.
    pub fn customer(&self, name: &str) -> Customer {
        Customer::new(secret(name))
    }

    /// Returns the address of an entry for callers.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.entries[index].caller_address
    }

    /// Returns the configuration of this cluster, with two firms that have two customers each.
    pub fn fleet(&self) -> Fleet {
        let engines = self.engines.iter().map(|it| BackendServer {
            name: it.name.clone(),
            address: it.address,
            data_centre: "dc-0".to_owned(),
            kind: Kind::Engine(Engine {
                models: vec!["assistant".to_owned()],
                memory_tokens: self.options.memory_tokens,
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
        for (field, value) in self
            .options
            .contract_overrides
            .as_object()
            .into_iter()
            .flatten()
        {
            contract[field] = value.clone();
        }
        serde_json::from_value(contract).expect("the contract overrides are valid")
    }

    fn post(&self, address: SocketAddr, path: &str, value: &Value) -> Result<()> {
        let call = Call::json(address, path, value);
        let answer = block_on(self.client.send_unpooled(&call, CALL_TIMEOUT));
        // A fake that crashes because of this call does not answer it.
        if let Ok(answer) = answer {
            anyhow::ensure!(
                answer.is_success(),
                "{path} answered with status {}",
                answer.status()
            );
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_fake(part: &str, name: &str, options: &[String]) -> Result<Fake> {
    let mut arguments = vec![part];
    arguments.extend(options.iter().map(String::as_str));
    let process = Process::start("coriander-fakes", &arguments)?;
    let address = process
        .first_line
        .strip_prefix("listening ")
        .context("the first line of the fake has no address")?
        .parse()?;
    Ok(Fake {
        process,
        name: name.to_owned(),
        address,
    })
}

/// Publishes a configuration with the operators' tool and returns its output. If `expect` is given,
/// the tool refuses the change unless the current version equals it.
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
