//! Time windows, burn rates and alert rules.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ring::Counts;
use crate::declaration::PartsPerMillion;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Minimum number of bad answers in the long window of a rule, so that a few bad answers on a route
/// with little traffic raise no alert.
pub const MIN_BAD_ANSWERS: u32 = 3;

/// A time window that ends now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// Five minutes.
    Minutes5,
    /// Half an hour.
    Minutes30,
    /// One hour.
    Hour1,
    /// Six hours.
    Hours6,
    /// Three days.
    Days3,
    /// Thirty days, the period of the error budget.
    Days30,
}

/// All windows, in ascending order of length.
pub const WINDOWS: [Window; 6] = [
    Window::Minutes5,
    Window::Minutes30,
    Window::Hour1,
    Window::Hours6,
    Window::Days3,
    Window::Days30,
];

impl Window {
    /// Length of the window.
    pub fn span(self) -> Duration {
        match self {
            Window::Minutes5 => MINUTE * 5,
            Window::Minutes30 => MINUTE * 30,
            Window::Hour1 => HOUR,
            Window::Hours6 => HOUR * 6,
            Window::Days3 => DAY * 3,
            Window::Days30 => DAY * 30,
        }
    }

    /// Short name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Window::Minutes5 => "5 min",
            Window::Minutes30 => "30 min",
            Window::Hour1 => "1 h",
            Window::Hours6 => "6 h",
            Window::Days3 => "3 d",
            Window::Days30 => "30 d",
        }
    }
}

/// Urgency of an alert.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum AlertLevel {
    /// No alert.
    #[default]
    Ok,
    /// A ticket, for the next working day.
    Ticket,
    /// A page, to be handled at once.
    Page,
}

/// A rule that raises an alert when the burn rate reaches `min_burn_rate` in both windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// Urgency of the alert.
    pub level: AlertLevel,
    /// Long window, which shows that a significant part of the budget is used up.
    pub long_window: Window,
    /// Short window, which shows that the problem still persists.
    pub short_window: Window,
    /// Burn rate; at a rate of 1 the budget is used up in exactly its period.
    pub min_burn_rate: f64,
}

/// Alert rules, the most urgent first (The Site Reliability Workbook, table 5-8).
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule {
        level: AlertLevel::Page,
        long_window: Window::Hour1,
        short_window: Window::Minutes5,
        min_burn_rate: 14.4,
    },
    AlertRule {
        level: AlertLevel::Page,
        long_window: Window::Hours6,
        short_window: Window::Minutes30,
        min_burn_rate: 6.0,
    },
    AlertRule {
        level: AlertLevel::Ticket,
        long_window: Window::Days3,
        short_window: Window::Hours6,
        min_burn_rate: 1.0,
    },
];

/// Burn rate: the bad fraction divided by the fraction that the objective allows.
pub fn burn_rate(counts: Counts, objective: PartsPerMillion) -> f64 {
    let allowed_fraction = f64::from(1_000_000_u32.saturating_sub(objective)) / 1e6;
    let bad_fraction = counts.bad_fraction();
    if bad_fraction == 0.0 { 0.0 } else { bad_fraction / allowed_fraction.max(1e-9) }
}

/// The most urgent rule that the counts of [`WINDOWS`] fulfil.
pub fn firing_rule(
    windows: &[Counts; WINDOWS.len()],
    objective: PartsPerMillion,
) -> Option<&'static AlertRule> {
    let rate = |w: Window| burn_rate(windows[w as usize], objective);
    ALERT_RULES.iter().find(|a| {
        let has_enough_answers = windows[a.long_window as usize].bad >= MIN_BAD_ANSWERS;
        has_enough_answers
            && rate(a.long_window) >= a.min_burn_rate
            && rate(a.short_window) >= a.min_burn_rate
    })
}
