//! Logging: short lines on standard error, each prefixed with time, instance, level and part.

use std::io;

use fern::Dispatch;
use log::LevelFilter;
use settings::Entry;

/// Starts logging according to the settings. A part is a log target, for example `claims`.
pub fn start(settings: &Entry) -> Result<(), fern::InitError> {
    let level = settings.log_level.parse().unwrap_or(LevelFilter::Info);
    let name = settings.name.clone();
    let mut dispatch = Dispatch::new()
        .format(move |out, message, record| {
            let millis = clock::since_epoch().as_millis();
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!("{millis} {name} {level} {part}: {message}"));
        })
        .level(level)
        .level_for("async_io", LevelFilter::Warn)
        .level_for("polling", LevelFilter::Warn)
        .level_for("async_h1", LevelFilter::Warn);
    for part in &settings.log_parts {
        let level = part.level.parse().unwrap_or(level);
        dispatch = dispatch.level_for(part.part.clone(), level);
    }
    // Lines are written whole, so that the output of several processes does not interleave.
    let lines: Box<dyn io::Write + Send> = Box::new(io::LineWriter::new(io::stderr()));
    dispatch.chain(lines).apply()?;
    Ok(())
}
