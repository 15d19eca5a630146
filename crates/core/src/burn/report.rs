//! The report: the counts of all hosts together.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    alert::{self, Level, WINDOWS},
    ring::Counts,
};
use crate::declaration::PartsPerMillion;

/// Stands for all workspaces of a route together.
pub const ALL: &str = "(all)";

/// Counts of one route and workspace on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesCounts {
    /// Name of the route.
    pub route: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Objective: share of good answers.
    pub objective_ppm: PartsPerMillion,
    /// Objective: time in which an answer counts as good.
    pub latency_ms: u64,
    /// Counts in each of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
    /// Counts of the latest minutes, the present one first.
    pub minutes: Vec<Counts>,
    /// Counts of the latest half hours, the present one first.
    pub half_hours: Vec<Counts>,
}

/// Counts of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// Name of the host.
    pub host: String,
    /// For how long it has counted.
    pub counted_seconds: u64,
    /// Counts by route and workspace.
    pub series: Vec<SeriesCounts>,
}

/// One route and workspace over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The counts.
    pub counts: SeriesCounts,
    /// Burn rate in each of [`WINDOWS`].
    pub burn: [f64; WINDOWS.len()],
    /// Share of the error budget that is left, below 0 when it is overspent.
    pub budget_left: f64,
    /// How soon somebody has to look.
    pub level: Level,
    /// The rule that was broken, in words.
    pub reason: Option<String>,
}

/// The report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Names of the hosts whose counts are in it.
    pub hosts: Vec<String>,
    /// For how long the host that has counted longest has counted.
    pub counted_seconds: u64,
    /// Rows, the most urgent first, then by route and workspace.
    pub rows: Vec<Row>,
}

/// Adds up the counts of hosts; each route gets a row of its own besides those of its workspaces.
pub fn merge(hosts: &[HostCounts]) -> Report {
    let mut sums: BTreeMap<(String, String), SeriesCounts> = BTreeMap::new();
    for series in hosts.iter().flat_map(|h| &h.series) {
        for workspace in [ALL, &series.workspace] {
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
        let raised = alert::raised(&counts.windows, counts.objective_ppm);
        let reason = |a: &alert::Alert| {
            let (long, short) = (a.long.name(), a.short.name());
            format!("{} or more over {long} and {short}", a.rate)
        };
        Row {
            burn,
            budget_left: 1.0 - burn[WINDOWS.len() - 1],
            level: raised.map_or(Level::Ok, |a| a.level),
            reason: raised.map(reason),
            counts,
        }
    }
}

fn add(sum: &mut SeriesCounts, more: &SeriesCounts, workspace: &str) {
    sum.route.clone_from(&more.route);
    workspace.clone_into(&mut sum.workspace);
    // While a new revision spreads, hosts may differ; the stricter objective counts.
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
