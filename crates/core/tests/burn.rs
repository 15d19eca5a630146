//! Burn rates: what counts as bad, what windows hold, and when an alert is raised.

use std::time::Duration;

use jasminestage_core::{
    burn::{
        Burn, Counts, HostCounts, Level, MAX_SERIES, OTHER, Report, Ring, Verdict, judge, merge,
        report::ALL,
    },
    declaration::{self, Declaration},
    result::Code,
    time::Instant,
};
use test_case::test_case;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const LATENCY: Duration = Duration::from_millis(300);

fn declared() -> Declaration {
    let text = "[route desk]\naccess = keyed\nrepeat = idempotent\nlatency = 300 ms\n\
                objective = 99.9%\n[workspace w]\nrate = 1\nburst = 1\n";
    declaration::parse(text).expect("the declaration is valid")
}

struct JudgeCase {
    code: Code,
    status: u16,
    took_ms: u64,
    verdict: Verdict,
}

const fn judged(code: Code, status: u16, took_ms: u64, verdict: Verdict) -> JudgeCase {
    JudgeCase { code, status, took_ms, verdict }
}

#[test_case(&judged(Code::Done, 200, 10, Verdict::Good); "in time")]
#[test_case(&judged(Code::Done, 200, 301, Verdict::Bad); "late")]
#[test_case(&judged(Code::Done, 404, 10, Verdict::Good); "a backend server's own answer")]
#[test_case(&judged(Code::Done, 500, 10, Verdict::Bad); "a backend server's fault")]
#[test_case(&judged(Code::NoServer, 503, 10, Verdict::Bad); "no server")]
#[test_case(&judged(Code::ConnectionLost, 502, 10, Verdict::Bad); "lost")]
#[test_case(&judged(Code::KeyUnknown, 401, 10, Verdict::Exempt); "wrong key")]
#[test_case(&judged(Code::OverRate, 429, 10, Verdict::Exempt); "over rate")]
#[test_case(&judged(Code::OverRate, 429, 9000, Verdict::Exempt); "over rate and late")]
fn answers_are_judged(case: &JudgeCase) {
    let took = Duration::from_millis(case.took_ms);
    assert_eq!(judge(case.code, case.status, took, LATENCY), case.verdict);
}

struct RingCase {
    /// Minutes at which a good answer is counted.
    at: &'static [u64],
    /// Minute of the question.
    asked: u64,
    /// Answers in the last five minutes and in all.
    sums: (u32, u32),
}

#[test_case(&RingCase { at: &[], asked: 9, sums: (0, 0) }; "empty")]
#[test_case(&RingCase { at: &[9, 9, 9], asked: 9, sums: (3, 3) }; "the present slot")]
#[test_case(&RingCase { at: &[1, 5, 9], asked: 9, sums: (2, 3) }; "older slots")]
#[test_case(&RingCase { at: &[0, 1, 61], asked: 61, sums: (1, 1) }; "slots that were passed")]
#[test_case(&RingCase { at: &[2, 60], asked: 61, sums: (1, 2) }; "the oldest slot")]
#[test_case(&RingCase { at: &[5], asked: 64, sums: (0, 1) }; "asked late")]
#[test_case(&RingCase { at: &[5], asked: 65, sums: (0, 0) }; "asked too late")]
#[test_case(&RingCase { at: &[5, 5000], asked: 5000, sums: (1, 1) }; "a long silence")]
fn a_ring_holds_the_latest_slots(case: &RingCase) {
    let mut ring = Ring::new(MINUTE, 60);
    let minute = |n: u64| Instant::ZERO + MINUTE * n as u32;
    for at in case.at {
        ring.add(minute(*at), true);
    }
    let now = minute(case.asked);
    let sums = (ring.sum(now, MINUTE * 5).good, ring.sum(now, HOUR).good);
    assert_eq!(sums, case.sums);
}

struct AlertCase {
    /// Spans of time from the start: minutes, then one bad answer in so many (0: none).
    spans: &'static [(u64, u64)],
    level: Level,
}

