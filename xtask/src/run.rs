//! Tasks that build and run programs of the workspace, or generate its code.

use std::process::Command;
use std::process::ExitCode;

use anyhow::Result;

use crate::test::cargo;
use crate::test::run_step;
use crate::test::workspace_root;

/// Builds the workspace in release mode and runs a benchmark.
pub fn bench(name: &str) -> Result<ExitCode> {
    run_step(
        "build",
        cargo(&["build", "--workspace", "--release", "--quiet"]),
    )?;
    run_step(
        name,
        cargo(&[
            "run",
            "--release",
            "--quiet",
            "--package",
            "bench",
            "--",
            name,
        ]),
    )?;
    Ok(ExitCode::SUCCESS)
}

/// Builds the workspace and runs the demo.
pub fn demo() -> Result<ExitCode> {
    run_step("build", cargo(&["build", "--workspace", "--quiet"]))?;
    run_step("demo", cargo(&["run", "--quiet", "--package", "demo"]))?;
    Ok(ExitCode::SUCCESS)
}

/// Regenerates the code of the wire format. Needs `capnp` and `capnpc-rust`.
pub fn schema() -> Result<ExitCode> {
    let mut command = Command::new("capnp");
    command.args([
        "compile",
        "-orust:src",
        "--src-prefix=schema",
        "schema/peer.capnp",
    ]);
    command.current_dir(workspace_root().join("crates/wire"));
    run_step(
        "schema (needs capnproto, and capnpc by `cargo install capnpc`)",
        command,
    )?;
    Ok(ExitCode::SUCCESS)
}
