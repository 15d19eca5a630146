//! Replay protection: each numbered frame of a sender counts once.

use std::collections::HashMap;

use jasminestage_core::host::Incarnation;

use crate::seal::WireError;

/// Frames that may arrive out of order.
const WINDOW: u64 = 128;
/// Senders that are remembered; frames of further ones are not taken.
pub const MAX_SENDERS: usize = 8192;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    highest: u64,
    bits: u128,
}

/// Sliding window of the frames seen, per sender (RFC 4303, section 3.4.3).
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<Incarnation, Seen>,
}

impl ReplayWindow {
    /// Accepts a frame once. Sequence numbers start at 1.
    pub fn accept(&mut self, sender: Incarnation, sequence: u64) -> Result<(), WireError> {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            return Err(WireError::Senders(MAX_SENDERS));
        }
        let seen = self.senders.entry(sender).or_default();
        if sequence > seen.highest {
            let shift = sequence - seen.highest;
            seen.bits = if shift >= WINDOW { 0 } else { seen.bits << shift };
            seen.bits |= 1;
            seen.highest = sequence;
            return Ok(());
        }
        let behind = seen.highest - sequence;
        if behind >= WINDOW || seen.bits & (1 << behind) != 0 {
            return Err(WireError::Replayed { sender, sequence });
        }
        seen.bits |= 1 << behind;
        Ok(())
    }
}
