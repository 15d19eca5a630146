//! Prints a burn report of synthetic requests and, with a path as argument, writes its HTML page
//! there, to check the page and its plots by eye.

use jasminestage_cli::report;
use jasminestage_core::{
    burn::{AnswerClass, BurnCounters, merge},
    declaration,
    time::Instant,
};

/// Length of the synthetic history: three and a half days, longer than the longest plot.
const HISTORY_SECONDS: u64 = 302_400;
/// Time between two requests of a workspace.
const REQUEST_INTERVAL_SECONDS: u64 = 5;
const DECLARATION: &str = include_str!("../../../samples/vaska.ini");

fn main() -> std::io::Result<()> {
    let declaration = declaration::parse(DECLARATION).expect("the sample is valid");
    let (mut burn, mut now) = (BurnCounters::default(), Instant::ZERO);
    let mut record = |second: u64, route: &str, workspace: &str, bad_one_in: u64| {
        now = Instant::from_millis(second * 1000);
        let pseudo_random = second * 2_654_435_761 % 4_294_967_296;
        let is_bad = bad_one_in > 0 && pseudo_random.is_multiple_of(bad_one_in);
        let class = if is_bad { AnswerClass::Bad } else { AnswerClass::Good };
        burn.record(now, route, workspace, class);
    };
    for second in (0..HISTORY_SECONDS).step_by(REQUEST_INTERVAL_SECONDS as usize) {
        let eighth = second * 8 / HISTORY_SECONDS;
        // An outage of one route in the sixth eighth of the history, and one of another route in
        // its last 40 minutes.
        let rota_bad_one_in = if eighth == 5 { 60 } else { 2500 };
        record(second, "rota-desk", "riga-conservators", rota_bad_one_in);
        record(second, "rota-desk", "liepaja-parishes", 900);
        let crew_bad_one_in = if second + 2400 > HISTORY_SECONDS { 5 } else { 3000 };
        record(second, "crew-desk", "riga-conservators", crew_bad_one_in);
        record(second, "ledger-desk", "cesis-museums", 0);
    }
    let burn_report = merge(&[burn.counts(now, "k1", &declaration)]);
    println!("{}", report::text::format_table(&burn_report));
    match std::env::args().nth(1) {
        Some(path) => {
            std::fs::write(path, report::html::render_page(&burn_report, "synthetic requests"))
        }
        None => Ok(()),
    }
}
