//! Choice of a backend server, slots and their loans.
//!
//! Every slot of a backend server belongs to one seat of the server's failure domain ([`share`]).
//! A host uses the slots of its seat and lends idle ones to other hosts ([`loan`]): first inside
//! its domain, then in its region, then to other regions out of what it can spare. So all hosts
//! together never have more requests in flight on a server than it has slots.

pub mod backend;
pub mod balancer;
pub mod budget;
pub mod health;
mod lend;
pub mod loan;
pub mod queue;
pub mod share;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::balancer::{BackendKey, Balancer, Choice, Want};
use self::loan::AskId;
use crate::host::Incarnation;

/// Messages between hosts about backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteMsg {
    /// Asks for slots.
    Ask {
        /// Life of the host that asks.
        borrower: Incarnation,
        /// Number of the ask.
        ask: AskId,
        /// Name of the borrower's failure domain.
        domain: String,
        /// Name of the route.
        route: String,
        /// Slots wanted.
        slots: u16,
    },
    /// Answers an ask; no slots is a refusal.
    Lend {
        /// Number of the ask.
        ask: AskId,
        /// Time after the ask in which every request on the slots must have ended.
        span: Duration,
        /// Slots by name of the backend server.
        slots: Vec<(String, u16)>,
        /// Bytes of answers that may cross the link for each slot.
        bytes: u64,
    },
    /// Ends a loan before its time.
    GiveBack {
        /// Life of the host that borrowed.
        borrower: Incarnation,
        /// Number of the ask.
        ask: AskId,
    },
}
