//! Report over the counts of all hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    alert::{self, AlertLevel, WINDOWS},
    ring::Counts,
};
use crate::declaration::PartsPerMillion;

/// Workspace name of the row for all workspaces of a route.
pub const ALL_WORKSPACES: &str = "(all)";

/// Counts of one route and workspace on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesCounts {
    /// Name of the route.
    pub route: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Objective: fraction of good answers, in parts per million.
    pub objective_ppm: PartsPerMillion,
    /// Objective: maximum latency of a good answer.
    pub latency_ms: u64,
    /// Counts in each of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
    /// Counts of the latest minutes, the current one first.
    pub minutes: Vec<Counts>,
    /// Counts of the latest half hours, the current one first.
    pub half_hours: Vec<Counts>,
}

/// Counts of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// Name of the host.
    pub host: String,
    /// Time since the first answer, counted or not.
    pub counted_seconds: u64,
    /// Counts by route and workspace.
    pub series: Vec<SeriesCounts>,
}

/// One route and workspace over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Counts over all hosts.
    pub counts: SeriesCounts,
    /// Burn rate in each of [`WINDOWS`].
    pub burn: [f64; WINDOWS.len()],
    /// Fraction of the error budget that is left; negative if it is exceeded.
    pub budget_left: f64,
    /// Urgency of the alert.
    pub level: AlertLevel,
    /// Description of the alert rule, if an alert is raised.
    pub reason: Option<String>,
}

/// Burn rates, error budgets and alerts over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Names of the hosts that the report covers.
    pub hosts: Vec<String>,
    /// Longest time for which any of the hosts has counted.
    pub counted_seconds: u64,
    /// Rows in descending order of urgency, then by route and workspace.
    pub rows: Vec<Row>,
}

/// Adds up the counts of hosts. Each route has one row for all workspaces and one row for each.
pub fn merge(hosts: &[HostCounts]) -> Report {
    let mut sums: BTreeMap<(String, String), SeriesCounts> = BTreeMap::new();
    for series in hosts.iter().flat_map(|h| &h.series) {
        for workspace in [ALL_WORKSPACES, &series.workspace] {
            let key = (series.route.clone(), workspace.to_owned());
            add(sums.entry(key).or_default(), series, workspace);
        }
    }
    let mut rows: Vec<_> = sums.into_values().map(Row::new).collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.level));
    Report {
        hosts: hosts.iter().map(|h| h.host.clone()).collect(),
        counted_seconds: hosts.iter().map(|h| h.counted_seconds).max().unwrap_or(0),
        rows,
    }
}

impl Row {
    fn new(counts: SeriesCounts) -> Self {
        let burn = counts.windows.map(|c| alert::burn_rate(c, counts.objective_ppm));
        let rule = alert::firing_rule(&counts.windows, counts.objective_ppm);
        let reason = |a: &alert::AlertRule| {
            let (long, short) = (a.long_window.name(), a.short_window.name());
            format!("{} or more over {long} and {short}", a.min_burn_rate)
        };
        Row {
            burn,
            budget_left: 1.0 - burn[WINDOWS.len() - 1],
            level: rule.map_or(AlertLevel::Ok, |a| a.level),
            reason: rule.map(reason),
            counts,
        }
    }
}

fn add(sum: &mut SeriesCounts, more: &SeriesCounts, workspace: &str) {
    sum.route.clone_from(&more.route);
    workspace.clone_into(&mut sum.workspace);
    // Hosts may have different revisions while a new one is distributed; the stricter objective
    // applies.
    sum.objective_ppm = sum.objective_ppm.max(more.objective_ppm);
    sum.latency_ms = match sum.latency_ms {
        0 => more.latency_ms,
        ms => ms.min(more.latency_ms),
    };
    for (sum, more) in sum.windows.iter_mut().zip(more.windows) {
        *sum += more;
    }
    add_slots(&mut sum.minutes, &more.minutes);
    add_slots(&mut sum.half_hours, &more.half_hours);
}

fn add_slots(sum: &mut Vec<Counts>, more: &[Counts]) {
    if sum.len() < more.len() {
        sum.resize(more.len(), Counts::default());
    }
    for (sum, more) in sum.iter_mut().zip(more) {
        *sum += *more;
    }
}
