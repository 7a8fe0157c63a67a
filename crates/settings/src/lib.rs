//! Settings and fleet files in JSON with comments. The whole file is validated before anything
//! starts.
//!
//! Every diagnostic names the file, the line and the remedy.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use domain::Fleet;
use jsonc_parser::ParseOptions;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

mod locate;

/// The errors in one file.
#[derive(Debug)]
pub struct Error {
    path: PathBuf,
    diagnostics: Vec<Diagnostic>,
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The line number, starting at one.
    pub line: usize,
    /// The error and its remedy.
    pub message: String,
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(
                f,
                "{}:{}: {}",
                self.path.display(),
                diagnostic.line,
                diagnostic.message
            )?;
        }
        Ok(())
    }
}

/// The policy by which an entry instance chooses a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// By estimated engine time, with long prompts confined and firms isolated from one another.
    #[default]
    ByLength,
    /// Baseline: round robin over the backend servers, first come, first served.
    RoundRobin,
    /// Baseline: the backend server with the fewest requests, first come, first served.
    LeastLoaded,
}

/// The settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance's name, unique among the entries.
    pub name: String,
    /// The instance's data centre.
    pub data_centre: String,
    /// The address to which callers connect. With port 0, the operating system chooses the port.
    pub callers: SocketAddr,
    /// The address to which the other entries connect, over TCP and UDP. With port 0, the operating
    /// system chooses the port.
    pub peers: SocketAddr,
    /// The address to which operators connect. With port 0, the operating system chooses the port.
    pub operators: SocketAddr,
    /// The address of the platform, which serves the log and the instance list.
    pub platform: SocketAddr,
    /// How long callers may cache the response of `/v1/entries`, in milliseconds.
    #[serde(default = "Entry::default_answer_lifetime")]
    pub answer_lifetime_ms: u64,
    /// The timeout for receiving a request head, and again for a body, in milliseconds.
    #[serde(default = "Entry::default_caller_timeout")]
    pub caller_timeout_ms: u64,
    /// The maximum lag of the platform's instance list, in milliseconds.
    #[serde(default = "Entry::default_list_lag")]
    pub list_lag_ms: u64,
    /// The retention time of the platform's log, in milliseconds.
    #[serde(default = "Entry::default_log_retention")]
    pub log_retention_ms: u64,
    /// The log level: error, warn, info, debug or trace.
    #[serde(default = "Entry::default_log_level")]
    pub log_level: String,
    /// Log levels of individual parts, for example `{"part": "claims", "level": "debug"}`.
    #[serde(default)]
    pub log_parts: Vec<PartLevel>,
    /// The policy by which a backend server is chosen.
    #[serde(default)]
    pub routing: Routing,
}

/// The log level of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartLevel {
    /// The part's name, which is the log target at the start of its log lines.
    pub part: String,
    /// The level.
    pub level: String,
}

impl Entry {
    /// The maximum of `answer_lifetime_ms`.
    const ANSWER_LIFETIME_LIMIT_MS: u64 = 60_000;

    fn default_answer_lifetime() -> u64 {
        5_000
    }

    fn default_caller_timeout() -> u64 {
        20_000
    }

    fn default_list_lag() -> u64 {
        3_000
    }

    fn default_log_retention() -> u64 {
        24 * 60 * 60 * 1_000
    }

    fn default_log_level() -> String {
        "info".to_owned()
    }

    fn problems(&self) -> Vec<(String, String)> {
        let mut problems = Vec::new();
        let mut add =
            |path: &str, message: &str| problems.push((path.to_owned(), message.to_owned()));
        if self.name.is_empty() {
            add("name", "is empty: set the name of the instance");
        }
        if self.data_centre.is_empty() {
            add("data_centre", "is empty: set the name of the data centre");
        }
        if self.log_level.parse::<LogLevel>().is_err() {
            add(
                "log_level",
                "is not a log level: use error, warn, info, debug or trace",
            );
        }
        for (index, part) in self.log_parts.iter().enumerate() {
            if part.level.parse::<LogLevel>().is_err() {
                let path = format!("log_parts[{index}].level");
                add(
                    &path,
                    "is not a log level: use error, warn, info, debug or trace",
                );
            }
        }
        if self.answer_lifetime_ms == 0 || self.answer_lifetime_ms > Self::ANSWER_LIFETIME_LIMIT_MS
        {
            add(
                "answer_lifetime_ms",
                "must be between 1 and 60000: the unit is milliseconds",
            );
        }
        if self.caller_timeout_ms == 0 {
            add(
                "caller_timeout_ms",
                "is zero, so every caller would time out: set at least 1",
            );
        }
        if self.log_retention_ms == 0 {
            add(
                "log_retention_ms",
                "is zero: set the log's retention time in milliseconds",
            );
        }
        let addresses = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
            ("platform", self.platform),
        ];
        for (index, (field, address)) in addresses.iter().enumerate() {
            let is_duplicate = addresses[..index].iter().any(|(_, it)| it == address);
            if is_duplicate && address.port() != 0 {
                add(
                    field,
                    "is the same as another address: use a different port for each",
                );
            }
        }
        problems
    }
}

/// A valid log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LogLevel;

impl std::str::FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(Self),
            _ => Err(()),
        }
    }
}

/// Reads and validates the settings file of an entry instance.
pub fn entry(path: &Path) -> Result<Entry, Error> {
    let text = read(path)?;
    entry_from_text(path, &text)
}

/// Parses and validates the text of a settings file.
pub fn entry_from_text(path: &Path, text: &str) -> Result<Entry, Error> {
    let entry: Entry = parse(path, text)?;
    check_problems(path, text, entry.problems())?;
    Ok(entry)
}

/// Reads and validates a fleet file.
pub fn fleet(path: &Path) -> Result<Fleet, Error> {
    let text = read(path)?;
    fleet_from_text(path, &text)
}

/// Parses and validates the text of a fleet file.
pub fn fleet_from_text(path: &Path, text: &str) -> Result<Fleet, Error> {
    let fleet: Fleet = parse(path, text)?;
    let problems = fleet.problems().into_iter().map(|it| (it.path, it.message));
    check_problems(path, text, problems.collect())?;
    Ok(fleet)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error {
        path: path.to_owned(),
        diagnostics: vec![Diagnostic {
            line: 0,
            message: format!("can't be read ({error}): check the path and its permissions"),
        }],
    })
}

fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let error_at = |line, message| Error {
        path: path.to_owned(),
        diagnostics: vec![Diagnostic { line, message }],
    };
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
            let message = format!("is not valid JSON with comments ({error}): correct this line");
            error_at(error.line_display(), message)
        })?;
    let value = value.unwrap_or(serde_json::Value::Null);
    serde_path_to_error::deserialize(value).map_err(|error| {
        let location = error.path().to_string();
        let reason = error.inner().to_string();
        let remedy = if reason.starts_with("missing") {
            "add it"
        } else {
            "correct or remove it"
        };
        let message = format!("`{location}`: {reason}: {remedy}");
        error_at(locate::line(text, &location), message)
    })
}

fn check_problems(path: &Path, text: &str, problems: Vec<(String, String)>) -> Result<(), Error> {
    if problems.is_empty() {
        return Ok(());
    }
    let diagnostics = problems.into_iter().map(|(location, message)| Diagnostic {
        line: locate::line(text, &location),
        message: format!("`{location}` {message}"),
    });
    Err(Error {
        path: path.to_owned(),
        diagnostics: diagnostics.collect(),
    })
}
