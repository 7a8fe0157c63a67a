//! Tasks that build and run programs of the workspace.

use std::process::Command;
use std::process::ExitCode;

use anyhow::Result;

use crate::test::cargo;
use crate::test::root;
use crate::test::step;

/// Runs a measurement with everything optimised.
pub fn bench(name: &str) -> Result<ExitCode> {
    step(
        "build",
        cargo(&["build", "--workspace", "--release", "--quiet"]),
    )?;
    step(
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

/// Runs the demo.
pub fn demo() -> Result<ExitCode> {
    step("build", cargo(&["build", "--workspace", "--quiet"]))?;
    step("demo", cargo(&["run", "--quiet", "--package", "demo"]))?;
    Ok(ExitCode::SUCCESS)
}

/// Generates the code of the wire format again. Needs `capnp` and `capnpc-rust`.
pub fn schema() -> Result<ExitCode> {
    let mut command = Command::new("capnp");
    command.args([
        "compile",
        "-orust:src",
        "--src-prefix=schema",
        "schema/peer.capnp",
    ]);
    command.current_dir(root().join("crates/wire"));
    step(
        "schema (needs capnproto, and capnpc by `cargo install capnpc`)",
        command,
    )?;
    Ok(ExitCode::SUCCESS)
}
