//! Distributed rate limiting: token buckets whose total never exceeds the declared rate and burst.
//!
//! The declared rate and burst of a workspace are split over its homes, which are seats of failure
//! domains (see [`share`]). The holder of a home seat fills a bucket at the rate of the home's share
//! and lends tokens to other hosts on request. A loan expires on the clocks of both sides, and its
//! capacity in the bucket stays reserved until the borrower can no longer use it. Tokens in
//! buckets, in flight and on loan therefore never add up to more than the burst.

mod borrow;
pub mod bucket;
mod declarations;
mod limiter;
pub mod share;
mod workspace;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    declarations::{Holder, RateContext},
    limiter::{Counters, RateDecision, RateLimiter},
    share::{Home, Share, digest, homes},
};
use crate::host::Incarnation;

/// Number of tokens, in millionths of a token.
pub type MicroTokens = u64;
/// One token: the right to send one request.
pub const TOKEN: MicroTokens = 1_000_000;

/// Time from the request of a borrower to the expiry of the loan, on the borrower's clock.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which a lender reserves the capacity of a loan, on the lender's clock. It starts later
/// and is longer than [`LOAN_LIFETIME`], so that the loan expires at the borrower first.
pub const LOAN_RESERVATION: Duration = Duration::from_millis(420);
/// Longest wait of a request for a token.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);

/// A loan that the borrower has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledLoan {
    /// Number of the loan request.
    pub request_number: u64,
    /// Unused tokens that are returned, in millionths.
    pub unused: MicroTokens,
}

/// Messages between hosts about loans of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateMsg {
    /// Requests tokens of a workspace from the holder of a home.
    RequestLoan {
        /// Incarnation of the requesting host.
        borrower: Incarnation,
        /// Number of the loan request, unique in this incarnation.
        request_number: u64,
        /// Name of the workspace.
        workspace: String,
        /// Requested tokens, in millionths.
        tokens: MicroTokens,
        /// Earlier loans of the same home that the borrower has ended.
        settled: Vec<SettledLoan>,
    },
    /// Replies to a loan request; the lender has already deducted the tokens.
    GrantLoan {
        /// Incarnation of the borrowing host.
        borrower: Incarnation,
        /// Number of the loan request.
        request_number: u64,
        /// Incarnation of the lending host.
        lender: Incarnation,
        /// Tokens lent, in millionths.
        tokens: MicroTokens,
        /// Tokens left in the lender's bucket, in millionths.
        tokens_left: MicroTokens,
    },
    /// Returns unused tokens; the borrower has already deducted them.
    ReturnLoans {
        /// Incarnation of the borrowing host.
        borrower: Incarnation,
        /// Name of the workspace.
        workspace: String,
        /// The ended loans.
        settled: Vec<SettledLoan>,
    },
}
