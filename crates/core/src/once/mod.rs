//! At most once: the right to run a request belongs to one life of one host.

use std::{collections::HashMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{host::Incarnation, time::Instant};

/// Messages between hosts about request ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMsg {
    /// Asks the owner of an id what became of it.
    Query {
        /// The id.
        id: RequestId,
    },
}

/// Id of a request, given out by a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The life of the host that may run the request.
    pub owner: Incarnation,
    /// Random number that tells requests of one owner apart.
    pub nonce: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.owner, self.nonce)
    }
}

/// A text that is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a request id.")]
pub struct BadRequestId(String);

impl FromStr for RequestId {
    type Err = BadRequestId;

    fn from_str(text: &str) -> Result<Self, BadRequestId> {
        let bad = || BadRequestId(text.to_owned());
        let (owner, nonce) = text.split_once('-').ok_or_else(bad)?;
        let hex = |t: &str| u64::from_str_radix(t, 16).map_err(|_| bad());
        Ok(RequestId { owner: Incarnation(hex(owner)?), nonce: hex(nonce)? })
    }
}

/// What the owner knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// This try may run; it is the only one.
    Run,
    /// An earlier try has not finished.
    Running,
    /// An earlier try has finished or may have run.
    Ended,
    /// The memory is full.
    Full,
}

/// State of one request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ended,
}

/// Largest number of request ids that a host remembers.
pub const MAX_IDS: usize = 200_000;

/// The request ids that this life of the host owns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    ids: HashMap<RequestId, (State, Instant)>,
}

impl Table {
    /// Asks for the right to run `id`.
    pub fn begin(&mut self, now: Instant, id: RequestId) -> Begin {
        match self.ids.get(&id) {
            Some((State::Running, _)) => return Begin::Running,
            Some((State::Ended, _)) => return Begin::Ended,
            None if self.ids.len() >= MAX_IDS => return Begin::Full,
            None => {}
        }
        self.ids.insert(id, (State::Running, now));
        Begin::Run
    }

    /// Notes the end of the try; a try of which no byte was sent leaves the id as if never used.
    pub fn end(&mut self, now: Instant, id: RequestId, sent: bool) {
        if sent {
            self.ids.insert(id, (State::Ended, now));
        } else {
            self.ids.remove(&id);
        }
    }
}
