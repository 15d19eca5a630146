//! Replay protection: each numbered frame of a sender is accepted once.

use std::collections::HashMap;

use jasminestage_core::host::Incarnation;

use crate::frame::WireError;

/// Number of sequence numbers, up to the highest received, within which frames may arrive out of
/// order.
const WINDOW_FRAMES: u64 = 128;
/// Largest number of senders in a window; frames of further senders are rejected.
pub const MAX_SENDERS: usize = 8192;

/// Received sequence numbers of a sender: the highest one, and a bitmap in which bit `n` marks the
/// number `n` below it.
#[derive(Clone, Copy, Debug, Default)]
struct SenderWindow {
    highest: u64,
    bitmap: u128,
}

/// Sliding window of the received sequence numbers of each sender (RFC 4303, section 3.4.3).
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<Incarnation, SenderWindow>,
}

impl ReplayWindow {
    /// Accepts a frame once. Sequence numbers start at 1.
    pub fn accept(&mut self, sender: Incarnation, sequence: u64) -> Result<(), WireError> {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            return Err(WireError::TooManySenders(MAX_SENDERS));
        }
        let window = self.senders.entry(sender).or_default();
        if sequence > window.highest {
            let shift = sequence - window.highest;
            window.bitmap = if shift >= WINDOW_FRAMES { 0 } else { window.bitmap << shift };
            window.bitmap |= 1;
            window.highest = sequence;
            return Ok(());
        }
        let behind = window.highest - sequence;
        if behind >= WINDOW_FRAMES || window.bitmap & (1 << behind) != 0 {
            return Err(WireError::Replayed { sender, sequence });
        }
        window.bitmap |= 1 << behind;
        Ok(())
    }
}
