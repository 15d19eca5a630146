//! Counting of the attempts that servers began, for the usage reports.

use std::time::Duration;

use super::{PendingRequest, Steering, request::Attempt};
use crate::{
    host::Incarnation,
    steer::{
        server::AttemptOutcome,
        usage::{HostCounts, clock::ClockChange, counter::UsageCounter},
    },
    time::{Instant, UnixMillis},
};

impl Steering {
    /// Counts attempts from now on, by windows of this length.
    pub fn enable_usage(&mut self, window: Duration) {
        self.usage = Some(UsageCounter::new(window));
    }

    /// Applies the time of day that the system shows; `None` if usage is not counted.
    pub fn observe_time(&mut self, now: Instant, unix_ms: UnixMillis) -> Option<ClockChange> {
        Some(self.usage.as_mut()?.observe_time(now, unix_ms))
    }

    /// Returns the filtered time of day; `None` if usage is not counted.
    pub fn unix_at(&self, now: Instant) -> Option<UnixMillis> {
        self.usage.as_ref()?.clock().unix_at(now)
    }

    /// Returns the counts for the relays.
    pub fn changed_usage(&mut self, now: Instant, incarnation: Incarnation) -> Option<HostCounts> {
        Some(self.usage.as_mut()?.changed_counts(now, incarnation))
    }

    /// Returns all counts of this host.
    pub fn all_usage(&mut self, incarnation: Incarnation) -> Option<HostCounts> {
        Some(self.usage.as_mut()?.all_counts(incarnation))
    }

    /// Counts an attempt when it is sent, so that those still running at the end of a window are
    /// included.
    pub(super) fn count_usage(&mut self, now: Instant, request: &mut PendingRequest) {
        if let (Some(usage), Some(workspace), Some(attempt)) =
            (&mut self.usage, &request.workspace, &mut request.current_attempt)
        {
            attempt.usage_window = usage.count(now, &workspace.name);
        }
    }

    /// Corrects the count of an attempt when its outcome is known: it is removed if no server began it,
    /// and moved to a later window if the request waited in the server's queue.
    pub(super) fn correct_usage(
        &mut self,
        request: &PendingRequest,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let (Some(usage), Some(window), Some(workspace)) =
            (&mut self.usage, attempt.usage_window, &request.workspace)
        else {
            return;
        };
        let begun_at = match outcome {
            AttemptOutcome::Shed | AttemptOutcome::WrongServer | AttemptOutcome::NotSent => {
                usage.discount(window, &workspace.name);
                return;
            }
            AttemptOutcome::Answered { took, .. } if attempt.queue_factor > 1.0 => {
                let slot_time_s = self.services.get(&request.service).and_then(|s| s.slot_time_s);
                let run_time = slot_time_s.map_or(took, Duration::from_secs_f64);
                attempt.sent_at + took.saturating_sub(run_time)
            }
            _ => return,
        };
        if usage.clock().window_at(begun_at) != Some(window) {
            usage.discount(window, &workspace.name);
            usage.count(begun_at, &workspace.name);
        }
    }
}
