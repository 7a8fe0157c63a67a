//! Prints the tables of docs/CAPACITY.md: slopes measured at three sizes or more, and the load that
//! they predict for the planned size in two years.

use anyhow::Result;

mod fit;
mod measure;
mod size;
mod table;

use self::measure::Slopes;

/// Measures all slopes and prints the tables.
pub fn run() -> Result<()> {
    let slopes = Slopes::measure()?;
    print!("{}", table::slopes(&slopes));
    println!();
    print!("{}", table::roles(&slopes));
    println!();
    print!("{}", table::totals(&slopes));
    Ok(())
}
