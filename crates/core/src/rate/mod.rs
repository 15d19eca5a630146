//! Rate and burst of workspaces: token buckets whose shares never add up to more than declared.
//!
//! The declared rate and burst of a workspace are split over its homes: seats of failure domains
//! (see [`share`]). The holder of a home seat fills a bucket from the home's share and lends tokens
//! to other hosts that ask. A loan has an end on the clock of each side, and its room in the bucket
//! stays reserved until the borrower can no longer use it, so that tokens in buckets, in flight and
//! on loan never add up to more than the burst.

mod basis;
mod borrow;
pub mod bucket;
mod buckets;
mod pool;
pub mod share;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    basis::{Holder, Standing},
    buckets::{Buckets, Counters, Take},
    share::{Home, Share, digest, homes},
};
use crate::host::Incarnation;

/// Tokens in millionths.
pub type MicroTokens = u64;
/// One token: the right to send one request.
pub const TOKEN: MicroTokens = 1_000_000;

/// Time from the question of a borrower to the end of the loan, on the borrower's clock.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which a lender keeps the room of a loan, on the lender's clock.
pub const LOAN_HOLD: Duration = Duration::from_millis(420);
/// Longest wait of a request for a token.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// What became of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Number of the question that the loan answered.
    pub number: u64,
    /// Tokens that were not used and are given back, in millionths.
    pub unused: MicroTokens,
}

/// Messages between hosts about rates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateMsg {
    /// Asks the holder of a home for tokens of a workspace.
    Want {
        /// The life of the host that asks.
        asker: Incarnation,
        /// Number of the question in this life.
        number: u64,
        /// Name of the workspace.
        workspace: String,
        /// How many tokens, in millionths.
        tokens: MicroTokens,
        /// Earlier loans of the same home that have ended.
        settled: Vec<Settled>,
    },
    /// Answers a question; the lender has already deducted the tokens.
    Grant {
        /// The life of the host that asked.
        asker: Incarnation,
        /// Number of the question.
        number: u64,
        /// The life of the host that answers.
        lender: Incarnation,
        /// Tokens lent, in millionths.
        tokens: MicroTokens,
        /// Tokens that the home has left, in millionths.
        left: MicroTokens,
    },
    /// Gives unused tokens back; the borrower has already deducted them.
    Return {
        /// The life of the host that asked.
        asker: Incarnation,
        /// Name of the workspace.
        workspace: String,
        /// The loans.
        settled: Vec<Settled>,
    },
}
