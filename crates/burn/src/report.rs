//! The report: the ledgers of all entries, summed up and judged.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ledger::Counts;
use crate::ledger::Subject;
use crate::ledger::Summary;

/// The part of requests that may miss their objective.
const BUDGET: f64 = 0.05;
/// A burn in both windows that calls for somebody at once.
const ALERT_BURN: f64 = 6.0;
/// A burn in the long window that calls for a look on the same day.
const WARN_BURN: f64 = 1.0;

/// Service-level burn of all customers, the worst first.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row for each customer and class.
    pub rows: Vec<Row>,
}

/// Service-level burn of one customer's requests of one class.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Whose requests.
    pub subject: Subject,
    /// Requests in the long window.
    pub requests: u64,
    /// The burn over the short window: one uses the budget up in its period.
    pub short_burn: f64,
    /// The burn over the long window.
    pub long_burn: f64,
    /// What to do.
    #[serde(rename = "state")]
    pub severity: Severity,
}

/// What a burn calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Nothing.
    Good,
    /// A look on the same day.
    Warn,
    /// Somebody at once.
    Alert,
}

impl Report {
    /// Sums up the summaries of all entries.
    pub fn new(summaries: impl IntoIterator<Item = Summary>) -> Self {
        let mut sums: BTreeMap<Subject, (Counts, Counts)> = BTreeMap::new();
        for summary in summaries {
            let (short, long) = sums.entry(summary.subject).or_default();
            short.add(summary.short);
            long.add(summary.long);
        }
        let rows = sums
            .into_iter()
            .map(|(subject, (short, long))| Row::new(subject, short, long));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by(|a, b| b.long_burn.total_cmp(&a.long_burn));
        Self { rows }
    }

    /// Returns the report as a table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "{:<24} {:<8} {:>9} {:>11} {:>10}  {}\n",
            "customer", "class", "requests", "short burn", "long burn", "state"
        );
        for row in &self.rows {
            table += &format!(
                "{:<24} {:<8} {:>9} {:>11.2} {:>10.2}  {}\n",
                row.subject.customer,
                row.subject.class,
                row.requests,
                row.short_burn,
                row.long_burn,
                row.severity.name()
            );
        }
        table
    }
}

impl Row {
    fn new(subject: Subject, short: Counts, long: Counts) -> Self {
        let (short_burn, long_burn) = (burn(short), burn(long));
        let severity = if short_burn >= ALERT_BURN && long_burn >= ALERT_BURN {
            Severity::Alert
        } else if long_burn >= WARN_BURN {
            Severity::Warn
        } else {
            Severity::Good
        };
        Self {
            subject,
            requests: long.good + long.bad,
            short_burn,
            long_burn,
            severity,
        }
    }
}

impl Severity {
    /// Returns the name that people read.
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Warn => "warn",
            Self::Alert => "alert",
        }
    }
}

fn burn(counts: Counts) -> f64 {
    let total = counts.good + counts.bad;
    if total == 0 {
        0.0
    } else {
        counts.bad as f64 / total as f64 / BUDGET
    }
}
