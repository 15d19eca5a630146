//! Refusals before the body of a request is read, and retry delays.

use std::time::Duration;

use super::{Request, Traffic, admit};
use crate::{declaration::Repeat, result::Code, time::Instant};

/// Retry delay of a request that was refused because of a full queue.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Traffic {
    /// Returns the code with which an idempotent request would be refused for its key or its
    /// workspace's rate, so that its body need not be read. A request that runs at most once is never
    /// refused here, because a resend must get the answer of its first try.
    pub fn refuse_early(&mut self, now: Instant, route: &str, key: Option<&[u8]>) -> Option<Code> {
        let req = Request { route, key, id: None, deadline: None, fingerprint: 0 };
        let key = admit::digest(&req);
        let admitted = match admit::admit(&self.view, self.proof, now, &req, key) {
            Ok(admitted) => admitted,
            Err(code @ (Code::KeyMissing | Code::KeyUnknown | Code::RouteNotAllowed)) => {
                return Some(code);
            }
            Err(_) => return None,
        };
        if admitted.route.repeat == Repeat::AtMostOnce {
            return None;
        }
        let workspace = &self.view.declaration.workspaces[admitted.workspace_key?].name;
        let is_exhausted = self.rates.is_exhausted(now, workspace);
        if is_exhausted {
            self.rates.count_refused();
        }
        is_exhausted.then_some(Code::OverRate)
    }

    /// Delay after which a request refused with this code can be retried, if it can be estimated.
    pub fn retry_after(
        &mut self,
        now: Instant,
        code: Code,
        key: Option<&[u8]>,
    ) -> Option<Duration> {
        match code {
            Code::QueueFull => Some(QUEUE_FULL_RETRY_AFTER),
            Code::OverRate => {
                let req = Request { route: "", key, id: None, deadline: None, fingerprint: 0 };
                let owner = *self.view.declaration.key_owners.get(&admit::digest(&req)?)?;
                let workspace = &self.view.declaration.workspaces[owner].name;
                Some(self.rates.retry_after(now, workspace))
            }
            _ => None,
        }
    }
}
