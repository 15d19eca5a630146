//! Tokens borrowed from the homes of a workspace, and what is known of the homes.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{Holder, LOAN_LIFETIME, MicroTokens, Settled, Share, TOKEN};
use crate::{host::Incarnation, time::Instant};

/// Time after which an unanswered question no longer counts on its answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// First and longest pause after an empty answer.
const EMPTY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1600));
/// First and longest pause after no answer.
const SILENT_PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// Time before the end of a loan at which what is left of it is given back.
const RETURN_MARGIN: Duration = Duration::from_millis(100);
/// Smallest number of tokens that is worth a question.
const MIN_ASK: MicroTokens = TOKEN / 4;

/// Ended loans that wait to be told; the lender ends a loan by itself when it is not told.
const MAX_SETTLED: usize = 32;

/// Distance between two hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// A home that another host holds.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    /// The life of the host that holds it.
    pub life: Incarnation,
    pub address: SocketAddr,
    pub distance: Distance,
    pub share: Share,
    /// Tokens that it was last known to have, at the instant `heard`.
    known: MicroTokens,
    heard: Instant,
    /// No question is sent to it before this instant.
    quiet_until: Instant,
    pause: Duration,
    /// Loans that have ended and that it has not been told of.
    settled: Vec<Settled>,
}

impl Lender {
    pub fn new(now: Instant, holder: Holder, distance: Distance, share: Share) -> Self {
        Lender {
            life: holder.incarnation,
            address: holder.address,
            distance,
            share,
            known: share.burst,
            heard: now,
            quiet_until: now,
            pause: Duration::ZERO,
            settled: Vec::new(),
        }
    }

    /// Tokens that it can be expected to have.
    fn expected(&self, now: Instant) -> MicroTokens {
        let micros = now.saturating_since(self.heard).as_micros();
        let grown = micros * u128::from(self.share.rate) / 1_000_000;
        let grown = u64::try_from(grown).unwrap_or(u64::MAX);
        self.known.saturating_add(grown).min(self.share.burst)
    }

    fn back_off(&mut self, now: Instant, (first, longest): (Duration, Duration)) {
        self.pause = (self.pause * 2).clamp(first, longest);
        self.quiet_until = now + self.pause;
    }
}

/// Borrowed tokens.
#[derive(Clone, Debug)]
struct Lot {
    number: u64,
    lender: Incarnation,
    tokens: MicroTokens,
    end: Instant,
}

/// A question that has not been answered.
#[derive(Clone, Debug)]
struct Ask {
    lender: Incarnation,
    tokens: MicroTokens,
    sent: Instant,
    /// Whether the answer is still counted on.
    counted: bool,
}

/// A question to be sent.
#[derive(Clone, Debug)]
pub(super) struct Question {
    pub lender: Incarnation,
    pub to: SocketAddr,
    pub tokens: MicroTokens,
    pub settled: Vec<Settled>,
}

/// Borrowed tokens of one workspace on one host.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrowed {
    pub lenders: Vec<Lender>,
    lots: VecDeque<Lot>,
    asks: HashMap<u64, Ask>,
}

impl Borrowed {
    /// Tokens that can still be used at `by`.
    pub fn tokens(&self, by: Instant) -> MicroTokens {
        self.lots.iter().filter(|lot| by < lot.end).map(|lot| lot.tokens).sum()
    }

    /// Tokens that are asked for and counted on.
    pub fn pending(&self) -> MicroTokens {
        self.asks.values().filter(|a| a.counted).map(|a| a.tokens).sum()
    }

    /// Whether there is nothing to look after.
    pub fn is_idle(&self) -> bool {
        self.lots.is_empty() && self.asks.is_empty()
    }

    /// Takes up to `wanted` tokens, those that end first before others.
    pub fn take(&mut self, now: Instant, wanted: MicroTokens) -> MicroTokens {
        self.lots.retain(|lot| now < lot.end);
        let mut taken = 0;
        for lot in &mut self.lots {
            let part = lot.tokens.min(wanted - taken);
            lot.tokens -= part;
            taken += part;
        }
        while self.lots.front().is_some_and(|lot| lot.tokens == 0) {
            let Some(lot) = self.lots.pop_front() else { break };
            self.settle(lot.lender, Settled { number: lot.number, unused: 0 });
        }
        taken
    }

    /// Tokens that lenders can be expected to lend at `at` besides those already asked for.
    pub fn expected(&self, at: Instant) -> MicroTokens {
        let willing = self.lenders.iter().filter(|l| at >= l.quiet_until);
        willing.map(|l| l.expected(at).saturating_sub(self.asked_of(l.life))).sum()
    }

