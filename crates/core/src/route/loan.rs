//! Time-limited loans of slots from the host whose seat owns them.
//!
//! The borrower counts a loan's duration from the moment it sent the request, the lender from the
//! later moment at which it granted the loan, plus a margin for clocks that run at different rates.
//! So the lender never reuses a slot while the borrower may still use it, although neither host
//! reads the other's clock.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::balancer::BackendKey;
use crate::{host::Incarnation, time::Instant};

/// Time for which a borrower may start requests on a loan; the loan also covers the route's deadline,
/// so that the last request can end.
pub const LOAN_DURATION: Duration = Duration::from_secs(2);
/// Added by the lender to cover pauses between reading the clock and sending.
const LENDER_PAUSE_MARGIN: Duration = Duration::from_millis(100);
/// Fraction of a loan's duration by which two clocks may drift apart, as a divisor.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Identifies a loan request and the loan it is granted; unique within one incarnation of the
/// borrower.
pub type LoanId = u64;

/// Slots lent to one borrower.
#[derive(Clone, Debug)]
pub struct LentSlots {
    /// When this host may use the slots again if they are not returned earlier.
    pub until: Instant,
    /// Number of slots by backend server.
    pub slots: Vec<(BackendKey, u16)>,
}

/// The loans that this host has granted.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    loans: HashMap<(Incarnation, LoanId), LentSlots>,
}

impl Lender {
    /// Whether a loan with this id has been granted and has not ended.
    pub fn has_loan(&self, borrower: Incarnation, loan_id: LoanId) -> bool {
        self.loans.contains_key(&(borrower, loan_id))
    }

    /// Records a loan that was granted to a borrower for `duration`.
    pub fn record_loan(
        &mut self,
        now: Instant,
        borrower: Incarnation,
        loan_id: LoanId,
        duration: Duration,
        slots: Vec<(BackendKey, u16)>,
    ) {
        let until = now + duration + duration / CLOCK_DRIFT_DIVISOR + LENDER_PAUSE_MARGIN;
        self.loans.insert((borrower, loan_id), LentSlots { until, slots });
    }

    /// Removes a loan that the borrower returned.
    pub fn end_loan(&mut self, borrower: Incarnation, loan_id: LoanId) -> Option<LentSlots> {
        self.loans.remove(&(borrower, loan_id))
    }

    /// Removes and returns the expired loans.
    pub fn expire_loans(&mut self, now: Instant) -> Vec<LentSlots> {
        let is_expired = |lent: &LentSlots| lent.until <= now;
        let keys: Vec<_> =
            self.loans.iter().filter(|(_, l)| is_expired(l)).map(|(k, _)| *k).collect();
        keys.iter().filter_map(|key| self.loans.remove(key)).collect()
    }
}

/// Slots of one backend server that this host borrowed under one loan.
#[derive(Clone, Debug)]
pub struct BorrowedSlots {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// The loan.
    pub loan_id: LoanId,
    /// When the last request on the loan must have ended.
    pub until: Instant,
    /// Number of slots borrowed.
    pub slots: u16,
    /// Borrowed slots in use by requests.
    pub in_use: u16,
    /// Whether the server is in another region.
    pub cross_region: bool,
    /// Bytes of answers that may still cross the link from the server's region; negative when an
    /// answer exceeded them.
    pub response_bytes_left: i64,
    /// When the last request on the loan ended, or the end of the grace time for its first one.
    pub idle_since: Instant,
}

/// A loan request that has not been answered.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest {
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it was sent to another region.
    pub cross_region: bool,
}
