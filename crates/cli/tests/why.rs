//! The cause of a request's outcome is derived from log lines as hosts write them.

use jasminestage_cli::why::{diagnose, read_log};
use test_case::test_case;

struct Case {
    /// Log lines of one host, without the fields that all lines share.
    lines: &'static [&'static str],
    /// Part of the sentence on the cause.
    cause: &'static str,
    /// Number of lines about the request and of lines that may show the cause.
    line_counts: (usize, usize),
}

const OVER_QUOTA: Case = Case {
    lines: &[
        r#""event":362,"request":"r","workspace":"w","code":306,"status":429,"used_here":9.0,"used_elsewhere":80.0,"hosts":10,"hosts_unheard":2"#,
    ],
    cause: "had admitted 9.0 requests of workspace 'w' and the others 80.0; 2 of 10 hosts",
    line_counts: (1, 0),
};
const CONNECTION_LOST: Case = Case {
    lines: &[
        r#""event":360,"request":"r","server":"s1","outcome":"lost","code":312,"status":502,"took_ms":90"#,
        r#""event":337,"server":"s1""#,
        r#""event":337,"server":"s2""#,
    ],
    cause: "Server 's1' was removed about then",
    line_counts: (1, 1),
};
const TIMED_OUT: Case = Case {
    lines: &[
        r#""event":360,"request":"q","server":"s1","code":314,"status":504"#,
        r#""event":360,"request":"r","server":"s1","code":314,"status":504,"took_ms":1500,"expected_ms":90,"load":2.0"#,
    ],
    cause: "had not answered after 1500 ms; 90 ms were expected with 2.0 requests there. One other",
    line_counts: (1, 1),
};
const RETRIED: Case = Case {
    lines: &[
        r#""event":361,"request":"r","before":"s1","outcome":"shed","server":"s2""#,
        r#""event":360,"request":"r","server":"s2","code":0,"status":200,"took_ms":40"#,
    ],
    cause: "Server 's2' answered 200 at try 2",
    line_counts: (2, 0),
};
const EVACUATED: Case = Case {
    lines: &[
        r#""event":334,"domain":"a1""#,
        r#""event":360,"request":"r","server":"","code":307,"status":503"#,
    ],
    cause: "A failure domain was evacuated before.",
    line_counts: (1, 1),
};
const CALLER_DISCONNECTED: Case = Case {
    lines: &[r#""event":363,"request":"r","took_ms":300"#],
    cause: "The caller left after 300 ms",
    line_counts: (1, 0),
};

#[test_case(&OVER_QUOTA; "over its quota")]
#[test_case(&CONNECTION_LOST; "lost with its server")]
#[test_case(&TIMED_OUT; "a slow server")]
#[test_case(&RETRIED; "answered by a further server")]
#[test_case(&EVACUATED; "too busy after an evacuation")]
#[test_case(&CALLER_DISCONNECTED; "its caller left")]
fn the_cause_is_reported(case: &Case) {
    let shared_fields =
        r#""timestamp":"2026-12-04T12:00:00Z","level":"INFO","message":"Something happened.""#;
    let text: String =
        case.lines.iter().map(|l| format!("host-1 {{{shared_fields},{l}}}\n")).collect();
    let lines = read_log("log", text.as_bytes()).expect("the text can be read");
    let diagnosis = diagnose(&lines, "r").expect("the request is in the log");
    assert!(diagnosis.cause.contains(case.cause), "{}", diagnosis.cause);
    assert_eq!((diagnosis.lines.len(), diagnosis.context.len()), case.line_counts, "{diagnosis:?}");
    assert!(diagnosis.lines.iter().all(|line| line.source == "host-1"));
}

#[test]
fn lines_that_are_no_events_are_skipped() {
    let text = "started\n{\"event\":1}\n{broken\n";
    assert!(read_log("log", text.as_bytes()).expect("the text can be read").is_empty());
}
