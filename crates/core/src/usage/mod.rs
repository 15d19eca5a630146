//! What workspaces spend of their rates, and what was refused for it.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    burn::{Counts, Ring},
    declaration::Declaration,
    result::Code,
    time::Instant,
};

/// Length of a slot.
const SLOT: Duration = Duration::from_secs(10);
/// Slots that are kept.
const SLOTS: usize = 60;
/// Time over which a rate is told.
pub const RATE_WINDOW: Duration = Duration::from_secs(60);

/// What one workspace spent on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests admitted in [`RATE_WINDOW`].
    pub admitted: u32,
    /// Requests refused for the rate in [`RATE_WINDOW`].
    pub refused: u32,
    /// Requests admitted since the start of the process.
    pub admitted_ever: u64,
    /// Requests refused for the rate since the start of the process.
    pub refused_ever: u64,
}

#[derive(Clone, Debug)]
struct Workspace {
    /// A good answer is an admitted request, a bad one a refused request.
    ring: Ring,
    admitted: u64,
    refused: u64,
}

/// What all workspaces spent on one host.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    by_workspace: HashMap<String, Workspace>,
}

impl Usage {
    /// Counts the answer to a request of a declared workspace. Other refusals by the caller's own
    /// fault spend nothing and count as nothing.
    pub fn record(&mut self, now: Instant, workspace: &str, code: Code) {
        let is_refused = code == Code::OverRate;
        if !is_refused && (400..500).contains(&code.http_status()) {
            return;
        }
        if !self.by_workspace.contains_key(workspace) {
            let new = Workspace { ring: Ring::new(SLOT, SLOTS), admitted: 0, refused: 0 };
            self.by_workspace.insert(workspace.to_owned(), new);
        }
        let Some(found) = self.by_workspace.get_mut(workspace) else { return };
        found.ring.add(now, !is_refused);
        found.admitted += u64::from(!is_refused);
        found.refused += u64::from(is_refused);
    }

    /// Forgets workspaces that are not declared any more.
    pub fn install(&mut self, declaration: &Declaration) {
        self.by_workspace.retain(|name, _| declaration.workspace_names.contains_key(name));
    }

    /// What was spent, in the order of the names.
    pub fn spent(&self, now: Instant) -> Vec<Spent> {
        let of = |(name, w): (&String, &Workspace)| {
            let Counts { good, bad } = w.ring.sum(now, RATE_WINDOW);
            Spent {
                workspace: name.clone(),
                admitted: good,
                refused: bad,
                admitted_ever: w.admitted,
                refused_ever: w.refused,
            }
        };
        let mut spent: Vec<_> = self.by_workspace.iter().map(of).collect();
        spent.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        spent
    }
}