    /// At most `most` questions that together ask for `wanted` tokens: the nearest lenders first, and among
    /// equally near ones the fullest.
    pub fn questions(&mut self, now: Instant, wanted: MicroTokens, most: usize) -> Vec<Question> {
        let mut found: Vec<_> = self.askable(now).collect();
        found.sort_by_key(|&(n, tokens)| (self.lenders[n].distance, std::cmp::Reverse(tokens)));
        let mut left = wanted;
        let mut questions = Vec::new();
        for (n, tokens) in found {
            if left == 0 || questions.len() == most {
                break;
            }
            let lender = &mut self.lenders[n];
            let tokens = tokens.min(left.max(MIN_ASK));
            left = left.saturating_sub(tokens);
            let settled = std::mem::take(&mut lender.settled);
            let (life, to) = (lender.life, lender.address);
            questions.push(Question { lender: life, to, tokens, settled });
        }
        questions
    }

    /// Notes that a question was sent.
    pub fn asked(&mut self, now: Instant, number: u64, question: &Question) {
        let Question { lender, tokens, .. } = *question;
        self.asks.insert(number, Ask { lender, tokens, sent: now, counted: true });
    }

    /// Takes in an answer; returns whether it counts. An answer counts once, from the host that
    /// was asked, and before the end of the loan.
    pub fn granted(
        &mut self,
        now: Instant,
        from: Incarnation,
        number: u64,
        tokens: MicroTokens,
        left: MicroTokens,
    ) -> bool {
        if self.asks.get(&number).is_none_or(|ask| ask.lender != from) {
            return false;
        }
        let Some(ask) = self.asks.remove(&number) else { return false };
        if let Some(lender) = self.lender(from) {
            lender.known = left;
            lender.heard = now;
            if tokens > 0 {
                lender.pause = Duration::ZERO;
                lender.quiet_until = now;
            } else {
                lender.back_off(now, EMPTY_PAUSE);
            }
        }
        let end = ask.sent + LOAN_LIFETIME;
        let counts = tokens > 0 && tokens <= ask.tokens && now < end;
        if counts {
            let at = self.lots.partition_point(|lot| lot.end <= end);
            self.lots.insert(at, Lot { number, lender: from, tokens, end });
        }
        counts
    }

    /// Gives up questions that were not answered in time. Returns the numbers that can no longer
    /// be answered and the loans to give back, with the address of each lender.
    pub fn tick(&mut self, now: Instant) -> (Vec<u64>, Vec<(SocketAddr, Settled)>) {
        let silent: Vec<_> = self.asks.values_mut().filter(|a| a.counted).collect();
        let mut lives = Vec::new();
        for ask in silent {
            if now.saturating_since(ask.sent) >= ASK_TIMEOUT {
                ask.counted = false;
                lives.push(ask.lender);
            }
        }
        for life in lives {
            if let Some(lender) = self.lender(life) {
                lender.back_off(now, SILENT_PAUSE);
            }
        }
        let over = |ask: &Ask| now >= ask.sent + LOAN_LIFETIME;
        let ended: Vec<u64> =
            self.asks.iter().filter(|(_, a)| over(a)).map(|(number, _)| *number).collect();
        self.asks.retain(|_, ask| !over(ask));
        let mut back = Vec::new();
        while self.lots.front().is_some_and(|lot| lot.end <= now + RETURN_MARGIN) {
            let Some(lot) = self.lots.pop_front() else { break };
            let address = self.lender(lot.lender).map(|l| l.address);
            if let Some(address) = address.filter(|_| now < lot.end) {
                back.push((address, Settled { number: lot.number, unused: lot.tokens }));
            }
        }
        (ended, back)
    }

    fn lender(&mut self, life: Incarnation) -> Option<&mut Lender> {
        self.lenders.iter_mut().find(|l| l.life == life)
    }

    fn settle(&mut self, life: Incarnation, settled: Settled) {
        if let Some(lender) = self.lender(life)
            && lender.settled.len() < MAX_SETTLED
        {
            lender.settled.push(settled);
        }
    }

    /// Tokens that one lender is asked for.
    fn asked_of(&self, life: Incarnation) -> MicroTokens {
        let asks = self.asks.values().filter(|a| a.counted && a.lender == life);
        asks.map(|a| a.tokens).sum()
    }

    /// Lenders that can be asked, with the tokens that each can be expected to have.
    fn askable(&self, now: Instant) -> impl Iterator<Item = (usize, MicroTokens)> {
        self.lenders.iter().enumerate().filter_map(move |(n, lender)| {
            let tokens = lender.expected(now);
            let may =
                now >= lender.quiet_until && tokens >= MIN_ASK && self.asked_of(lender.life) == 0;
            may.then_some((n, tokens))
        })
    }
}
