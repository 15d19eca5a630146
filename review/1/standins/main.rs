//! Stand-ins that the cases share, and the choice of a case. Usage: `lab CASE RECORD`; `TROUBLE=0` leaves out the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod config;
mod host;
mod http;
mod json;
#[path = "../case.rs"]
mod lapse;
#[path = "../../2/case.rs"]
mod readers;
mod record;
mod server;
mod store;
#[path = "../../3/case.rs"]
mod uploads;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

pub enum Verdict {
    Broken(String),
    Held(String),
    CannotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: lab CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Arc::new(Record::new());
    let verdict = match case.as_str() {
        "lapse" => lapse::play(&record, has_trouble),
        "readers" => readers::play(&record, has_trouble),
        "uploads" => uploads::play(&record, has_trouble),
        other => Verdict::CannotRun(format!("there is no case '{other}'")),
    };
    let (text, code) = match verdict {
        Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
        Verdict::Held(text) => (format!("held: {text}"), 0),
        Verdict::CannotRun(text) => (format!("could not run: {text}"), 2),
    };
    record.line(&text);
    record.write(path);
    println!("{text}");
    ExitCode::from(code)
}
