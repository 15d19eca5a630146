//! Ring buffer of counts in time slots.

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

    /// Fraction of bad answers, 0 if there are no answers.
    pub fn bad_fraction(self) -> f64 {
        if self.bad == 0 { 0.0 } else { f64::from(self.bad) / self.total() as f64 }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, more: Counts) {
        self.good = self.good.saturating_add(more.good);
        self.bad = self.bad.saturating_add(more.bad);
    }
}

/// Counts of the latest time slots.
#[derive(Clone, Debug)]
pub struct SlotRing {
    slot_length: Duration,
    /// Counts; slot number `n` is at index `n` modulo the number of slots.
    slots: Vec<Counts>,
    /// Number of the latest slot in which an answer was counted.
    newest_slot: u64,
}

impl SlotRing {
    /// Creates an empty ring of `count` slots.
    pub fn new(slot_length: Duration, count: usize) -> Self {
        SlotRing { slot_length, slots: vec![Counts::default(); count.max(1)], newest_slot: 0 }
    }

    /// Time that the ring covers.
    pub fn span(&self) -> Duration {
        self.slot_length * self.slots.len() as u32
    }

    /// Counts an answer.
    pub fn add(&mut self, now: Instant, is_good: bool) {
        let number = self.slot_number(now).max(self.newest_slot);
        let passed = (number - self.newest_slot).min(self.slots.len() as u64);
        for skipped in 0..passed {
            let index = self.index_of(number - skipped);
            self.slots[index] = Counts::default();
        }
        self.newest_slot = number;
        let index = self.index_of(number);
        let (good, bad) = (u32::from(is_good), u32::from(!is_good));
        self.slots[index] += Counts { good, bad };
    }

    /// Sum over the slots of a window, including the current slot.
    pub fn sum(&self, now: Instant, window: Duration) -> Counts {
        let count = (window.as_micros() / self.slot_length.as_micros()).max(1) as usize;
        let mut sum = Counts::default();
        for slot in self.latest_slots(now).into_iter().take(count) {
            sum += slot;
        }
        sum
    }

    /// Counts of the slots, the current one first, without empty ones at the end.
    pub fn latest_slots(&self, now: Instant) -> Vec<Counts> {
        let number = self.slot_number(now).max(self.newest_slot);
        let len = self.slots.len() as u64;
        let is_kept = |n: u64| n <= self.newest_slot && n + len > self.newest_slot;
        let counts_at = |age: u64| match number.checked_sub(age) {
            Some(n) if is_kept(n) => self.slots[self.index_of(n)],
            _ => Counts::default(),
        };
        let mut slots: Vec<_> = (0..len).map(counts_at).collect();
        let used = slots.iter().rposition(|c| c.total() > 0).map_or(0, |last| last + 1);
        slots.truncate(used);
        slots
    }

    fn slot_number(&self, now: Instant) -> u64 {
        now.as_micros() / self.slot_length.as_micros() as u64
    }

    fn index_of(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }
}
