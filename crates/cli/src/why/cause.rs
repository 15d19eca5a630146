//! The cause of a request's outcome.

use jasminestage_core::steer::refusal::RefusalReason;
use jiff::SignedDuration;
use serde::Serialize;

use super::Line;

/// Time before an answer in which changes may have caused it.
const BEFORE: SignedDuration = SignedDuration::from_secs(10);
/// Time around an answer in which other requests show the state of a server.
const AROUND: SignedDuration = SignedDuration::from_secs(3);

/// Numbers of events that are used here.
mod event {
    pub const ANSWERED: u64 = 360;
    pub const SENT_AGAIN: u64 = 361;
    pub const CALLER_LEFT: u64 = 363;
    pub const SERVER_ANNOUNCED: u64 = 336;
    pub const SERVER_GONE: u64 = 337;
    /// Changes of what a host believes or depends on.
    pub const BELIEFS: [u64; 12] = [301, 302, 310, 311, 330, 331, 332, 333, 334, 335, 339, 340];
}

/// What the logs say about one request.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Lines about the request, by time.
    pub lines: Vec<Line>,
    /// Lines that may have to do with it, by time.
    pub context: Vec<Line>,
    /// The cause in a sentence.
    pub cause: String,
}

/// Finds the lines about a request and their cause; `None` when no line names it.
pub fn explain(log: &[Line], request: &str) -> Option<Finding> {
    let mut lines: Vec<Line> =
        log.iter().filter(|line| line.text("request") == request).cloned().collect();
    lines.sort_by_key(|line| line.at);
    let last = lines.last()?.clone();
    let mut context: Vec<Line> =
        log.iter().filter(|line| is_related(line, &last, request)).cloned().collect();
    context.sort_by_key(|line| line.at);
    let cause = cause(&lines, &last, &context);
    Some(Finding { lines, context, cause })
}

fn is_related(line: &Line, last: &Line, request: &str) -> bool {
    let server = last.text("server");
    let about_server = !server.is_empty() && line.text("server") == server;
    let since = last.at.duration_since(line.at);
    let is_before = since >= SignedDuration::ZERO && since <= BEFORE;
    match line.event {
        event::SERVER_ANNOUNCED | event::SERVER_GONE => {
            about_server && line.source == last.source && since.abs() <= BEFORE
        }
        event::ANSWERED => {
            let is_bad = line.number("status") >= 500;
            about_server && is_bad && line.text("request") != request && since.abs() <= AROUND
        }
        number => event::BELIEFS.contains(&number) && line.source == last.source && is_before,
    }
}

fn cause(lines: &[Line], last: &Line, context: &[Line]) -> String {
    let took = last.number("took_ms");
    if last.event == event::CALLER_LEFT {
        return format!("The caller left after {took} ms, before there was an answer.");
    }
    if last.event == event::SENT_AGAIN {
        return "The request was sent to a further server; its end is not in these logs."
            .to_owned();
    }
    let code = last.number("code");
    let reason = RefusalReason::ALL.into_iter().find(|r| u64::from(r.number()) == code);
    let Some(reason) = reason else {
        return delivered(lines, last, context);
    };
    let text = reason.text().trim_end_matches('.');
    let status = last.number("status");
    format!("Code {code}, status {status}: {text}. {}", detail(reason, last, context))
}

/// The cause of an answer that a server gave.
fn delivered(lines: &[Line], last: &Line, context: &[Line]) -> String {
    let (server, status, took) =
        (last.text("server"), last.number("status"), last.number("took_ms"));
    let expected = last.number("expected_ms");
    let tries = lines.iter().filter(|line| line.event == event::SENT_AGAIN).count() + 1;
    if status >= 500 {
        let more = others_failed(server, context);
        return format!("Server '{server}' ran the request and answered {status}. {more}");
    }
    if tries > 1 {
        return format!(
            "Server '{server}' answered {status} at try {tries}, {took} ms after the arrival."
        );
    }
    format!("Server '{server}' answered {status} in {took} ms; {expected} ms were expected.")
}

fn detail(reason: RefusalReason, last: &Line, context: &[Line]) -> String {
    let server = last.text("server");
    let happened = |number: u64| context.iter().any(|line| line.event == number);
    match reason {
        RefusalReason::OverQuota => format!(
            "In the last window this host had admitted {} requests of workspace '{}' and the others {}; \
             {} of {} hosts were not heard and counted as if they used their part.",
            last.value("used_here"),
            last.text("workspace"),
            last.value("used_elsewhere"),
            last.number("hosts_unheard"),
            last.number("hosts"),
        ),
        RefusalReason::NoConfiguration if happened(310) => {
            "The host had lost the store before it read a configuration.".to_owned()
        }
        RefusalReason::NoConfiguration => "The host had only just started.".to_owned(),
        RefusalReason::NoRoute | RefusalReason::BadKey => {
            format!("Version {} of the configuration decided.", last.number("configuration"))
        }
        RefusalReason::Overloaded | RefusalReason::NoServer if happened(334) => {
            "A failure domain was evacuated before.".to_owned()
        }
        RefusalReason::Overloaded | RefusalReason::NoServer if happened(331) => {
            "A rollout was ordered before.".to_owned()
        }
        RefusalReason::ConnectionLost if happened(event::SERVER_GONE) => {
            format!("Server '{server}' was removed about then: it ended or was stopped.")
        }
        RefusalReason::TimedOut => format!(
            "Server '{server}' had not answered after {} ms; {} ms were expected with {} requests \
             there. {}",
            last.number("took_ms"),
            last.number("expected_ms"),
            last.value("load"),
            others_failed(server, context),
        ),
        RefusalReason::ConnectionLost | RefusalReason::BadAnswer | RefusalReason::Shed => {
            others_failed(server, context)
        }
        _ => String::new(),
    }
}

fn others_failed(server: &str, context: &[Line]) -> String {
    let others = context.iter().filter(|line| line.event == event::ANSWERED).count();
    match others {
        0 => format!("No other request failed at server '{server}' within 3 s."),
        1 => format!("One other request failed at server '{server}' within 3 s."),
        n => format!("{n} other requests failed at server '{server}' within 3 s."),
    }
}
