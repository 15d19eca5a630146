//! Counts in slots of time, of bounded number.

use std::{ops::AddAssign, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Instant;

/// Numbers of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Good answers.
    pub good: u32,
    /// Bad answers.
    pub bad: u32,
}

impl Counts {
    /// All answers.
    pub fn total(self) -> u64 {
        u64::from(self.good) + u64::from(self.bad)
    }

    /// Share of bad answers, 0 when there are none.
    pub fn bad_share(self) -> f64 {
        if self.bad == 0 { 0.0 } else { f64::from(self.bad) / self.total() as f64 }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, more: Counts) {
        self.good = self.good.saturating_add(more.good);
        self.bad = self.bad.saturating_add(more.bad);
    }
}

/// Counts of the latest slots of time.
#[derive(Clone, Debug)]
pub struct Ring {
    slot: Duration,
    /// The counts of slot `n` of the clock stand at `n` modulo the length.
    slots: Vec<Counts>,
    /// Number of the newest slot that was counted in.
    newest: u64,
}

impl Ring {
    /// An empty ring of `count` slots of length `slot`.
    pub fn new(slot: Duration, count: usize) -> Self {
        Ring { slot, slots: vec![Counts::default(); count.max(1)], newest: 0 }
    }

    /// Time that the ring reaches back.
    pub fn span(&self) -> Duration {
        self.slot * self.slots.len() as u32
    }

    /// Counts an answer.
    pub fn add(&mut self, now: Instant, is_good: bool) {
        let number = self.number(now).max(self.newest);
        let passed = (number - self.newest).min(self.slots.len() as u64);
        for skipped in 0..passed {
            let at = self.at(number - skipped);
            self.slots[at] = Counts::default();
        }
        self.newest = number;
        let at = self.at(number);
        let (good, bad) = (u32::from(is_good), u32::from(!is_good));
        self.slots[at] += Counts { good, bad };
    }

    /// Counts of the slots that a window reaches over, the present one included.
    pub fn sum(&self, now: Instant, window: Duration) -> Counts {
        let count = (window.as_micros() / self.slot.as_micros()).max(1) as usize;
        let mut sum = Counts::default();
        for slot in self.slots(now).into_iter().take(count) {
            sum += slot;
        }
        sum
    }

    /// The slots from the present one back, without empty ones at the end.
    pub fn slots(&self, now: Instant) -> Vec<Counts> {
        let number = self.number(now).max(self.newest);
        let len = self.slots.len() as u64;
        let is_kept = |n: u64| n <= self.newest && n + len > self.newest;
        let of = |age: u64| match number.checked_sub(age) {
            Some(n) if is_kept(n) => self.slots[self.at(n)],
            _ => Counts::default(),
        };
        let mut slots: Vec<_> = (0..len).map(of).collect();
        let used = slots.iter().rposition(|c| c.total() > 0).map_or(0, |last| last + 1);
        slots.truncate(used);
        slots
    }

    fn number(&self, now: Instant) -> u64 {
        now.as_micros() / self.slot.as_micros() as u64
    }

    fn at(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }
}
