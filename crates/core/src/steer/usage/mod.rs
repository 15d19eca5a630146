//! Usage reports: counts of the requests that servers began, by window and workspace, and the duty
//! of one host to report them.
//!
//! The state machine in [`duty`] decides; the layer around it calls the store, the other hosts and
//! the platform. See `docs/design/usage.md`.

pub mod clock;
pub mod copies;
pub mod counter;
pub mod duty;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::host::Incarnation;

/// Number of a window: window k begins k window lengths after the start of 1970.
pub type WindowId = u64;

/// Number of requests that servers began, by workspace.
pub type Counts = BTreeMap<String, u64>;

/// Number of windows whose counts are kept.
const RETAINED_WINDOWS: u64 = 4;
/// Time after the end of a window until which its counts may be collected.
pub const COLLECTION_END: Duration = Duration::from_secs(6);

/// Counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowId,
    /// Its counts so far.
    pub counts: Counts,
}

/// Counts of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// The host's process.
    pub incarnation: Incarnation,
    /// Increases with every message of the process.
    pub sequence: u64,
    /// Counts of the windows that may still change.
    pub windows: Vec<WindowCounts>,
}

/// Number of windows of this length whose counts are kept, the current one included. Short windows
/// are kept until they can no longer be collected.
fn retained_windows(window: Duration) -> u64 {
    let collected = COLLECTION_END.as_millis().div_ceil(window.as_millis().max(1)) as u64;
    RETAINED_WINDOWS.max(collected + 2)
}
