//! Error budgets of routes: counts of good and bad answers, burn rates and alerts.
//!
//! The alert rules follow multiwindow, multi-burn-rate alerting (Beyer et al., The Site Reliability
//! Workbook, 2018, chapter 5).

pub mod alert;
pub mod report;
pub mod ring;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

pub use self::{
    alert::{AlertLevel, AlertRule, WINDOWS, Window},
    report::{HostCounts, Report, Row, SeriesCounts, merge},
    ring::{Counts, SlotRing},
};
use crate::{
    declaration::Declaration,
    result::{Code, Execution},
    time::Instant,
};

/// Maximum number of series per host; further ones are counted under [`OVERFLOW_SERIES`].
pub const MAX_SERIES: usize = 1024;
/// Name of the route and workspace that stand for all series beyond [`MAX_SERIES`].
pub const OVERFLOW_SERIES: &str = "_OTHER";
/// Workspace name of requests without a valid key, such as those on open routes.
pub const NO_WORKSPACE: &str = "-";

/// How an answer counts towards the objective of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// A successful answer in time.
    Good,
    /// A failed, late or missing answer that the caller did not cause.
    Bad,
    /// A refusal that the caller caused, for example by a wrong key or an exceeded rate; not
    /// counted.
    Exempt,
}

/// Classifies an answer. `status` is the HTTP status sent to the caller, `took` the time until the
/// answer, and `latency` the objective of the route.
///
/// Refusals with a status from 400 to 499 are caused by the caller. An answer of a backend server
/// is bad if its status is 500 or more, or if it took longer than `latency`.
pub fn classify(code: Code, status: u16, took: Duration, latency: Duration) -> AnswerClass {
    let is_answer = code.execution() == Execution::Done;
    if !is_answer && (400..500).contains(&status) {
        return AnswerClass::Exempt;
    }
    let is_good = is_answer && status < 500 && took <= latency;
    if is_good { AnswerClass::Good } else { AnswerClass::Bad }
}

/// Counts of one route and workspace at three resolutions.
#[derive(Clone, Debug)]
struct Series {
    minutes: SlotRing,
    half_hours: SlotRing,
    quarter_days: SlotRing,
}

impl Default for Series {
    fn default() -> Self {
        let ring = |minutes: u64, slots| SlotRing::new(Duration::from_secs(minutes * 60), slots);
        Series { minutes: ring(1, 60), half_hours: ring(30, 144), quarter_days: ring(360, 120) }
    }
}

/// Counters of one host, by route and workspace.
#[derive(Clone, Debug, Default)]
pub struct BurnCounters {
    by_route: HashMap<String, HashMap<String, Series>>,
    series_count: usize,
    /// Time of the first answer, counted or not.
    first_recorded: Option<Instant>,
}

impl BurnCounters {
    /// Counts an answer.
    pub fn record(&mut self, now: Instant, route: &str, workspace: &str, class: AnswerClass) {
        self.first_recorded.get_or_insert(now);
        if class == AnswerClass::Exempt {
            return;
        }
        let is_known = self.by_route.get(route).is_some_and(|w| w.contains_key(workspace));
        let (route, workspace) = match is_known || self.series_count < MAX_SERIES {
            true => (route, workspace),
            false => (OVERFLOW_SERIES, OVERFLOW_SERIES),
        };
        let series = self.series_of(route, workspace);
        for ring in [&mut series.minutes, &mut series.half_hours, &mut series.quarter_days] {
            ring.add(now, class == AnswerClass::Good);
        }
    }

    /// Removes routes and workspaces that are no longer declared.
    pub fn retain_declared(&mut self, declaration: &Declaration) {
        let is_workspace = |name: &str| {
            [NO_WORKSPACE, OVERFLOW_SERIES].contains(&name)
                || declaration.workspace_names.contains_key(name)
        };
        self.by_route.retain(|route, _| {
            route == OVERFLOW_SERIES || declaration.route_names.contains_key(route)
        });
        for workspaces in self.by_route.values_mut() {
            workspaces.retain(|name, _| is_workspace(name));
        }
        self.series_count = self.by_route.values().map(HashMap::len).sum();
    }

    /// The current counts, with the objectives of `declaration`.
    pub fn counts(&self, now: Instant, host: &str, declaration: &Declaration) -> HostCounts {
        let duration = self.first_recorded.map_or(Duration::ZERO, |s| now.saturating_since(s));
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
                    minutes: s.minutes.latest_slots(now),
                    half_hours: s.half_hours.latest_slots(now),
                };
                series.insert((route, workspace), counts);
            }
        }
        HostCounts {
            host: host.to_owned(),
            counted_seconds: duration.as_secs(),
            series: series.into_values().collect(),
        }
    }

    /// The series of a route and workspace, created if it does not exist.
    fn series_of(&mut self, route: &str, workspace: &str) -> &mut Series {
        let is_new = !self.by_route.get(route).is_some_and(|w| w.contains_key(workspace));
        self.series_count += usize::from(is_new);
        let workspaces = self.by_route.entry(route.to_owned()).or_default();
        workspaces.entry(workspace.to_owned()).or_default()
    }
}

impl Series {
    /// Counts in a window that ends now, from the finest ring that covers it.
    fn sum(&self, now: Instant, window: Window) -> Counts {
        let rings = [&self.minutes, &self.half_hours, &self.quarter_days];
        let ring = rings.into_iter().find(|r| r.span() >= window.span());
        ring.unwrap_or(&self.quarter_days).sum(now, window.span())
    }
}
