//! Checks the configuration of the users' platform before an operator publishes it.

use std::io::Read;
use std::path::Path;

use adapter::check;
use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;

/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object for scripts.
    Json,
}

/// The files to check.
#[derive(Clone, Copy, Debug)]
pub struct Files<'a> {
    /// The configuration; `-` for standard input.
    pub file: &'a Path,
    /// The version in force; `-` for standard input.
    pub against: Option<&'a Path>,
    /// The names of all regions; empty if they are not known.
    pub regions: &'a [String],
    /// The names of the regions with servers; empty if they are not known.
    pub served: &'a [String],
}

/// The report as it is printed, and the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The report.
    pub text: String,
    /// The exit code: 0 without findings, 1 with warnings, 2 with errors.
    pub code: u8,
}

/// Checks a configuration. `input` is read if a path stands for standard input.
pub fn run(files: Files, format: Format, mut input: impl Read) -> Result<Outcome> {
    let is_input = |path: &Path| path == Path::new(STANDARD_INPUT);
    ensure!(
        !(is_input(files.file) && files.against.is_some_and(is_input)),
        "standard input can't be both versions: give a file for one of them"
    );
    let mut read = |path: &Path| {
        let mut bytes = Vec::new();
        let result = match is_input(path) {
            true => input.read_to_end(&mut bytes).map(|_| bytes),
            false => std::fs::read(path),
        };
        result.with_context(|| format!("{} can't be read: check the path", path.display()))
    };
    let bytes = read(files.file)?;
    let in_force = files.against.map(read).transpose()?;
    let context = check::Context {
        in_force: in_force.as_deref(),
        regions: files.regions,
        served: files.served,
    };
    let report = check::check(&bytes, context);
    let text = match format {
        Format::Text => report.to_string(),
        Format::Json => serde_json::to_string_pretty(&report)? + "\n",
    };
    Ok(Outcome {
        text,
        code: report.exit_code(),
    })
}
