//! A child process that is killed when its handle is dropped.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

/// A running program of the project that has printed the addresses that it listens on.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The first line of its standard output, without the line break.
    pub first_line: String,
}

impl Process {
    /// Starts a program of the project and waits until it prints its addresses.
    pub fn start(program: &str, arguments: &[&str]) -> Result<Self> {
        let mut child = command(program)?
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("can't start {program}; run `cargo build` first"))?;
        let stdout = child
            .stdout
            .take()
            .context("the child process has no standard output")?;
        let mut first_line = String::new();
        BufReader::new(stdout).read_line(&mut first_line)?;
        if !first_line.starts_with("listening") {
            let _ = child.kill();
            bail!("{program} printed {first_line:?} instead of its addresses");
        }
        Ok(Self {
            child,
            first_line: first_line.trim().to_owned(),
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process has used, in bytes.
    pub fn peak_memory(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|it| it.trim().strip_suffix(" kB"));
        let kilobytes: u64 = kilobytes.context("no peak of the memory")?.trim().parse()?;
        Ok(kilobytes * 1024)
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()?;
        anyhow::ensure!(
            status.success(),
            "can't send signal {signal} to process {id}"
        );
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit. Fails if it takes longer than `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                bail!("the process did not exit within {limit:?}");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program of the project until it exits, and returns its output.
pub fn output(program: &str, arguments: &[&str]) -> Result<Output> {
    Ok(command(program)?
        .args(arguments)
        .stdin(Stdio::null())
        .output()?)
}

/// Returns the command for a program of the same build, which is in the same target folder.
fn command(program: &str) -> Result<Command> {
    let mut folder: PathBuf = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(Command::new(folder.join(program)))
}
