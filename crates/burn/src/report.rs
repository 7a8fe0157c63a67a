//! The report: burn rates from the ledgers of all entries, with a severity for each.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ledger::Counts;
use crate::ledger::Subject;
use crate::ledger::Summary;

/// The error budget: the fraction of requests that may miss their objective.
const BUDGET: f64 = 0.05;
/// A burn rate that requires immediate action if both windows reach it.
const ALERT_BURN: f64 = 6.0;
/// A burn rate in the long window that an operator should look into on the same day.
const WARN_BURN: f64 = 1.0;

/// The burn rates of all customers, the highest first.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row for each customer and class.
    pub rows: Vec<Row>,
}

/// The burn rates of one customer's requests of one class.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The group of requests.
    pub subject: Subject,
    /// The number of requests in the long window.
    pub requests: u64,
    /// The burn rate over the short window. One uses up the budget exactly in its period.
    pub short_burn: f64,
    /// The burn rate over the long window.
    pub long_burn: f64,
    /// How urgently an operator should act.
    #[serde(rename = "state")]
    pub severity: Severity,
}

/// How urgently a burn rate requires action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// No action is needed.
    Good,
    /// An operator should look into it on the same day.
    Warn,
    /// An operator should act immediately.
    Alert,
}

impl Report {
    /// Creates the report from the summaries of all entries.
    pub fn new(summaries: impl IntoIterator<Item = Summary>) -> Self {
        let mut totals: BTreeMap<Subject, (Counts, Counts)> = BTreeMap::new();
        for summary in summaries {
            let (short, long) = totals.entry(summary.subject).or_default();
            short.add(summary.short);
            long.add(summary.long);
        }
        let rows = totals
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
        let (short_burn, long_burn) = (burn_rate(short), burn_rate(long));
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
    /// Returns the name that the table shows.
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Warn => "warn",
            Self::Alert => "alert",
        }
    }
}

fn burn_rate(counts: Counts) -> f64 {
    let total = counts.good + counts.bad;
    if total == 0 {
        0.0
    } else {
        counts.bad as f64 / total as f64 / BUDGET
    }
}
