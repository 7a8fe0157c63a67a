//! Consistency checks of the whole configuration: duplicate names, unknown references and limits of
//! zero.

use std::collections::BTreeSet;

use super::Fleet;
use super::Kind;

/// The number of hexadecimal digits in a SHA-256 digest.
const KEY_HASH_DIGITS: usize = 64;

/// A problem in the configuration, with its location and remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the field, for example `contracts[3].tokens_per_second`.
    pub path: String,
    /// A description of the problem and its remedy.
    pub message: String,
}

pub(super) fn find_problems(fleet: &Fleet) -> Vec<Problem> {
    let mut problems = Problems::default();
    problems.check_unique(
        "firms",
        "name",
        fleet.firms.iter().map(|it| it.name.as_str()),
    );
    problems.check_unique(
        "data_centres",
        "name",
        fleet.data_centres.iter().map(|it| it.name.as_str()),
    );
    problems.check_unique(
        "models",
        "name",
        fleet.models.iter().map(|it| it.name.as_str()),
    );
    let servers = &fleet.backend_servers;
    problems.check_unique(
        "backend_servers",
        "name",
        servers.iter().map(|it| it.name.as_str()),
    );
    problems.check_unique(
        "backend_servers",
        "address",
        servers.iter().map(|it| it.address.to_string()),
    );
    let customers = fleet.contracts.iter().map(|it| it.customer.as_str());
    problems.check_unique("contracts", "customer", customers);
    problems.check_firms(fleet);
    problems.check_backend_servers(fleet);
    problems.check_contracts(fleet);
    problems.0
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

    fn check_unique<T: AsRef<str>>(
        &mut self,
        list: &str,
        field: &str,
        names: impl Iterator<Item = T>,
    ) {
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
                let message = format!("`{name}` appears twice: remove one or rename it");
                self.add(format!("{list}[{index}].{field}"), message);
            }
        }
    }

    fn check_positive(&mut self, path: &str, field: &str, value: u64) {
        if value == 0 {
            let message =
                "is zero, which allows nothing: set at least 1, or remove the whole entry";
            self.add(format!("{path}.{field}"), message);
        }
    }

    fn check_reference(&mut self, path: String, object: &str, name: &str, known: &BTreeSet<&str>) {
        if !known.contains(name) {
            let message =
                format!("refers to the unknown {object} `{name}`: declare it or correct it");
            self.add(path, message);
        }
    }

    fn check_firms(&mut self, fleet: &Fleet) {
        for (index, firm) in fleet.firms.iter().enumerate() {
            self.check_positive(&format!("firms[{index}]"), "share", firm.share);
        }
    }

    fn check_backend_servers(&mut self, fleet: &Fleet) {
        let data_centres = fleet
            .data_centres
            .iter()
            .map(|it| it.name.as_str())
            .collect();
        let models = fleet.models.iter().map(|it| it.name.as_str()).collect();
        for (index, server) in fleet.backend_servers.iter().enumerate() {
            let path = format!("backend_servers[{index}]");
            let data_centre = &server.data_centre;
            self.check_reference(
                format!("{path}.data_centre"),
                "data centre",
                data_centre,
                &data_centres,
            );
            match &server.kind {
                Kind::Engine(engine) => {
                    self.check_positive(&path, "kind.memory_tokens", engine.memory_tokens);
                    for model in &engine.models {
                        self.check_reference(
                            format!("{path}.kind.models"),
                            "model",
                            model,
                            &models,
                        );
                    }
                }
                Kind::Service(service) if service.service.is_empty() => {
                    self.add(format!("{path}.kind.service"), "is empty: name the service");
                }
                Kind::Service(_) => {}
            }
        }
    }

    fn check_contracts(&mut self, fleet: &Fleet) {
        let firms = fleet.firms.iter().map(|it| it.name.as_str()).collect();
        let mut hashes = BTreeSet::new();
        for (index, contract) in fleet.contracts.iter().enumerate() {
            let path = format!("contracts[{index}]");
            self.check_reference(format!("{path}.firm"), "firm", &contract.firm, &firms);
            self.check_positive(&path, "tokens_per_second", contract.tokens_per_second);
            self.check_positive(&path, "burst_tokens", contract.burst_tokens);
            self.check_positive(&path, "requests_per_second", contract.requests_per_second);
            self.check_positive(&path, "burst_requests", contract.burst_requests);
            self.check_positive(&path, "concurrent_requests", contract.concurrent_requests);
            self.check_positive(
                &path,
                "longest_prompt_tokens",
                contract.longest_prompt_tokens,
            );
            self.check_positive(&path, "time_limit_ms", contract.time_limit_ms);
            self.check_positive(&path, "share", contract.share);
            if contract.longest_prompt_tokens > contract.burst_tokens {
                let message = "is smaller than longest_prompt_tokens, so the longest prompts \
                               would always be refused: raise it";
                self.add(format!("{path}.burst_tokens"), message);
            }
            if contract
                .valid_until_s
                .is_some_and(|end| end <= contract.valid_from_s)
            {
                let message = "isn't after valid_from_s, so the contract is never valid: raise it";
                self.add(format!("{path}.valid_until_s"), message);
            }
            if contract.key_hashes.is_empty() {
                self.add(
                    format!("{path}.key_hashes"),
                    "is empty: add the SHA-256 digest of a key",
                );
            }
            for hash in &contract.key_hashes {
                let is_hex = hash
                    .bytes()
                    .all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
                if hash.len() != KEY_HASH_DIGITS || !is_hex {
                    let message = "contains an entry that isn't a SHA-256 digest of 64 lowercase \
                                   hexadecimal digits: run `coriander-ctl hash KEY`";
                    self.add(format!("{path}.key_hashes"), message);
                }
                if !hashes.insert(hash.as_str()) {
                    let message = "contains a digest that is listed elsewhere too: use another key";
                    self.add(format!("{path}.key_hashes"), message);
                }
            }
        }
    }
}
