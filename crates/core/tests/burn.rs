//! Burn rates: classification of answers, counts in time windows and alert rules.

use std::time::Duration;

use jasminestage_core::{
    burn::{
        AlertLevel, AnswerClass, BurnCounters, Counts, HostCounts, MAX_SERIES, OVERFLOW_SERIES,
        Report, SlotRing, classify, merge, report::ALL_WORKSPACES,
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

struct ClassCase {
    code: Code,
    status: u16,
    took_ms: u64,
    class: AnswerClass,
}

const fn class_case(code: Code, status: u16, took_ms: u64, class: AnswerClass) -> ClassCase {
    ClassCase { code, status, took_ms, class }
}

// Guards against refusals that the caller caused using up the error budget, and against failed or
// late answers that do not.
#[test_case(&class_case(Code::Done, 200, 10, AnswerClass::Good); "in time")]
#[test_case(&class_case(Code::Done, 200, 301, AnswerClass::Bad); "late")]
#[test_case(&class_case(Code::Done, 404, 10, AnswerClass::Good); "a backend server's own answer")]
#[test_case(&class_case(Code::Done, 500, 10, AnswerClass::Bad); "an error of a backend server")]
#[test_case(&class_case(Code::NoServer, 503, 10, AnswerClass::Bad); "no server")]
#[test_case(&class_case(Code::ConnectionLost, 502, 10, AnswerClass::Bad); "connection lost")]
#[test_case(&class_case(Code::KeyUnknown, 401, 10, AnswerClass::Exempt); "wrong key")]
#[test_case(&class_case(Code::OverRate, 429, 10, AnswerClass::Exempt); "over rate")]
#[test_case(&class_case(Code::OverRate, 429, 9000, AnswerClass::Exempt); "over rate and late")]
fn answers_are_classified(case: &ClassCase) {
    let took = Duration::from_millis(case.took_ms);
    assert_eq!(classify(case.code, case.status, took, LATENCY), case.class);
}

struct RingCase {
    /// Minutes at which a good answer is counted.
    at: &'static [u64],
    /// Minute at which the sums are taken.
    now: u64,
    /// Answers in the last five minutes and in the last hour.
    sums: (u32, u32),
}

// Guards against old counts that reappear when a slot is reused, and against slots counted outside
// of their window.
#[test_case(&RingCase { at: &[], now: 9, sums: (0, 0) }; "empty")]
#[test_case(&RingCase { at: &[9, 9, 9], now: 9, sums: (3, 3) }; "the current slot")]
#[test_case(&RingCase { at: &[1, 5, 9], now: 9, sums: (2, 3) }; "older slots")]
#[test_case(&RingCase { at: &[0, 1, 61], now: 61, sums: (1, 1) }; "reused slots")]
#[test_case(&RingCase { at: &[2, 60], now: 61, sums: (1, 2) }; "the oldest slot")]
#[test_case(&RingCase { at: &[5], now: 64, sums: (0, 1) }; "last minute of the hour")]
#[test_case(&RingCase { at: &[5], now: 65, sums: (0, 0) }; "past the hour")]
#[test_case(&RingCase { at: &[5, 5000], now: 5000, sums: (1, 1) }; "a long time without answers")]
fn a_ring_holds_the_latest_slots(case: &RingCase) {
    let mut ring = SlotRing::new(MINUTE, 60);
    let minute = |n: u64| Instant::ZERO + MINUTE * n as u32;
    for at in case.at {
        ring.add(minute(*at), true);
    }
    let now = minute(case.now);
    let sums = (ring.sum(now, MINUTE * 5).good, ring.sum(now, HOUR).good);
    assert_eq!(sums, case.sums);
}

struct AlertCase {
    /// Consecutive periods: length in minutes, and the number of answers of which one is bad (0 if
    /// none is).
    periods: &'static [(u64, u64)],
    level: AlertLevel,
}

// Guards against alerts that persist after a problem is over, and against slow burns that raise
// none. One answer per second; an objective of 99.9% allows one bad answer in a thousand.
#[test_case(&AlertCase { periods: &[(60, 0)], level: AlertLevel::Ok }; "no bad answers")]
#[test_case(&AlertCase { periods: &[(60, 2000)], level: AlertLevel::Ok }; "half of the allowed rate")]
#[test_case(&AlertCase { periods: &[(60, 60)], level: AlertLevel::Page }; "fast burn")]
#[test_case(&AlertCase {
    periods: &[(60, 60), (10, 0)], level: AlertLevel::Page,
}; "over, but still in the windows of six hours and 30 minutes")]
#[test_case(&AlertCase {
    periods: &[(60, 60), (60, 0)], level: AlertLevel::Ticket,
}; "over for an hour")]
#[test_case(&AlertCase {
    periods: &[(6 * 60, 140)], level: AlertLevel::Page,
}; "slow burn over hours")]
#[test_case(&AlertCase {
    periods: &[(24 * 60, 500)], level: AlertLevel::Ticket,
}; "slow burn over a day")]
fn alerts_need_a_long_and_a_short_window(case: &AlertCase) {
    let (mut burn, mut now) = (BurnCounters::default(), Instant::ZERO);
    for (minutes, one_in) in case.periods {
        for second in 1..=minutes * 60 {
            now = now + Duration::from_secs(1);
            let is_bad = *one_in > 0 && second % one_in == 0;
            let class = if is_bad { AnswerClass::Bad } else { AnswerClass::Good };
            burn.record(now, "desk", "w", class);
        }
    }
    let report = merge(&[burn.counts(now, "h", &declared())]);
    assert_eq!(row(&report, "w").level, case.level, "{:?}", row(&report, "w").burn);
}

