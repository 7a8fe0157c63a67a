//! Structured logs: one JSON object per line on standard output.
//!
//! Logging costs a request only the formatting of the line. A thread writes the lines; those that
//! don't fit into its queue are counted and dropped. Each part has a budget of lines per second, so
//! that a failure that affects every request does not flood the log.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use anyhow::Context;
use anyhow::Result;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv;
use serde_json::Map;
use serde_json::Value;

/// The number of lines that can wait for the writing thread.
const QUEUE_LENGTH: usize = 1_024;
/// The lines that one part may log per second. Further lines are dropped and counted.
const LINES_PER_S: u32 = 60;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging as instance `name`. A part is a log target.
pub fn start(name: &str, level: LevelFilter) -> Result<()> {
    let (lines, queue) = sync_channel::<String>(QUEUE_LENGTH);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(line) = queue.recv() {
                if out.write_all(line.as_bytes()).is_err() {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
        .context("can't start the thread that writes logs")?;
    let logger = Logger {
        name: name.to_owned(),
        lines,
        budgets: Mutex::default(),
    };
    let logger: Box<dyn Log> = Box::new(logger);
    fern::Dispatch::new()
        .level(level)
        .level_for("async_io", LevelFilter::Warn)
        .level_for("polling", LevelFilter::Warn)
        .chain(logger)
        .apply()
        .context("logging was started twice")
}

struct Logger {
    name: String,
    lines: SyncSender<String>,
    budgets: Mutex<HashMap<String, Budget>>,
}

#[derive(Default)]
struct Budget {
    second: u64,
    lines: u32,
    omitted: u32,
}

impl Log for Logger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let now = clock::since_epoch();
        let Some(omitted) = self.admit(record, now.as_secs()) else {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let mut fields = Fields(Map::new());
        fields
            .0
            .insert("ms".to_owned(), (now.as_millis() as u64).into());
        fields.0.insert("node".to_owned(), self.name.clone().into());
        let level = record.level().as_str().to_ascii_lowercase();
        fields.0.insert("level".to_owned(), level.into());
        fields.0.insert("part".to_owned(), record.target().into());
        let text = record.args().to_string();
        fields.0.insert("text".to_owned(), text.into());
        if omitted > 0 {
            fields.0.insert("omitted".to_owned(), omitted.into());
        }
        if record.key_values().visit(&mut fields).is_err() {
            fields.0.insert("cut".to_owned(), true.into());
        }
        let mut line = Value::Object(fields.0).to_string();
        line.push('\n');
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

impl Logger {
    /// Returns the number of the part's lines that were dropped since its last budget began, or
    /// `None` if the budget of this second is used up.
    fn admit(&self, record: &Record<'_>, second: u64) -> Option<u32> {
        let Ok(mut budgets) = self.budgets.lock() else {
            return Some(0);
        };
        if !budgets.contains_key(record.target()) {
            budgets.insert(record.target().to_owned(), Budget::default());
        }
        let budget = budgets.get_mut(record.target())?;
        if budget.second != second {
            budget.second = second;
            budget.lines = 1;
            return Some(std::mem::take(&mut budget.omitted));
        }
        if budget.lines >= LINES_PER_S {
            budget.omitted += 1;
            return None;
        }
        budget.lines += 1;
        Some(0)
    }
}

struct Fields(Map<String, Value>);

impl<'a> kv::VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        let value = if let Some(flag) = value.to_bool() {
            flag.into()
        } else if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
