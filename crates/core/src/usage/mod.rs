//! Rate usage of workspaces: admitted requests, and requests refused because of the rate.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    burn::{Counts, SlotRing},
    declaration::Declaration,
    result::Code,
    time::Instant,
};

/// Length of a time slot.
const SLOT_LENGTH: Duration = Duration::from_secs(10);
/// Number of time slots kept.
const SLOT_COUNT: usize = 60;
/// Time window over which rates are reported.
pub const RATE_WINDOW: Duration = Duration::from_secs(60);

/// Rate usage of one workspace on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests admitted in [`RATE_WINDOW`].
    pub admitted: u32,
    /// Requests refused because of the rate in [`RATE_WINDOW`].
    pub refused: u32,
    /// Requests admitted since the start of the process.
    pub admitted_ever: u64,
    /// Requests refused because of the rate since the start of the process.
    pub refused_ever: u64,
}

#[derive(Clone, Debug)]
struct WorkspaceCounters {
    /// Recent requests: admitted ones count as good, refused ones as bad.
    ring: SlotRing,
    admitted: u64,
    refused: u64,
}

/// Rate usage of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    by_workspace: HashMap<String, WorkspaceCounters>,
}

impl Usage {
    /// Counts a request of a declared workspace. Other refusals that the caller caused do not use
    /// the rate and are not counted.
    pub fn record(&mut self, now: Instant, workspace: &str, code: Code) {
        let is_refused = code == Code::OverRate;
        if !is_refused && (400..500).contains(&code.http_status()) {
            return;
        }
        if !self.by_workspace.contains_key(workspace) {
            let new = WorkspaceCounters {
                ring: SlotRing::new(SLOT_LENGTH, SLOT_COUNT),
                admitted: 0,
                refused: 0,
            };
            self.by_workspace.insert(workspace.to_owned(), new);
        }
        let Some(counters) = self.by_workspace.get_mut(workspace) else { return };
        counters.ring.add(now, !is_refused);
        counters.admitted += u64::from(!is_refused);
        counters.refused += u64::from(is_refused);
    }

    /// Removes workspaces that are no longer declared.
    pub fn retain_declared(&mut self, declaration: &Declaration) {
        self.by_workspace.retain(|name, _| declaration.workspace_names.contains_key(name));
    }

    /// Usage of each workspace, in the order of their names.
    pub fn per_workspace(&self, now: Instant) -> Vec<WorkspaceUsage> {
        let usage = |(name, w): (&String, &WorkspaceCounters)| {
            let Counts { good, bad } = w.ring.sum(now, RATE_WINDOW);
            WorkspaceUsage {
                workspace: name.clone(),
                admitted: good,
                refused: bad,
                admitted_ever: w.admitted,
                refused_ever: w.refused,
            }
        };
        let mut usages: Vec<_> = self.by_workspace.iter().map(usage).collect();
        usages.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        usages
    }
}
