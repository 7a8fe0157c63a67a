//! Draws the report as a bar chart, with two bars for each customer and class.

use std::fmt::Write;

use crate::report::Report;
use crate::report::Severity;

/// The maximum number of rows in the chart.
const ROW_LIMIT: usize = 40;
/// The height of one row, in pixels.
const ROW_HEIGHT: usize = 28;
/// The width of the names' column, in pixels.
const NAME_WIDTH: usize = 260;
/// The width of the longest bar, in pixels.
const BAR_WIDTH: f64 = 400.0;
/// The burn rate that the longest bar represents.
const BURN_LIMIT: f64 = 20.0;

/// Draws a report as an SVG document.
pub fn draw(report: &Report) -> String {
    let rows = &report.rows[..report.rows.len().min(ROW_LIMIT)];
    let height = (rows.len() + 2) * ROW_HEIGHT;
    let width = NAME_WIDTH + BAR_WIDTH as usize + 100;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <text x=\"8\" y=\"18\">Service-level burn: upper bar 5 minutes, lower bar 1 hour</text>\n"
    );
    for (index, row) in rows.iter().enumerate() {
        let top = (index + 1) * ROW_HEIGHT;
        let colour = match row.severity {
            Severity::Good => "#4a7",
            Severity::Warn => "#da3",
            Severity::Alert => "#c33",
        };
        let name = escape(&format!("{} {}", row.subject.customer, row.subject.class));
        let _ = writeln!(svg, "<text x=\"8\" y=\"{}\">{name}</text>", top + 16);
        for (offset, burn) in [(3, row.short_burn), (14, row.long_burn)] {
            let length = burn.min(BURN_LIMIT) / BURN_LIMIT * BAR_WIDTH;
            let _ = writeln!(
                svg,
                "<rect x=\"{NAME_WIDTH}\" y=\"{}\" width=\"{length:.1}\" height=\"9\" \
                 fill=\"{colour}\"/><text x=\"{:.1}\" y=\"{}\" font-size=\"9\">{burn:.2}</text>",
                top + offset,
                NAME_WIDTH as f64 + length + 4.0,
                top + offset + 8,
            );
        }
    }
    svg.push_str("</svg>\n");
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
