//! Load balancing: selection of a backend server, and loans of slots between hosts.
//!
//! Every slot of a backend server belongs to one seat of the server's failure domain ([`share`]).
//! A host uses the slots of its seat and lends idle ones to other hosts ([`loan`]). A host that needs
//! more slots asks the hosts of its failure domain first, then those of its region, then other
//! regions, which keep a reserve. So all hosts together never have more requests in flight on a
//! server than it has slots.

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

pub use self::balancer::{BackendKey, Balancer, Selection, SelectionRequest};
use self::loan::LoanId;
use crate::host::Incarnation;

/// Messages between hosts about loans of slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteMsg {
    /// Requests a loan of slots.
    RequestLoan {
        /// Incarnation of the host that requests the loan.
        borrower: Incarnation,
        /// Id of the loan.
        loan_id: LoanId,
        /// Name of the borrower's failure domain.
        domain: String,
        /// Name of the route whose servers the slots are on.
        route: String,
        /// Number of slots requested.
        slots: u16,
    },
    /// Answers a loan request; an empty list of slots is a refusal.
    GrantLoan {
        /// Id of the loan.
        loan_id: LoanId,
        /// Time after the request was sent by which every request on the slots must have ended.
        duration: Duration,
        /// Number of slots by name of the backend server.
        slots: Vec<(String, u16)>,
        /// Bytes of answers that may cross the link between regions for each slot.
        response_bytes_per_slot: u64,
    },
    /// Returns the slots of a loan.
    ReturnLoan {
        /// Incarnation of the host that borrowed.
        borrower: Incarnation,
        /// Id of the loan.
        loan_id: LoanId,
    },
}
