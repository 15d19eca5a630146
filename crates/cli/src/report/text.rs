//! The report for terminals.

use jasminestage_core::burn::{AlertLevel, Report, Row, WINDOWS, Window};

use crate::output::table::{Rows, Tone};

/// Windows whose burn rates the table shows.
const SHOWN: [Window; 4] = [Window::Minutes5, Window::Hour1, Window::Hours6, Window::Days3];

/// The report as a table.
pub fn text(report: &Report) -> String {
    if report.rows.is_empty() {
        return format!("{} host(s) answered; no request was counted yet.", report.hosts.len());
    }
    let mut headings = vec!["route", "workspace", "objective", "bad", "left"];
    headings.extend(SHOWN.iter().map(|w| w.name()));
    headings.push("alert");
    let mut table = Rows::new(&headings).numbers(&[3, 4, 5, 6, 7, 8]);
    for row in &report.rows {
        let (word, tone) = level(row.level);
        table.push_toned(cells(row), word, tone);
    }
    let since = duration(report.counted_seconds);
    let hosts = report.hosts.len();
    format!("{table}\nBurn rates by window; counts of {hosts} host(s) over up to {since}.")
}

fn cells(row: &Row) -> Vec<String> {
    let all = row.counts.windows[WINDOWS.len() - 1];
    let mut cells = vec![
        row.counts.route.clone(),
        row.counts.workspace.clone(),
        objective(row),
        all.bad.to_string(),
        left(row.budget_left),
    ];
    cells.extend(SHOWN.iter().map(|w| rate(row.burn[*w as usize])));
    cells
}

/// The share of the budget that is left.
pub fn left(share: f64) -> String {
    if share < -9.99 { "< -999%".to_owned() } else { format!("{:.0}%", share * 100.0) }
}

/// A burn rate with as many digits as it deserves.
pub fn rate(burn: f64) -> String {
    if burn >= 10.0 { format!("{burn:.0}") } else { format!("{burn:.1}") }
}

/// The objective of a row in words.
pub fn objective(row: &Row) -> String {
    let share = f64::from(row.counts.objective_ppm) / 10_000.0;
    format!("{share}% in {}ms", row.counts.latency_ms)
}

/// The word for an alert level.
pub fn level(level: AlertLevel) -> (&'static str, Tone) {
    match level {
        AlertLevel::Ok => ("ok", Tone::Good),
        AlertLevel::Ticket => ("ticket", Tone::Warn),
        AlertLevel::Page => ("page", Tone::Bad),
    }
}

/// A span of time in its largest unit.
pub fn duration(seconds: u64) -> String {
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        7200..172_800 => format!("{} h", seconds / 3600),
        _ => format!("{} d", seconds / 86_400),
    }
}
