//! Token bucket of one home, with the loans that it has given.

use std::collections::HashMap;

use super::{LOAN_HOLD, MicroTokens, Settled, Share};
use crate::{host::Incarnation, time::Instant};

/// Loans that one bucket keeps at the same time.
const MAX_LOANS: usize = 1024;

/// Names a loan: who asked, and by which question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoanId {
    /// The life of the host that asked.
    pub asker: Incarnation,
    /// Number of the question.
    pub number: u64,
}

/// Tokens whose room is reserved until an instant.
#[derive(Clone, Copy, Debug)]
struct Loan {
    tokens: MicroTokens,
    until: Instant,
}

/// Token bucket; tokens and reserved room never exceed the burst of its share.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    tokens: MicroTokens,
    filled: Instant,
    loans: HashMap<LoanId, Loan>,
    /// Room that others may still be using after the share has grown.
    blocks: Vec<Loan>,
    /// Sum of `loans` and `blocks`.
    reserved: MicroTokens,
    /// When the next of `loans` and `blocks` ends.
    next_end: Option<Instant>,
}

impl Bucket {
    /// An empty bucket without a share.
    pub fn new(now: Instant) -> Self {
        Bucket {
            share: Share::default(),
            tokens: 0,
            filled: now,
            loans: HashMap::new(),
            blocks: Vec::new(),
            reserved: 0,
            next_end: None,
        }
    }

    /// The share in use.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Takes another share. What it has grown by can be used only when loans that were given from
    /// it elsewhere have ended.
    pub fn set_share(&mut self, now: Instant, share: Share) {
        if share == self.share {
            return;
        }
        self.fill(now);
        let grown = share.burst.saturating_sub(self.share.burst);
        if grown > 0 {
            let until = now + LOAN_HOLD;
            self.blocks.push(Loan { tokens: grown, until });
            self.reserve(grown, until);
        }
        self.share = share;
        self.tokens = self.tokens.min(self.room());
    }

    /// Whether the whole room is still blocked, as it is when a seat was taken just now.
    pub fn is_blocked(&mut self, now: Instant) -> bool {
        self.fill(now);
        !self.blocks.is_empty() && self.room() == 0
    }

    /// Tokens at this moment.
    pub fn tokens(&mut self, now: Instant) -> MicroTokens {
        self.fill(now);
        self.tokens
    }

    /// Takes up to `wanted` tokens.
    pub fn take(&mut self, now: Instant, wanted: MicroTokens) -> MicroTokens {
        self.fill(now);
        let taken = wanted.min(self.tokens);
        self.tokens -= taken;
        taken
    }

    /// Lends up to `wanted` tokens. The same question gets the same answer.
    pub fn lend(&mut self, now: Instant, id: LoanId, wanted: MicroTokens) -> MicroTokens {
        self.fill(now);
        if let Some(loan) = self.loans.get(&id) {
            return loan.tokens;
        }
        if self.loans.len() >= MAX_LOANS {
            return 0;
        }
        let tokens = wanted.min(self.tokens);
        if tokens > 0 {
            self.tokens -= tokens;
            let until = now + LOAN_HOLD;
            self.loans.insert(id, Loan { tokens, until });
            self.reserve(tokens, until);
        }
        tokens
    }

    /// Ends loans and takes back what was not used of them. A loan ends once.
    pub fn settle(&mut self, now: Instant, asker: Incarnation, settled: &[Settled]) {
        self.fill(now);
        for s in settled {
            let Some(loan) = self.loans.remove(&LoanId { asker, number: s.number }) else {
                continue;
            };
            self.reserved -= loan.tokens;
            self.tokens += s.unused.min(loan.tokens).min(self.room().saturating_sub(self.tokens));
        }
    }

    /// Whether tokens and reserved room fit the share; after the share has shrunk, old loans may
    /// exceed it, but then there are no tokens.
    pub fn is_sound(&self) -> bool {
        let sum: MicroTokens =
            self.loans.values().chain(&self.blocks).map(|loan| loan.tokens).sum();
        sum == self.reserved && (self.tokens == 0 || self.tokens + sum <= self.share.burst)
    }

    /// Drops all tokens.
    pub fn empty(&mut self) {
        self.tokens = 0;
    }

    /// Fills up to `now`. Room is filled only from the instant at which its loan has ended.
    fn fill(&mut self, now: Instant) {
        while let Some(end) = self.next_end.filter(|end| *end <= now) {
            self.add_until(end);
            self.expire(end);
        }
        self.add_until(now);
    }

    fn add_until(&mut self, now: Instant) {
        let micros = now.saturating_since(self.filled).as_micros();
        let added = micros * u128::from(self.share.rate) / 1_000_000;
        if added > 0 {
            let added = u64::try_from(added).unwrap_or(u64::MAX);
            self.tokens = self.tokens.saturating_add(added).min(self.room());
            self.filled = now;
        }
    }

    fn room(&self) -> MicroTokens {
        self.share.burst.saturating_sub(self.reserved)
    }

    fn reserve(&mut self, tokens: MicroTokens, until: Instant) {
        self.reserved += tokens;
        self.next_end = Some(self.next_end.map_or(until, |end| end.min(until)));
    }

    fn expire(&mut self, now: Instant) {
        self.loans.retain(|_, loan| now < loan.until);
        self.blocks.retain(|block| now < block.until);
        let left = || self.loans.values().chain(&self.blocks);
        self.reserved = left().map(|loan| loan.tokens).sum();
        self.next_end = left().map(|loan| loan.until).min();
    }
}
