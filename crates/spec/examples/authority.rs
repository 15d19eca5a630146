//! Explores the authority part with larger bounds: `authority [TICKS_OF_AUTHORITY] [LAST_TICK] [REVISIONS]`.

use std::env::args;

use jasminestage_spec::authority::{A0, C0, Rules, Source, check};

fn main() {
    let bound =
        |n: usize, default: u8| args().nth(n).and_then(|t| t.parse().ok()).unwrap_or(default);
    let (authority, end, revisions) = (bound(1, 1), bound(2, 2), bound(3, 3));
    for source in [Source::Reads, Source::Votes] {
        for subject in [A0, C0] {
            let explored =
                check(&Rules { subject, source, authority, end, revisions, ..Rules::default() });
            let found = explored.counterexample.map(|(_, name)| name);
            println!(
                "{source:?}, host {subject}: {} states, counterexample: {found:?}",
                explored.states
            );
        }
    }
}
