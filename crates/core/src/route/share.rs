//! Assignment of a backend server's slots to the seats of its failure domain.

/// Returns the number of slots of a backend server that belong to `seat`.
///
/// Slot `n` of a server belongs to seat `(hash(server) + n) mod seats`. This depends
/// only on the server's name, its number of slots and the number of seats in the domain, so two
/// hosts on different revisions agree on every server that both revisions declare alike.
pub fn own_slots(server: &str, slots: u16, seats: u16, seat: u16) -> u16 {
    let seats = seats.max(1);
    if seat >= seats {
        return 0;
    }
    let first = (hash(server) % u64::from(seats)) as u16;
    let offset = (seat + seats - first) % seats;
    if slots > offset { (slots - offset - 1) / seats + 1 } else { 0 }
}

/// 64-bit FNV-1a hash (Fowler, Noll and Vo): the same on every host and in every release.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
}
