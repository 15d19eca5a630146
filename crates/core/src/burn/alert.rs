//! Windows, burn rates and alerts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ring::Counts;
use crate::declaration::PartsPerMillion;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Bad answers that a long window must hold before anything is raised, so that a few requests of
/// a quiet route raise nothing.
pub const MIN_BAD: u32 = 3;

/// A window that ends now.
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
    /// Thirty days: the period of the error budget.
    Days30,
}

/// All windows, the shortest first.
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

/// How soon somebody has to look.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Not at all.
    #[default]
    Ok,
    /// On the next working day.
    Ticket,
    /// At once.
    Page,
}

/// A rule: raise when both windows burn faster than `rate`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alert {
    /// How soon somebody has to look.
    pub level: Level,
    /// The window that tells whether it matters.
    pub long: Window,
    /// The window that tells whether it still goes on.
    pub short: Window,
    /// Burn rate; 1 uses up the budget in exactly its period.
    pub rate: f64,
}

/// The rules, the most urgent first (table 5-8 of the source).
pub const ALERTS: [Alert; 3] = [
    Alert { level: Level::Page, long: Window::Hour1, short: Window::Minutes5, rate: 14.4 },
    Alert { level: Level::Page, long: Window::Hours6, short: Window::Minutes30, rate: 6.0 },
    Alert { level: Level::Ticket, long: Window::Days3, short: Window::Hours6, rate: 1.0 },
];

/// Burn rate: how many times faster than allowed the budget is used up.
pub fn burn_rate(counts: Counts, objective: PartsPerMillion) -> f64 {
    let allowed = f64::from(1_000_000_u32.saturating_sub(objective)) / 1e6;
    let share = counts.bad_share();
    if share == 0.0 { 0.0 } else { share / allowed.max(1e-9) }
}

/// The rule that the counts of [`WINDOWS`] break, the most urgent one.
pub fn raised(
    windows: &[Counts; WINDOWS.len()],
    objective: PartsPerMillion,
) -> Option<&'static Alert> {
    let rate = |w: Window| burn_rate(windows[w as usize], objective);
    ALERTS.iter().find(|a| {
        let is_enough = windows[a.long as usize].bad >= MIN_BAD;
        is_enough && rate(a.long) >= a.rate && rate(a.short) >= a.rate
    })
}
