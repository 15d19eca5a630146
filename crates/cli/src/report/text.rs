//! The report as a text table, and the formats that the HTML page shares with it.

use jasminestage_core::burn::{AlertLevel, Report, Row, WINDOWS, Window};

use crate::output::table::{Severity, TextTable};

/// Windows whose burn rates the table shows.
const TABLE_WINDOWS: [Window; 4] = [Window::Minutes5, Window::Hour1, Window::Hours6, Window::Days3];

/// Formats the report as a table.
pub fn format_table(report: &Report) -> String {
    if report.rows.is_empty() {
        return format!("{} host(s) answered; no request was counted yet.", report.hosts.len());
    }
    let mut headings = vec!["route", "workspace", "objective", "bad", "left"];
    headings.extend(TABLE_WINDOWS.iter().map(|w| w.name()));
    headings.push("alert");
    let mut table = TextTable::new(&headings).align_right(&[3, 4, 5, 6, 7, 8]);
    for row in &report.rows {
        let (label, severity) = describe_level(row.level);
        table.push_with_severity(row_cells(row), label, severity);
    }
    let period = format_duration(report.counted_seconds);
    let hosts = report.hosts.len();
    format!("{table}\nBurn rates by window; counts of {hosts} host(s) over up to {period}.")
}

fn row_cells(row: &Row) -> Vec<String> {
    let longest_window = row.counts.windows[WINDOWS.len() - 1];
    let mut cells = vec![
        row.counts.route.clone(),
        row.counts.workspace.clone(),
        format_objective(row),
        longest_window.bad.to_string(),
        format_budget_left(row.budget_left),
    ];
    cells.extend(TABLE_WINDOWS.iter().map(|w| format_burn_rate(row.burn[*w as usize])));
    cells
}

/// Formats the remaining share of the error budget in percent; below -999% only the limit is shown.
pub fn format_budget_left(share: f64) -> String {
    if share < -9.99 { "< -999%".to_owned() } else { format!("{:.0}%", share * 100.0) }
}

/// Formats a burn rate, without a decimal from 10 on.
pub fn format_burn_rate(burn: f64) -> String {
    if burn >= 10.0 { format!("{burn:.0}") } else { format!("{burn:.1}") }
}

/// Formats the objective of a row: the share of good answers and their latency.
pub fn format_objective(row: &Row) -> String {
    let share = f64::from(row.counts.objective_ppm) / 10_000.0;
    format!("{share}% in {}ms", row.counts.latency_ms)
}

/// Returns the label and the severity of an alert level.
pub fn describe_level(level: AlertLevel) -> (&'static str, Severity) {
    match level {
        AlertLevel::Ok => ("ok", Severity::Good),
        AlertLevel::Ticket => ("ticket", Severity::Warning),
        AlertLevel::Page => ("page", Severity::Critical),
    }
}

/// Formats a duration in the largest unit, from seconds to days, of which it holds at least two.
pub fn format_duration(seconds: u64) -> String {
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        7200..172_800 => format!("{} h", seconds / 3600),
        _ => format!("{} d", seconds / 86_400),
    }
}
