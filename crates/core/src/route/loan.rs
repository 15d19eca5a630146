//! Loans of slots: grants with an end, from the host whose seat owns the slots.
//!
//! The borrower counts a loan's span from the moment it asked, the lender from the moment it
//! granted, which is later; a margin covers clocks that run at different rates. So the lender
//! never uses a slot again while the borrower still may, though neither reads the other's clock.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::balancer::BackendKey;
use crate::{host::Incarnation, time::Instant};

/// Time for which a borrower may start requests on a loan, besides the route's deadline.
pub const LOAN_TIME: Duration = Duration::from_secs(2);
/// Added by the lender for pauses between reading the clock and sending.
const LENDER_MARGIN: Duration = Duration::from_millis(100);
/// Part of a span that clocks may drift apart, as a divisor.
const DRIFT_DIVISOR: u32 = 100;

/// Number of an ask, unique in one life of the borrower.
pub type AskId = u64;

/// Slots that were lent out.
#[derive(Clone, Debug)]
pub struct Lent {
    /// When the lender may use the slots again.
    pub until: Instant,
    /// The slots.
    pub slots: Vec<(BackendKey, u16)>,
}

/// All loans that this host has made.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    loans: HashMap<(Incarnation, AskId), Lent>,
}

impl Lender {
    /// Whether this ask was answered before.
    pub fn knows(&self, borrower: Incarnation, ask: AskId) -> bool {
        self.loans.contains_key(&(borrower, ask))
    }

    /// Notes a loan whose borrower was told `span`.
    pub fn lend(
        &mut self,
        now: Instant,
        borrower: Incarnation,
        ask: AskId,
        span: Duration,
        slots: Vec<(BackendKey, u16)>,
    ) {
        let until = now + span + span / DRIFT_DIVISOR + LENDER_MARGIN;
        self.loans.insert((borrower, ask), Lent { until, slots });
    }

    /// Ends a loan that the borrower gave back.
    pub fn end(&mut self, borrower: Incarnation, ask: AskId) -> Option<Lent> {
        self.loans.remove(&(borrower, ask))
    }

    /// Ends the loans whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<Lent> {
        let over = |lent: &Lent| lent.until <= now;
        let keys: Vec<_> = self.loans.iter().filter(|(_, l)| over(l)).map(|(k, _)| *k).collect();
        keys.iter().filter_map(|key| self.loans.remove(key)).collect()
    }
}

/// Slots of one server that this host has borrowed.
#[derive(Clone, Debug)]
pub struct Borrowed {
    /// The lender.
    pub from: SocketAddr,
    /// The ask that brought the loan.
    pub ask: AskId,
    /// When the last request on it must have ended.
    pub until: Instant,
    /// Slots borrowed.
    pub slots: u16,
    /// Slots taken by requests.
    pub used: u16,
    /// Whether the server stands in another region.
    pub far: bool,
    /// Bytes of answers that the receiving region still allows.
    pub bytes: i64,
    /// When the last request on it ended.
    pub idle_since: Instant,
}

/// An ask that has not been answered.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// When it was sent.
    pub asked: Instant,
    /// Whether it went to another region.
    pub far: bool,
}
