//! How fast routes burn their error budgets: counts of good and bad answers, and what follows.
//!
//! The windows, rates and alerts are those of multi-window, multi-burn-rate alerting (Beyer and
//! others, The Site Reliability Workbook, 2018, chapter 5).

pub mod alert;
pub mod report;
pub mod ring;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

pub use self::{
    alert::{Alert, Level, WINDOWS, Window},
    report::{HostCounts, Report, Row, SeriesCounts, merge},
    ring::{Counts, Ring},
};
use crate::{
    declaration::Declaration,
    result::{Code, Execution},
    time::Instant,
};

/// Series that are counted apart; further ones count under [`OTHER`].
pub const MAX_SERIES: usize = 1024;
/// Name for routes and workspaces past [`MAX_SERIES`].
pub const OTHER: &str = "_OTHER";
/// Name of the workspace of requests on open routes.
pub const OPEN: &str = "-";

/// What an answer means for the objective of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was right and in time.
    Good,
    /// It was wrong, late or missing by no fault of the caller.
    Bad,
    /// It was refused by the caller's own fault, such as a wrong key or a rate exceeded.
    Exempt,
}

/// Judges an answer. `status` is the HTTP status that the caller sees, `took` the time until the
/// answer, `latency` the objective of the route.
///
/// Refusals with a status from 400 to 499 are the caller's own fault. An answer of a backend server
/// counts as bad with a status from 500 on, and when it took longer than `latency`.
pub fn judge(code: Code, status: u16, took: Duration, latency: Duration) -> Verdict {
    let is_answer = code.execution() == Execution::Done;
    if !is_answer && (400..500).contains(&status) {
        return Verdict::Exempt;
    }
    let is_good = is_answer && status < 500 && took <= latency;
    if is_good { Verdict::Good } else { Verdict::Bad }
}

/// Counts of one route and workspace at three resolutions.
#[derive(Clone, Debug)]
struct Series {
    minutes: Ring,
    half_hours: Ring,
    quarter_days: Ring,
}

impl Default for Series {
    fn default() -> Self {
        let ring = |minutes: u64, slots| Ring::new(Duration::from_secs(minutes * 60), slots);
        Series { minutes: ring(1, 60), half_hours: ring(30, 144), quarter_days: ring(360, 120) }
    }
}

/// Counts of one host.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    by_route: HashMap<String, HashMap<String, Series>>,
    series: usize,
    started: Option<Instant>,
}

impl Burn {
    /// Counts an answer.
    pub fn record(&mut self, now: Instant, route: &str, workspace: &str, verdict: Verdict) {
        self.started.get_or_insert(now);
        if verdict == Verdict::Exempt {
            return;
        }
        let is_known = self.by_route.get(route).is_some_and(|w| w.contains_key(workspace));
        let (route, workspace) = match is_known || self.series < MAX_SERIES {
            true => (route, workspace),
            false => (OTHER, OTHER),
        };
        let series = self.series_of(route, workspace);
        for ring in [&mut series.minutes, &mut series.half_hours, &mut series.quarter_days] {
            ring.add(now, verdict == Verdict::Good);
        }
    }

    /// Forgets routes and workspaces that are not declared any more.
    pub fn install(&mut self, declaration: &Declaration) {
        let is_workspace = |name: &str| {
            [OPEN, OTHER].contains(&name) || declaration.workspace_names.contains_key(name)
        };
        self.by_route
            .retain(|route, _| route == OTHER || declaration.route_names.contains_key(route));
        for workspaces in self.by_route.values_mut() {
            workspaces.retain(|name, _| is_workspace(name));
        }
        self.series = self.by_route.values().map(HashMap::len).sum();
    }

    /// The counts, with the objectives of `declaration`.
    pub fn counts(&self, now: Instant, host: &str, declaration: &Declaration) -> HostCounts {
        let counted = self.started.map_or(Duration::ZERO, |s| now.saturating_since(s));
        let mut series = BTreeMap::new();
        for (route, workspaces) in &self.by_route {
            let Some((_, declared)) = declaration.route(route) else { continue };
            for (workspace, s) in workspaces {
                let counts = SeriesCounts {
                    route: route.clone(),
                    workspace: workspace.clone(),
                    objective_ppm: declared.objective,
                    latency_ms: declared.latency.as_millis() as u64,
                    windows: WINDOWS.map(|w| s.sum(now, w)),
                    minutes: s.minutes.slots(now),
                    half_hours: s.half_hours.slots(now),
                };
                series.insert((route, workspace), counts);
            }
        }
        HostCounts {
            host: host.to_owned(),
            counted_seconds: counted.as_secs(),
            series: series.into_values().collect(),
        }
    }

    fn series_of(&mut self, route: &str, workspace: &str) -> &mut Series {
        let is_new = !self.by_route.get(route).is_some_and(|w| w.contains_key(workspace));
        self.series += usize::from(is_new);
        let workspaces = self.by_route.entry(route.to_owned()).or_default();
        workspaces.entry(workspace.to_owned()).or_default()
    }
}

impl Series {
    /// Counts in a window that ends now.
    fn sum(&self, now: Instant, window: Window) -> Counts {
        let rings = [&self.minutes, &self.half_hours, &self.quarter_days];
        let ring = rings.into_iter().find(|r| r.span() >= window.span());
        ring.unwrap_or(&self.quarter_days).sum(now, window.span())
    }
}
