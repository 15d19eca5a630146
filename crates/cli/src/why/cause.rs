//! Derives the cause of a request's outcome from log lines.

use jasminestage_core::steer::refusal::RefusalReason;
use jiff::SignedDuration;
use serde::Serialize;

use super::LogLine;

/// Time before the last line of a request in which a change may have caused its outcome.
const CHANGE_LOOKBACK: SignedDuration = SignedDuration::from_secs(10);
/// Time before and after the last line of a request in which failures of other requests at the same
/// server are counted. The text of `describe_other_failures` repeats this number.
const FAILURE_WINDOW: SignedDuration = SignedDuration::from_secs(3);

/// Numbers of the log events that the cause depends on.
mod event {
    pub const ANSWERED: u64 = 360;
    pub const RETRIED: u64 = 361;
    pub const CALLER_DISCONNECTED: u64 = 363;
    pub const SERVER_ANNOUNCED: u64 = 336;
    pub const SERVER_REMOVED: u64 = 337;
    /// Start and stop of a host, and changes of its dependencies, its configuration, rollouts,
    /// evacuations and the listed hosts.
    pub const HOST_STATE_CHANGES: [u64; 12] =
        [301, 302, 310, 311, 330, 331, 332, 333, 334, 335, 339, 340];
}

/// The log lines about a request and the cause of its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Diagnosis {
    /// Lines about the request, in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that may show the cause, in order of time.
    pub context: Vec<LogLine>,
    /// The cause in a sentence or two.
    pub cause: String,
}

/// Finds the lines about a request and the cause of its outcome; `None` when no line has its id.
pub fn diagnose(log: &[LogLine], request: &str) -> Option<Diagnosis> {
    let mut lines: Vec<LogLine> =
        log.iter().filter(|line| line.str_field("request") == request).cloned().collect();
    lines.sort_by_key(|line| line.timestamp);
    let last = lines.last()?.clone();
    let mut context: Vec<LogLine> =
        log.iter().filter(|line| is_related(line, &last, request)).cloned().collect();
    context.sort_by_key(|line| line.timestamp);
    let cause = outcome_cause(&lines, &last, &context);
    Some(Diagnosis { lines, context, cause })
}

fn is_related(line: &LogLine, last: &LogLine, request: &str) -> bool {
    let server = last.str_field("server");
    let is_about_server = !server.is_empty() && line.str_field("server") == server;
    let elapsed = last.timestamp.duration_since(line.timestamp);
    let is_before = elapsed >= SignedDuration::ZERO && elapsed <= CHANGE_LOOKBACK;
    match line.event {
        event::SERVER_ANNOUNCED | event::SERVER_REMOVED => {
            is_about_server && line.source == last.source && elapsed.abs() <= CHANGE_LOOKBACK
        }
        event::ANSWERED => {
            let is_bad = line.u64_field("status") >= 500;
            is_about_server
                && is_bad
                && line.str_field("request") != request
                && elapsed.abs() <= FAILURE_WINDOW
        }
        number => {
            event::HOST_STATE_CHANGES.contains(&number) && line.source == last.source && is_before
        }
    }
}

fn outcome_cause(lines: &[LogLine], last: &LogLine, context: &[LogLine]) -> String {
    let took_ms = last.u64_field("took_ms");
    if last.event == event::CALLER_DISCONNECTED {
        return format!("The caller left after {took_ms} ms, before there was an answer.");
    }
    if last.event == event::RETRIED {
        return "The request was sent to a further server; its end is not in these logs."
            .to_owned();
    }
    let code = last.u64_field("code");
    let reason = RefusalReason::ALL.into_iter().find(|r| u64::from(r.number()) == code);
    let Some(reason) = reason else {
        return server_answer_cause(lines, last, context);
    };
    let text = reason.text().trim_end_matches('.');
    let status = last.u64_field("status");
    format!("Code {code}, status {status}: {text}. {}", refusal_detail(reason, last, context))
}

/// Returns the cause of an answer that a backend server sent.
fn server_answer_cause(lines: &[LogLine], last: &LogLine, context: &[LogLine]) -> String {
    let (server, status, took_ms) =
        (last.str_field("server"), last.u64_field("status"), last.u64_field("took_ms"));
    let expected_ms = last.u64_field("expected_ms");
    let tries = lines.iter().filter(|line| line.event == event::RETRIED).count() + 1;
    if status >= 500 {
        let other_failures = describe_other_failures(server, context);
        return format!(
            "Server '{server}' ran the request and answered {status}. {other_failures}"
        );
    }
    if tries > 1 {
        return format!(
            "Server '{server}' answered {status} at try {tries}, {took_ms} ms after the arrival."
        );
    }
    format!("Server '{server}' answered {status} in {took_ms} ms; {expected_ms} ms were expected.")
}

fn refusal_detail(reason: RefusalReason, last: &LogLine, context: &[LogLine]) -> String {
    let server = last.str_field("server");
    let has_event = |number: u64| context.iter().any(|line| line.event == number);
    match reason {
        RefusalReason::OverQuota => format!(
            "In the last window this host had admitted {} requests of workspace '{}' and the others {}; \
             {} of {} hosts were not heard and counted as if they used their part.",
            last.raw_field("used_here"),
            last.str_field("workspace"),
            last.raw_field("used_elsewhere"),
            last.u64_field("hosts_unheard"),
            last.u64_field("hosts"),
        ),
        RefusalReason::CrashingRequest => format!(
            "Crashes of servers that ran it, by incarnation: {}. The hosts that saw them have event \
             356 with the fingerprint {}.",
            last.raw_field("crashes"),
            last.str_field("fingerprint"),
        ),
        RefusalReason::NoConfiguration if has_event(310) => {
            "The host had lost the store before it read a configuration.".to_owned()
        }
        RefusalReason::NoConfiguration => "The host had only just started.".to_owned(),
        RefusalReason::NoRoute | RefusalReason::BadKey => {
            format!("Version {} of the configuration decided.", last.u64_field("configuration"))
        }
        RefusalReason::Overloaded | RefusalReason::NoServer if has_event(334) => {
            "A failure domain was evacuated before.".to_owned()
        }
        RefusalReason::Overloaded | RefusalReason::NoServer if has_event(331) => {
            "A rollout was ordered before.".to_owned()
        }
        RefusalReason::ConnectionLost if has_event(event::SERVER_REMOVED) => {
            format!("Server '{server}' was removed about then: it ended or was stopped.")
        }
        RefusalReason::TimedOut => format!(
            "Server '{server}' had not answered after {} ms; {} ms were expected with {} requests \
             there. {}",
            last.u64_field("took_ms"),
            last.u64_field("expected_ms"),
            last.raw_field("load"),
            describe_other_failures(server, context),
        ),
        RefusalReason::ConnectionLost | RefusalReason::BadAnswer | RefusalReason::Shed => {
            describe_other_failures(server, context)
        }
        _ => String::new(),
    }
}

fn describe_other_failures(server: &str, context: &[LogLine]) -> String {
    let others = context.iter().filter(|line| line.event == event::ANSWERED).count();
    match others {
        0 => format!("No other request failed at server '{server}' within 3 s."),
        1 => format!("One other request failed at server '{server}' within 3 s."),
        n => format!("{n} other requests failed at server '{server}' within 3 s."),
    }
}
