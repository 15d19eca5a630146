//! Token bucket of one home, with its outstanding loans.

use std::collections::HashMap;

use super::{LOAN_RESERVATION, MicroTokens, SettledLoan, Share};
use crate::{host::Incarnation, time::Instant};

/// Largest number of outstanding loans of one bucket.
const MAX_LOANS: usize = 1024;

/// Identifies a loan by the borrower and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoanId {
    /// Incarnation of the borrowing host.
    pub borrower: Incarnation,
    /// Number of the loan request.
    pub request_number: u64,
}

/// Capacity that is reserved until an instant.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: MicroTokens,
    until: Instant,
}

/// Token bucket; tokens and reserved capacity together never exceed the burst of its share.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    tokens: MicroTokens,
    refilled_at: Instant,
    loans: HashMap<LoanId, Reservation>,
    /// Capacity added by a larger share. It is not filled yet, because another host that held the
    /// share may have lent tokens that are still in use.
    blocked: Vec<Reservation>,
    /// Sum of `loans` and `blocked`.
    reserved: MicroTokens,
    /// When the next of `loans` and `blocked` expires.
    next_expiry: Option<Instant>,
}

impl Bucket {
    /// An empty bucket without a share.
    pub fn new(now: Instant) -> Self {
        Bucket {
            share: Share::default(),
            tokens: 0,
            refilled_at: now,
            loans: HashMap::new(),
            blocked: Vec::new(),
            reserved: 0,
            next_expiry: None,
        }
    }

    /// Current share.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Changes the share. Added capacity is blocked until loans that another holder may have granted
    /// from it have expired.
    pub fn set_share(&mut self, now: Instant, share: Share) {
        if share == self.share {
            return;
        }
        self.refill(now);
        let grown = share.burst.saturating_sub(self.share.burst);
        if grown > 0 {
            let until = now + LOAN_RESERVATION;
            self.blocked.push(Reservation { tokens: grown, until });
            self.reserve(grown, until);
        }
        self.share = share;
        self.tokens = self.tokens.min(self.free_capacity());
    }

    /// Whether all capacity is still blocked, as it is directly after a seat was taken over.
    pub fn is_blocked(&mut self, now: Instant) -> bool {
        self.refill(now);
        !self.blocked.is_empty() && self.free_capacity() == 0
    }

    /// Tokens available at `now`.
    pub fn tokens(&mut self, now: Instant) -> MicroTokens {
        self.refill(now);
        self.tokens
    }

    /// Takes up to `wanted` tokens.
    pub fn take(&mut self, now: Instant, wanted: MicroTokens) -> MicroTokens {
        self.refill(now);
        let taken = wanted.min(self.tokens);
        self.tokens -= taken;
        taken
    }

    /// Lends up to `wanted` tokens. A repeated request gets the same loan.
    pub fn lend(&mut self, now: Instant, id: LoanId, wanted: MicroTokens) -> MicroTokens {
        self.refill(now);
        if let Some(loan) = self.loans.get(&id) {
            return loan.tokens;
        }
        if self.loans.len() >= MAX_LOANS {
            return 0;
        }
        let tokens = wanted.min(self.tokens);
        if tokens > 0 {
            self.tokens -= tokens;
            let until = now + LOAN_RESERVATION;
            self.loans.insert(id, Reservation { tokens, until });
            self.reserve(tokens, until);
        }
        tokens
    }

    /// Ends loans and takes back their unused tokens. Settling a loan again has no effect.
    pub fn settle(&mut self, now: Instant, borrower: Incarnation, settled: &[SettledLoan]) {
        self.refill(now);
        for s in settled {
            let Some(loan) =
                self.loans.remove(&LoanId { borrower, request_number: s.request_number })
            else {
                continue;
            };
            self.reserved -= loan.tokens;
            self.tokens +=
                s.unused.min(loan.tokens).min(self.free_capacity().saturating_sub(self.tokens));
        }
    }

    /// Whether tokens and reserved capacity fit the share. After the share was reduced, outstanding
    /// loans may exceed it, but then there are no tokens.
    pub fn is_consistent(&self) -> bool {
        let sum: MicroTokens =
            self.loans.values().chain(&self.blocked).map(|loan| loan.tokens).sum();
        sum == self.reserved && (self.tokens == 0 || self.tokens + sum <= self.share.burst)
    }

    /// Drops all tokens.
    pub fn discard_tokens(&mut self) {
        self.tokens = 0;
    }

    /// Adds tokens up to `now`. Reserved capacity is refilled only from the expiry of its loan on.
    fn refill(&mut self, now: Instant) {
        while let Some(expiry) = self.next_expiry.filter(|expiry| *expiry <= now) {
            self.add_tokens(expiry);
            self.expire(expiry);
        }
        self.add_tokens(now);
    }

    fn add_tokens(&mut self, now: Instant) {
        let micros = now.saturating_since(self.refilled_at).as_micros();
        let added = micros * u128::from(self.share.rate) / 1_000_000;
        if added > 0 {
            let added = u64::try_from(added).unwrap_or(u64::MAX);
            self.tokens = self.tokens.saturating_add(added).min(self.free_capacity());
            self.refilled_at = now;
        }
    }

    fn free_capacity(&self) -> MicroTokens {
        self.share.burst.saturating_sub(self.reserved)
    }

    fn reserve(&mut self, tokens: MicroTokens, until: Instant) {
        self.reserved += tokens;
        self.next_expiry = Some(self.next_expiry.map_or(until, |expiry| expiry.min(until)));
    }

    fn expire(&mut self, now: Instant) {
        self.loans.retain(|_, loan| now < loan.until);
        self.blocked.retain(|blocked_part| now < blocked_part.until);
        let remaining = || self.loans.values().chain(&self.blocked);
        self.reserved = remaining().map(|loan| loan.tokens).sum();
        self.next_expiry = remaining().map(|loan| loan.until).min();
    }
}
