//! Writes a burn report of made-up counts to the file given, to look at its page and its plots.

use jasminestage_cli::report;
use jasminestage_core::{
    burn::{AnswerClass, BurnCounters, merge},
    declaration,
    time::Instant,
};

/// Seconds of the made-up history: three days and a half.
const SECONDS: u64 = 302_400;
/// Seconds between two requests of a workspace.
const STEP: u64 = 5;
const DECLARATION: &str = include_str!("../../../samples/vaska.ini");

fn main() -> std::io::Result<()> {
    let declaration = declaration::parse(DECLARATION).expect("the sample is valid");
    let (mut burn, mut now) = (BurnCounters::default(), Instant::ZERO);
    let mut record = |at: u64, route: &str, workspace: &str, one_in: u64| {
        now = Instant::from_millis(at * 1000);
        let scattered = at * 2_654_435_761 % 4_294_967_296;
        let is_bad = one_in > 0 && scattered.is_multiple_of(one_in);
        let verdict = if is_bad { AnswerClass::Bad } else { AnswerClass::Good };
        burn.record(now, route, workspace, verdict);
    };
    for at in (0..SECONDS).step_by(STEP as usize) {
        let day = at * 8 / SECONDS;
        // An outage of the third half-day, and one that has just begun.
        let rota = if day == 5 { 60 } else { 2500 };
        record(at, "rota-desk", "riga-conservators", rota);
        record(at, "rota-desk", "liepaja-parishes", 900);
        let crew = if at + 2400 > SECONDS { 5 } else { 3000 };
        record(at, "crew-desk", "riga-conservators", crew);
        record(at, "ledger-desk", "cesis-museums", 0);
    }
    let report = merge(&[burn.counts(now, "k1", &declaration)]);
    println!("{}", report::text::text(&report));
    match std::env::args().nth(1) {
        Some(path) => std::fs::write(path, report::html::page(&report, "a made-up history")),
        None => Ok(()),
    }
}
