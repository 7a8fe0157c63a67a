//! `cargo xtask test`: runs all checks that must pass.
//!
//! The tests listed in KNOWN-RED.txt may fail. They run separately, and their outcomes are printed.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

/// The file that lists the tests that fail because of a known fault.
const KNOWN_RED: &str = "KNOWN-RED.txt";
/// The prefix of a line that names a test.
const KNOWN_RED_TEST: &str = "test: ";
/// The folder of the specifications for the model checker.
const SPECIFICATIONS: &str = "spec";
/// The output of the model checker if it found no error.
const NO_ERRORS: &str = "errors: 0";

/// Runs all checks.
pub fn run() -> Result<ExitCode> {
    run_step("format", cargo(&["fmt", "--all", "--check"]))?;
    let lints = [
        "clippy",
        "--workspace",
        "--all-targets",
        "--quiet",
        "--",
        "-D",
        "warnings",
    ];
    run_step("lints", cargo(&lints))?;
    // Some tests start the programs of the workspace as processes.
    run_step("build", cargo(&["build", "--workspace", "--quiet"]))?;
    let known_red = known_red_tests()?;
    let mut tests = cargo(&["test", "--workspace", "--no-fail-fast", "--"]);
    for test in &known_red {
        tests.args(["--skip", test]);
    }
    run_step("tests", tests)?;
    check_models()?;
    for test in &known_red {
        let status = cargo(&["test", "--workspace", "--quiet", "--", "--exact", test]).status()?;
        let outcome = if status.success() {
            "passes now: remove it"
        } else {
            "fails"
        };
        println!("known red: {test} {outcome}");
    }
    println!("all checks passed, {} known red", known_red.len());
    Ok(ExitCode::SUCCESS)
}

/// Runs one step and fails if its command fails.
pub fn run_step(name: &str, mut command: Command) -> Result<()> {
    println!("== {name}");
    let status = command
        .status()
        .with_context(|| format!("can't start the step {name}"))?;
    if !status.success() {
        bail!("the step {name} failed");
    }
    Ok(())
}

/// Returns a cargo command that runs in the workspace.
pub fn cargo(arguments: &[&str]) -> Command {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(program);
    command.args(arguments).current_dir(workspace_root());
    command
}

/// Returns the root of the workspace.
pub fn workspace_root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.parent().unwrap_or(package).to_owned()
}

fn known_red_tests() -> Result<Vec<String>> {
    let text = std::fs::read_to_string(workspace_root().join(KNOWN_RED))
        .with_context(|| format!("can't read {KNOWN_RED}"))?;
    let tests = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_TEST));
    Ok(tests.map(|it| it.trim().to_owned()).collect())
}

/// Checks every specification, and checks that the model checker finds the bug that the macro
/// `SEEDED_BUG` adds to each of them.
fn check_models() -> Result<()> {
    println!("== models");
    let folder = workspace_root().join(SPECIFICATIONS);
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
            bail!(
                "the properties of the model {name} are violated; run `spin -search spec/{name}.pml`"
            );
        }
        if check_model(&path, &["-DSEEDED_BUG"])? {
            bail!(
                "the model checker misses the bug seeded into {name}; strengthen the properties of the model"
            );
        }
        println!("model {name}: holds, and the seeded bug is found");
    }
    Ok(())
}

fn check_model(path: &Path, defines: &[&str]) -> Result<bool> {
    let folder = workspace_root()
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
        .context("can't start spin; install it, for example with `apt-get install spin`")?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if text.contains("search depth too small") || !text.contains("errors:") {
        bail!(
            "spin did not complete the search of {}: {text}",
            path.display()
        );
    }
    Ok(text.contains(NO_ERRORS))
}
