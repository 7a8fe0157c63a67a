//! `cargo xtask test`: everything that has to pass.
//!
//! Tests that KNOWN-RED.txt names may fail: they are run apart, and what they do is printed.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

/// The file that names the tests that fail for a known fault.
const KNOWN_RED: &str = "KNOWN-RED.txt";
/// The start of a line that names a test.
const KNOWN_RED_TEST: &str = "test: ";
/// The folder of the model checker's specifications.
const SPECIFICATIONS: &str = "spec";
/// What the model checker prints when it found no error.
const NO_ERRORS: &str = "errors: 0";

/// Runs all checks.
pub fn run() -> Result<ExitCode> {
    step("format", cargo(&["fmt", "--all", "--check"]))?;
    let lints = [
        "clippy",
        "--workspace",
        "--all-targets",
        "--quiet",
        "--",
        "-D",
        "warnings",
    ];
    step("lints", cargo(&lints))?;
    // Tests start the programs of the workspace as processes.
    step("build", cargo(&["build", "--workspace", "--quiet"]))?;
    let red = known_red()?;
    let mut tests = cargo(&["test", "--workspace", "--no-fail-fast", "--"]);
    for test in &red {
        tests.args(["--skip", test]);
    }
    step("tests", tests)?;
    models()?;
    for test in &red {
        let status = cargo(&["test", "--workspace", "--quiet", "--", "--exact", test]).status()?;
        let outcome = if status.success() {
            "passes now: remove it"
        } else {
            "fails"
        };
        println!("known red: {test} {outcome}");
    }
    println!("all checks passed, {} known red", red.len());
    Ok(ExitCode::SUCCESS)
}

/// Runs one step and fails if it does.
pub fn step(name: &str, mut command: Command) -> Result<()> {
    println!("== {name}");
    let status = command
        .status()
        .with_context(|| format!("{name} can't be started"))?;
    if !status.success() {
        bail!("{name} failed");
    }
    Ok(())
}

/// Returns a run of cargo on the workspace.
pub fn cargo(arguments: &[&str]) -> Command {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(program);
    command.args(arguments).current_dir(root());
    command
}

/// Returns the root of the workspace.
pub fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.parent().unwrap_or(here).to_owned()
}

fn known_red() -> Result<Vec<String>> {
    let text = std::fs::read_to_string(root().join(KNOWN_RED))
        .with_context(|| format!("{KNOWN_RED} can't be read"))?;
    let tests = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_TEST));
    Ok(tests.map(|it| it.trim().to_owned()).collect())
}

/// Checks every specification, and that the checker finds the bug that each can be seeded with.
fn models() -> Result<()> {
    println!("== models");
    let folder = root().join(SPECIFICATIONS);
    if !folder.exists() {
        return Ok(());
    }
    let mut specifications: Vec<PathBuf> = std::fs::read_dir(&folder)?
        .filter_map(|it| Some(it.ok()?.path()))
        .collect();
    specifications.retain(|it| it.extension().is_some_and(|it| it == "pml"));
    specifications.sort();
    for path in specifications {
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if !check_model(&path, &[])? {
            bail!("the model {name} is violated: run `spin -search spec/{name}.pml`");
        }
        if check_model(&path, &["-DSEEDED_BUG"])? {
            bail!("the checker misses the bug seeded into {name}: its properties are too weak");
        }
        println!("model {name}: holds, and the seeded bug is found");
    }
    Ok(())
}

fn check_model(path: &Path, defines: &[&str]) -> Result<bool> {
    let folder = root()
        .join("target")
        .join("spin")
        .join(path.file_stem().unwrap_or_default());
    std::fs::create_dir_all(&folder)?;
    let output = Command::new("spin")
        .args(defines)
        .args(["-search", "-DVECTORSZ=4096"])
        .arg(path)
        .current_dir(&folder)
        .output()
        .context("spin can't be started: install it, for example `apt-get install spin`")?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if text.contains("search depth too small") || !text.contains("errors:") {
        bail!("spin did not finish on {}: {text}", path.display());
    }
    Ok(text.contains(NO_ERRORS))
}