// One answer a second; 99.9% allows one bad answer in a thousand.
#[test_case(&AlertCase { spans: &[(60, 0)], level: Level::Ok }; "no fault")]
#[test_case(&AlertCase { spans: &[(60, 2000)], level: Level::Ok }; "half the rate allowed")]
#[test_case(&AlertCase { spans: &[(60, 60)], level: Level::Page }; "fast burn")]
#[test_case(&AlertCase {
    spans: &[(60, 60), (10, 0)], level: Level::Page,
}; "over, and the long rule still sees it")]
#[test_case(&AlertCase {
    spans: &[(60, 60), (60, 0)], level: Level::Ticket,
}; "long over")]
#[test_case(&AlertCase {
    spans: &[(6 * 60, 140)], level: Level::Page,
}; "slow burn over hours")]
#[test_case(&AlertCase {
    spans: &[(24 * 60, 500)], level: Level::Ticket,
}; "slow burn over a day")]
fn alerts_need_a_long_and_a_short_window(case: &AlertCase) {
    let (mut burn, mut now) = (Burn::default(), Instant::ZERO);
    for (minutes, one_in) in case.spans {
        for second in 1..=minutes * 60 {
            now = now + Duration::from_secs(1);
            let is_bad = *one_in > 0 && second % one_in == 0;
            let verdict = if is_bad { Verdict::Bad } else { Verdict::Good };
            burn.record(now, "desk", "w", verdict);
        }
    }
    let report = merge(&[burn.counts(now, "h", &declared())]);
    assert_eq!(row(&report, "w").level, case.level, "{:?}", row(&report, "w").burn);
}

fn row<'r>(report: &'r Report, workspace: &str) -> &'r jasminestage_core::burn::Row {
    report.rows.iter().find(|r| r.counts.workspace == workspace).expect("the workspace has a row")
}

#[test]
fn a_few_bad_answers_of_a_quiet_route_raise_nothing() {
    let mut burn = Burn::default();
    for _ in 0..2 {
        burn.record(Instant::ZERO, "desk", "w", Verdict::Bad);
    }
    let report = merge(&[burn.counts(Instant::ZERO, "h", &declared())]);
    assert_eq!(row(&report, "w").level, Level::Ok);
    assert!(row(&report, "w").budget_left < 0.0);
}

#[test]
fn the_counts_of_hosts_add_up_by_age() {
    let now = Instant::ZERO + HOUR;
    let counts = |good: u32, ago: Duration| -> HostCounts {
        let mut burn = Burn::default();
        for _ in 0..good {
            burn.record(now - ago, "desk", "w", Verdict::Good);
        }
        burn.counts(now, "h", &declared())
    };
    let report = merge(&[counts(3, Duration::ZERO), counts(4, MINUTE * 10)]);
    for workspace in ["w", ALL] {
        let row = row(&report, workspace);
        let totals = row.counts.windows.map(|c| c.good);
        assert_eq!(totals, [3, 7, 7, 7, 7, 7], "{workspace}");
        assert_eq!(row.counts.minutes[10], Counts { good: 4, bad: 0 }, "{workspace}");
        assert_eq!(row.budget_left, 1.0, "{workspace}");
    }
}

#[test]
fn series_are_bounded_and_forgotten_with_the_declaration() {
    let mut burn = Burn::default();
    for n in 0..MAX_SERIES + 10 {
        burn.record(Instant::ZERO, "desk", &format!("w{n}"), Verdict::Good);
    }
    burn.record(Instant::ZERO, "desk", "w0", Verdict::Good);
    let declaration = declared();
    let counts = burn.counts(Instant::ZERO, "h", &declaration);
    assert_eq!(counts.series.len(), MAX_SERIES, "those under {OTHER} have no objective");
    burn.install(&declaration);
    assert!(burn.counts(Instant::ZERO, "h", &declaration).series.is_empty());
}
