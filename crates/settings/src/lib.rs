//! Settings and fleet files: JSON with comments, checked as a whole before anything starts.
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

/// What is wrong with one file.
#[derive(Debug)]
pub struct Error {
    path: PathBuf,
    diagnostics: Vec<Diagnostic>,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The line, from one.
    pub line: usize,
    /// What is wrong and the remedy.
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

/// The way in which an entry instance chooses a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// By estimated engine time, with long prompts confined and firms kept apart.
    #[default]
    ByLength,
    /// Baseline: each backend server in turn, first come first served.
    RoundRobin,
    /// Baseline: the backend server with the fewest requests, first come first served.
    LeastLoaded,
}

/// The settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance's name, unique among the entries.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Where callers connect. Port 0 lets the system choose.
    pub callers: SocketAddr,
    /// Where the other entries connect, over TCP and UDP. Port 0 lets the system choose.
    pub peers: SocketAddr,
    /// Where operators connect. Port 0 lets the system choose.
    pub operators: SocketAddr,
    /// The platform's addresses for the log and the instance list.
    pub platform: SocketAddr,
    /// How long callers may keep the answer of `/v1/entries`, in milliseconds.
    #[serde(default = "Entry::default_answer_lifetime")]
    pub answer_lifetime_ms: u64,
    /// The time for a caller to send a head, and again a body, in milliseconds.
    #[serde(default = "Entry::default_caller_timeout")]
    pub caller_timeout_ms: u64,
    /// The longest time that the platform's instance list lags behind, in milliseconds.
    #[serde(default = "Entry::default_list_lag")]
    pub list_lag_ms: u64,
    /// How long the platform's log keeps records, in milliseconds.
    #[serde(default = "Entry::default_log_retention")]
    pub log_retention_ms: u64,
    /// The level of the log: error, warn, info, debug or trace.
    #[serde(default = "Entry::default_log_level")]
    pub log_level: String,
    /// Levels for single parts, for example `{"part": "claims", "level": "debug"}`.
    #[serde(default)]
    pub log_parts: Vec<PartLevel>,
    /// The way in which a backend server is chosen.
    #[serde(default)]
    pub routing: Routing,
}

/// The log level of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartLevel {
    /// The part's name, as it stands at the start of its log lines.
    pub part: String,
    /// The level.
    pub level: String,
}

impl Entry {
    /// The longest time that callers may keep an answer, in milliseconds.
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
        let mut found = Vec::new();
        let mut add = |path: &str, message: &str| found.push((path.to_owned(), message.to_owned()));
        if self.name.is_empty() {
            add("name", "is empty: give the instance a name");
        }
        if self.data_centre.is_empty() {
            add("data_centre", "is empty: name the data centre");
        }
        if self.log_level.parse::<Level>().is_err() {
            add(
                "log_level",
                "is no level: use error, warn, info, debug or trace",
            );
        }
        for (index, part) in self.log_parts.iter().enumerate() {
            if part.level.parse::<Level>().is_err() {
                let path = format!("log_parts[{index}].level");
                add(&path, "is no level: use error, warn, info, debug or trace");
            }
        }
        if self.answer_lifetime_ms == 0 || self.answer_lifetime_ms > Self::ANSWER_LIFETIME_LIMIT_MS
        {
            add(
                "answer_lifetime_ms",
                "must lie between 1 and 60000: it is in milliseconds",
            );
        }
        if self.caller_timeout_ms == 0 {
            add(
                "caller_timeout_ms",
                "is zero, so no caller could be in time: give at least 1",
            );
        }
        if self.log_retention_ms == 0 {
            add(
                "log_retention_ms",
                "is zero: give the log's retention in milliseconds",
            );
        }
        let addresses = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
            ("platform", self.platform),
        ];
        for (index, (field, address)) in addresses.iter().enumerate() {
            let twice = addresses[..index].iter().any(|(_, it)| it == address);
            if twice && address.port() != 0 {
                add(
                    field,
                    "is the address of another part: give each a port of its own",
                );
            }
        }
        found
    }
}

/// A level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Level;

impl std::str::FromStr for Level {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(Self),
            _ => Err(()),
        }
    }
}

/// Reads and checks the settings of an entry instance.
pub fn entry(path: &Path) -> Result<Entry, Error> {
    let text = read(path)?;
    entry_from_text(path, &text)
}

/// Checks the text of a settings file.
pub fn entry_from_text(path: &Path, text: &str) -> Result<Entry, Error> {
    let entry: Entry = parse(path, text)?;
    reject(path, text, entry.problems())?;
    Ok(entry)
}

/// Reads and checks a fleet file.
pub fn fleet(path: &Path) -> Result<Fleet, Error> {
    let text = read(path)?;
    fleet_from_text(path, &text)
}

/// Checks the text of a fleet file.
pub fn fleet_from_text(path: &Path, text: &str) -> Result<Fleet, Error> {
    let fleet: Fleet = parse(path, text)?;
    let problems = fleet.problems().into_iter().map(|it| (it.path, it.message));
    reject(path, text, problems.collect())?;
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
    let fail = |line, message| Error {
        path: path.to_owned(),
        diagnostics: vec![Diagnostic { line, message }],
    };
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
            let message = format!("is no JSON with comments ({error}): correct this line");
            fail(error.line_display(), message)
        })?;
    let value = value.unwrap_or(serde_json::Value::Null);
    serde_path_to_error::deserialize(value).map_err(|error| {
        let at = error.path().to_string();
        let reason = error.inner().to_string();
        let remedy = if reason.starts_with("missing") {
            "add it"
        } else {
            "correct or remove it"
        };
        let message = format!("`{at}`: {reason}: {remedy}");
        fail(locate::line(text, &at), message)
    })
}

fn reject(path: &Path, text: &str, found: Vec<(String, String)>) -> Result<(), Error> {
    if found.is_empty() {
        return Ok(());
    }
    let diagnostics = found.into_iter().map(|(at, message)| Diagnostic {
        line: locate::line(text, &at),
        message: format!("`{at}` {message}"),
    });
    Err(Error {
        path: path.to_owned(),
        diagnostics: diagnostics.collect(),
    })
}
