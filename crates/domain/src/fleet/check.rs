//! Checks of a configuration as a whole: names that are used twice, references to nothing, limits
//! of zero.

use std::collections::BTreeSet;

use super::Fleet;
use super::Kind;

/// The digits of a SHA-256 digest.
const KEY_HASH_DIGITS: usize = 64;

/// Something that is wrong, where it stands, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The object, for example `contracts[3].tokens_per_second`.
    pub path: String,
    /// What is wrong and the remedy.
    pub message: String,
}

pub(super) fn fleet(fleet: &Fleet) -> Vec<Problem> {
    let mut found = Problems::default();
    found.unique(
        "firms",
        "name",
        fleet.firms.iter().map(|it| it.name.as_str()),
    );
    found.unique(
        "data_centres",
        "name",
        fleet.data_centres.iter().map(|it| it.name.as_str()),
    );
    found.unique(
        "models",
        "name",
        fleet.models.iter().map(|it| it.name.as_str()),
    );
    let servers = &fleet.backend_servers;
    found.unique(
        "backend_servers",
        "name",
        servers.iter().map(|it| it.name.as_str()),
    );
    found.unique(
        "backend_servers",
        "address",
        servers.iter().map(|it| it.address.to_string()),
    );
    let customers = fleet.contracts.iter().map(|it| it.customer.as_str());
    found.unique("contracts", "customer", customers);
    found.firms(fleet);
    found.backend_servers(fleet);
    found.contracts(fleet);
    found.0
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Problem {
            path: path.into(),
            message: message.into(),
        });
    }

    fn unique<T: AsRef<str>>(&mut self, list: &str, field: &str, names: impl Iterator<Item = T>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let name = name.as_ref();
            if name.is_empty() {
                self.add(
                    format!("{list}[{index}].{field}"),
                    "is empty: give it a name",
                );
            }
            if !seen.insert(name.to_owned()) {
                let message = format!("`{name}` stands twice: remove one or rename it");
                self.add(format!("{list}[{index}].{field}"), message);
            }
        }
    }

    fn positive(&mut self, path: &str, field: &str, value: u64) {
        if value == 0 {
            let message = "is zero, so nothing could ever pass: give at least 1, or remove it all";
            self.add(format!("{path}.{field}"), message);
        }
    }

    fn known(&mut self, path: String, what: &str, name: &str, known: &BTreeSet<&str>) {
        if !known.contains(name) {
            let message = format!("names the unknown {what} `{name}`: declare it or correct it");
            self.add(path, message);
        }
    }

    fn firms(&mut self, fleet: &Fleet) {
        for (index, firm) in fleet.firms.iter().enumerate() {
            self.positive(&format!("firms[{index}]"), "share", firm.share);
        }
    }

    fn backend_servers(&mut self, fleet: &Fleet) {
        let data_centres = fleet
            .data_centres
            .iter()
            .map(|it| it.name.as_str())
            .collect();
        let models = fleet.models.iter().map(|it| it.name.as_str()).collect();
        for (index, server) in fleet.backend_servers.iter().enumerate() {
            let path = format!("backend_servers[{index}]");
            let data_centre = &server.data_centre;
            self.known(
                format!("{path}.data_centre"),
                "data centre",
                data_centre,
                &data_centres,
            );
            match &server.kind {
                Kind::Engine(engine) => {
                    self.positive(&path, "kind.memory_tokens", engine.memory_tokens);
                    for model in &engine.models {
                        self.known(format!("{path}.kind.models"), "model", model, &models);
                    }
                }
                Kind::Service(service) if service.service.is_empty() => {
                    self.add(format!("{path}.kind.service"), "is empty: name the service");
                }
                Kind::Service(_) => {}
            }
        }
    }

    fn contracts(&mut self, fleet: &Fleet) {
        let firms = fleet.firms.iter().map(|it| it.name.as_str()).collect();
        let mut hashes = BTreeSet::new();
        for (index, contract) in fleet.contracts.iter().enumerate() {
            let path = format!("contracts[{index}]");
            self.known(format!("{path}.firm"), "firm", &contract.firm, &firms);
            self.positive(&path, "tokens_per_second", contract.tokens_per_second);
            self.positive(&path, "burst_tokens", contract.burst_tokens);
            self.positive(&path, "requests_per_second", contract.requests_per_second);
            self.positive(&path, "burst_requests", contract.burst_requests);
            self.positive(&path, "concurrent_requests", contract.concurrent_requests);
            self.positive(
                &path,
                "longest_prompt_tokens",
                contract.longest_prompt_tokens,
            );
            self.positive(&path, "time_limit_ms", contract.time_limit_ms);
            self.positive(&path, "share", contract.share);
            if contract.longest_prompt_tokens > contract.burst_tokens {
                let message = "is smaller than longest_prompt_tokens, so the longest prompt could \
                               never pass: raise it";
                self.add(format!("{path}.burst_tokens"), message);
            }
            if contract
                .valid_until_s
                .is_some_and(|end| end <= contract.valid_from_s)
            {
                let message = "is not after valid_from_s: the contract would never be valid";
                self.add(format!("{path}.valid_until_s"), message);
            }
            if contract.key_hashes.is_empty() {
                self.add(
                    format!("{path}.key_hashes"),
                    "is empty: add the SHA-256 of a key",
                );
            }
            for hash in &contract.key_hashes {
                let is_hex = hash
                    .bytes()
                    .all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
                if hash.len() != KEY_HASH_DIGITS || !is_hex {
                    let message = "holds something that is no SHA-256 in 64 lowercase \
                                   hexadecimal digits: run `coriander-ctl hash KEY`";
                    self.add(format!("{path}.key_hashes"), message);
                }
                if !hashes.insert(hash.as_str()) {
                    let message = "holds a digest that another contract has: use another key";
                    self.add(format!("{path}.key_hashes"), message);
                }
            }
        }
    }
}