fn row<'r>(report: &'r Report, workspace: &str) -> &'r jasminestage_core::burn::Row {
    report.rows.iter().find(|r| r.counts.workspace == workspace).expect("the workspace has a row")
}

// Guards against a page for two bad answers on a route with little traffic, where they are a high
// burn rate.
#[test]
fn a_few_bad_answers_raise_no_alert() {
    let mut burn = BurnCounters::default();
    for _ in 0..2 {
        burn.record(Instant::ZERO, "desk", "w", AnswerClass::Bad);
    }
    let report = merge(&[burn.counts(Instant::ZERO, "h", &declared())]);
    assert_eq!(row(&report, "w").level, AlertLevel::Ok);
    assert!(row(&report, "w").budget_left < 0.0);
}

// Guards against a report that adds up slots of different times: the hosts' slot lists have
// different lengths.
#[test]
fn the_counts_of_hosts_add_up_by_age() {
    let now = Instant::ZERO + HOUR;
    let counts = |good: u32, age: Duration| -> HostCounts {
        let mut burn = BurnCounters::default();
        for _ in 0..good {
            burn.record(now - age, "desk", "w", AnswerClass::Good);
        }
        burn.counts(now, "h", &declared())
    };
    let report = merge(&[counts(3, Duration::ZERO), counts(4, MINUTE * 10)]);
    for workspace in ["w", ALL_WORKSPACES] {
        let row = row(&report, workspace);
        let totals = row.counts.windows.map(|c| c.good);
        assert_eq!(totals, [3, 7, 7, 7, 7, 7], "{workspace}");
        assert_eq!(row.counts.minutes[10], Counts { good: 4, bad: 0 }, "{workspace}");
        assert_eq!(row.budget_left, 1.0, "{workspace}");
    }
}

// Guards against unbounded memory use by many names, and by names that are no longer declared.
#[test]
fn series_are_bounded_and_removed_with_the_declaration() {
    let mut burn = BurnCounters::default();
    for n in 0..MAX_SERIES + 10 {
        burn.record(Instant::ZERO, "desk", &format!("w{n}"), AnswerClass::Good);
    }
    burn.record(Instant::ZERO, "desk", "w0", AnswerClass::Good);
    let declaration = declared();
    let counts = burn.counts(Instant::ZERO, "h", &declaration);
    assert_eq!(counts.series.len(), MAX_SERIES, "those under {OVERFLOW_SERIES} have no objective");
    burn.retain_declared(&declaration);
    assert!(burn.counts(Instant::ZERO, "h", &declaration).series.is_empty());
}
