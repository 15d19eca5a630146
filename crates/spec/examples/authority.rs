//! Checks the authority model with the given bounds.
//!
//! `cargo run --release -p jasminestage-spec --example authority -- [AUTHORITY_TICKS] [LAST_TICK]
//! [MAX_REVISIONS]`

use std::env::args;

use jasminestage_spec::authority::{A0, C0, Model, ProofSource, check};

fn main() {
    let argument = |index: usize, default: u8| {
        args().nth(index).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (authority_ticks, last_tick, max_revisions) =
        (argument(1, 1), argument(2, 2), argument(3, 3));
    for proof_source in [ProofSource::Reads, ProofSource::Votes] {
        for subject in [A0, C0] {
            let explored = check(&Model {
                subject,
                proof_source,
                authority_ticks,
                last_tick,
                max_revisions,
                ..Model::default()
            });
            let violation = explored.counterexample.map(|(_, description)| description);
            println!(
                "{proof_source:?}, host {subject}: {} states, counterexample: {violation:?}",
                explored.expanded_states
            );
        }
    }
}
