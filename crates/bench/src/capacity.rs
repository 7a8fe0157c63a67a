//! The tables of docs/CAPACITY.md: slopes measured at three sizes, and what follows from them at
//! the two-year size.

use anyhow::Result;

mod fit;
mod measure;
mod size;
mod table;

use self::measure::Measured;

/// Measures all slopes and prints the tables.
pub fn run() -> Result<()> {
    let measured = Measured::take()?;
    print!("{}", table::slopes(&measured));
    println!();
    print!("{}", table::roles(&measured));
    println!();
    print!("{}", table::totals(&measured));
    Ok(())
}
