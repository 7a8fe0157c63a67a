//! The tables of docs/CAPACITY.md.

/// Prints the tables.
pub fn run() -> anyhow::Result<()> {
    Ok(())
}
