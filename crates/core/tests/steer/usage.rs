//! Usage reports: counting, the clock of the windows, and the duty under failures.

mod world;

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    host::Incarnation,
    steer::{
        position::StorePosition,
        server::AttemptOutcome,
        steering::{RequestHead, Steering},
        usage::{
            HostCounts, WindowCounts,
            clock::{ClockChange, WindowClock},
            copies::UsageCopies,
            counter::UsageCounter,
            duty::{Action, CallOutcome, Collected, Duty, DutyConfig, DutyItem, Record, Renewal},
        },
    },
};
use test_case::test_case;

use self::world::{Fault, World};
use crate::common::{at, entry, view};

const WINDOW: Duration = Duration::from_secs(5);
/// Time of day of the tests at the start of the boot-time clock, at the start of a window.
const UNIX_MS: u64 = 1_767_000_000_000;

struct ClockCase {
    /// Seconds, and milliseconds by which the time of day is ahead from then on.
    steps: &'static [(u64, i64)],
    /// Milliseconds by which the filtered time of day is ahead after 60 s.
    ahead_ms: i64,
    adopted: usize,
}

/// Fails if a clock that jumps and jumps back moves the windows, or a lasting step is not followed.
#[test_case(&ClockCase { steps: &[], ahead_ms: 0, adopted: 0 }; "steady")]
#[test_case(&ClockCase { steps: &[(5, 400)], ahead_ms: 400, adopted: 0 }; "small step")]
#[test_case(&ClockCase { steps: &[(5, 7000), (20, 0)], ahead_ms: 0, adopted: 0 }; "jumps ahead and back")]
#[test_case(&ClockCase { steps: &[(5, -7000), (30, 0)], ahead_ms: 0, adopted: 0 }; "jumps behind and back")]
#[test_case(&ClockCase { steps: &[(5, 7000), (20, -7000), (40, 7000)], ahead_ms: 0, adopted: 0 }; "jumps to different times")]
#[test_case(&ClockCase { steps: &[(5, 7000)], ahead_ms: 7000, adopted: 1 }; "a step that lasts")]
fn the_clock_follows_lasting_steps_only(case: &ClockCase) {
    let mut clock = WindowClock::new(WINDOW);
    let mut adopted = 0;
    for second in 0..=60 {
        let step = case.steps.iter().rev().find(|(from, _)| *from <= second);
        let unix_ms = (UNIX_MS + second * 1000).saturating_add_signed(step.map_or(0, |s| s.1));
        let change = clock.observe(at(second * 1000), unix_ms);
        adopted += usize::from(matches!(change, ClockChange::StepAdopted(_)));
    }
    let expected = (UNIX_MS + 60_000).saturating_add_signed(case.ahead_ms);
    assert_eq!((clock.unix_at(at(60_000)), adopted), (Some(expected), case.adopted));
}

fn counts_of(counts: &HostCounts, window: u64) -> u64 {
    let found = counts.windows.iter().find(|w| w.window == window);
    found.and_then(|w| w.counts.get("w")).copied().unwrap_or_default()
}

/// Fails if an attempt is counted in a wrong window, a removed one stays counted, or old windows are
/// kept for ever.
#[test]
fn attempts_are_counted_in_the_window_of_their_begin() {
    let mut counter = UsageCounter::new(WINDOW);
    counter.observe_time(at(0), UNIX_MS);
    let first = counter.count(at(4990), "w").expect("the time is known");
    let second = counter.count(at(5010), "w").expect("the time is known");
    counter.count(at(5020), "w");
    assert_eq!(second, first + 1);
    counter.discount(second, "w");
    let message = counter.changed_counts(at(5100), Incarnation(1));
    assert_eq!((counts_of(&message, first), counts_of(&message, second)), (1, 1));
    // Only a change brings an old window into a message again.
    let message = counter.changed_counts(at(11_000), Incarnation(1));
    assert_eq!(message.windows.iter().map(|w| w.window).collect::<Vec<_>>(), [second]);
    counter.observe_time(at(26_000), UNIX_MS + 26_000);
    assert!(counter.all_counts(Incarnation(1)).windows.is_empty());
}

struct AttemptCase {
    outcome: AttemptOutcome,
    /// Count of the workspace after the attempt has ended.
    count: u64,
}

/// Fails if an attempt that no server began is reported, or one that may have begun is not.
#[test_case(&AttemptCase { outcome: AttemptOutcome::Answered { status: 200, took: Duration::from_millis(90) }, count: 1 }; "answered")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::Answered { status: 500, took: Duration::from_millis(90) }, count: 1 }; "failed")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::TimedOut, count: 1 }; "timed out")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::Lost, count: 1 }; "lost")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::Abandoned, count: 1 }; "abandoned")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::Shed, count: 0 }; "shed")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::WrongServer, count: 0 }; "wrong server")]
#[test_case(&AttemptCase { outcome: AttemptOutcome::NotSent, count: 0 }; "not sent")]
fn attempts_count_if_a_server_may_have_begun_them(case: &AttemptCase) {
    let mut steering = Steering::new(Arc::new(view(&[])));
    steering.install_view(at(0), Arc::new(view(&[entry("s1", "lookup", "a1")])));
    steering.enable_usage(WINDOW);
    steering.observe_time(at(0), UNIX_MS);
    let head = RequestHead {
        id: "r1",
        host: "example",
        path: "/read/x",
        key: Some("key-w"),
        object: None,
        caller_timeout: Some(Duration::from_secs(3)),
    };
    let mut request = steering.admit(at(1000), &head).expect("the request is admitted");
    steering.choose_server(at(1000), &mut request).expect("a server is available");
    let window = UNIX_MS / 5000;
    let mut counted =
        || counts_of(&steering.all_usage(Incarnation(1)).expect("usage is counted"), window);
    assert_eq!(counted(), 1, "a running attempt is not counted");
    steering.finish_attempt(at(1100), &mut request, case.outcome, None);
    let counts = steering.all_usage(Incarnation(1)).expect("usage is counted");
    assert_eq!(counts_of(&counts, window), case.count);
}

/// Fails if late, repeated or reordered messages are added up, or the counts of an ended host are lost.
#[test]
fn the_newest_counts_of_each_host_are_added_up() {
    let message = |incarnation, sequence, count| HostCounts {
        incarnation: Incarnation(incarnation),
        sequence,
        windows: vec![WindowCounts { window: 100, counts: [("w".to_owned(), count)].into() }],
    };
    let mut copies = UsageCopies::default();
    for received in [message(1, 1, 3), message(1, 3, 8), message(1, 2, 5), message(2, 1, 4)] {
        copies.receive(&received);
    }
    let mut merged = UsageCopies::default();
    for received in copies.of_window(100).iter().chain(&[message(1, 2, 5)]) {
        merged.receive(received);
    }
    merged.expire(103, WINDOW);
    assert_eq!(merged.total(100)["w"], 12);
    merged.expire(104, WINDOW);
    assert!(merged.total(100).is_empty());
}

/// Fails if a window that a holder may have recorded before a restore of the store is forgotten.
#[test]
fn queries_of_another_era_are_remembered() {
    let mut copies = UsageCopies::default();
    assert!(!copies.record_query(100, 1) && !copies.record_query(100, 1));
    copies.expire(5000, WINDOW);
    assert!(copies.record_query(100, 2) && copies.record_query(100, 1));
    assert!(!copies.record_query(101, 2));
}

struct FailureCase {
    faults: &'static [(u64, Fault)],
    /// Windows that may be missing of those that end between 10 and 100 s.
    max_missing: usize,
}

const CALM: &[(u64, Fault)] = &[];

/// Fails if a failure breaks one of the rules, or costs more reports than the time without a holder
/// explains. The fleet has four hosts; host 0 gets the duty first.
#[test_case(&FailureCase { faults: CALM, max_missing: 0 }; "calm")]
#[test_case(&FailureCase { faults: &[(40_100, Fault::KillHolder)], max_missing: 1 }; "holder killed before the call")]
#[test_case(&FailureCase { faults: &[(42_600, Fault::KillHolder)], max_missing: 1 }; "holder killed after the call")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::SuspendHolder(6000))], max_missing: 1 }; "holder suspended past its lease")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::CutHolderFromStore(20_000))], max_missing: 1 }; "holder cut off from the store")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::StoreDown(12_000))], max_missing: 4 }; "store down during a window")]
#[test_case(&FailureCase { faults: &[(0, Fault::LoseWriteReplies(8000))], max_missing: 0 }; "response to the acquiring write lost")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::LoseCallReplies(4000))], max_missing: 0 }; "response to the call lost")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::LimitCalls(4000))], max_missing: 0 }; "too many calls")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::PlatformDown(5000))], max_missing: 0 }; "platform down")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::CutHolderFromPlatform(60_000))], max_missing: 8 }; "holder cut off from the platform")]
#[test_case(&FailureCase { faults: &[(30_000, Fault::StepClockOfHolder(7000, 20_000))], max_missing: 0 }; "clock of the holder ahead for a while")]
#[test_case(&FailureCase { faults: &[(20_000, Fault::StepClockOfHolder(-60_000, 60_000))], max_missing: 6 }; "clock of the holder behind")]
#[test_case(&FailureCase { faults: &[(45_100, Fault::KillAll)], max_missing: 4 }; "all hosts killed at the end of a window")]
#[test_case(&FailureCase { faults: &[(40_000, Fault::CopyStore), (46_000, Fault::RestoreStore)], max_missing: 4 }; "store restored from an older copy")]
#[test_case(&FailureCase { faults: &[(500, Fault::CopyStore), (46_000, Fault::RestoreStore)], max_missing: 4 }; "store restored from a copy without the duty")]
fn failures_break_no_rule_and_cost_few_reports(case: &FailureCase) {
    let mut world = World::new(1, 4);
    for (at_ms, fault) in case.faults {
        world.schedule(*at_ms, *fault);
    }
    world.run(120_000);
    let missing = world.missing_windows(10_000, 100_000);
    assert!(world.violations.is_empty(), "{:?}\n{}", world.violations, world.log());
    assert!(missing.len() <= case.max_missing, "missing {missing:?}\n{}", world.log());
}

/// Fails if any order of failures breaks one of the four rules.
#[test]
fn random_failures_break_no_rule() {
    let seeds = std::env::var("USAGE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let (mut accepted, mut holders) = (0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed, 4);
        world.schedule_random_faults(180_000);
        world.run(180_000);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            world.violations,
            world.log()
        );
        accepted += world.accepted_windows();
        holders += world.holder_changes();
    }
    println!("{seeds} runs: {accepted} windows accepted, {holders} changes of the holder");
    // The failures must leave enough calls to judge.
    assert!(accepted > seeds as usize * 5 && holders > seeds as usize);
}

/// Fails if a host whose renewal was answered under a lease or an item of somebody else goes on calling.
#[test_case(Renewal::LeaseEnded, false; "lease ended")]
#[test_case(Renewal::Done { era: 1, item: None }, false; "item removed")]
#[test_case(Renewal::Done { era: 1, item: Some(item(1, 12, 1)) }, false; "item created again")]
#[test_case(Renewal::Done { era: 1, item: Some(item(2, 11, 1)) }, false; "item of another host")]
#[test_case(Renewal::Done { era: 2, item: Some(item(1, 11, 2)) }, false; "same revision in another era")]
#[test_case(Renewal::Failed, true; "no response")]
#[test_case(Renewal::Done { era: 1, item: Some(item(1, 11, 1)) }, true; "renewed")]
fn a_renewal_proves_the_duty_only_with_the_own_item(renewal: Renewal, is_held: bool) {
    let mut duty = Duty::new(DutyConfig::default(), Incarnation(1));
    duty.duty_read(at(0), false, Some((1, Some(item(1, 11, 1)))), 0.0);
    let actions = duty.actions(at(10), UNIX_MS, true, false);
    assert!(actions.contains(&Action::Renew { lease: 70 }), "{actions:?}");
    duty.renewed(at(30), at(10), renewal);
    assert_eq!(duty.is_held(), is_held);
}

fn item(holder: u64, revision: u64, era: u64) -> DutyItem {
    let position = StorePosition::new(era, revision);
    DutyItem { holder: Incarnation(holder), written_era: era, position, lease: 70 }
}

/// Fails if a record that was written for an earlier era of the store is sent: another one may have
/// been lost when the store was restored.
#[test_case(2, true; "written in this era")]
#[test_case(1, false; "written before the restore")]
fn only_records_of_the_present_era_are_sent(written_era: u64, is_sent: bool) {
    let mut duty = Duty::new(DutyConfig::default(), Incarnation(1));
    let (mut now_ms, mut is_called) = (0, false);
    let window = UNIX_MS / 5000;
    duty.duty_read(at(0), false, Some((2, Some(item(1, 11, 2)))), 0.0);
    while now_ms < 12_000 {
        let now = at(now_ms);
        for action in duty.actions(now, UNIX_MS + now_ms, true, false) {
            match action {
                Action::Renew { .. } => {
                    let renewal = Renewal::Done { era: 2, item: Some(item(1, 11, 2)) };
                    duty.renewed(now, now, renewal);
                }
                Action::ReadRecords => {
                    let record = Record { written_era, report: b"{}".as_slice().into() };
                    duty.records_read(now, Some((2, vec![(window, Some(record))])), 0.0);
                }
                Action::Call { window: called, .. } => is_called |= called == window,
                _ => {}
            }
        }
        now_ms += 50;
    }
    assert_eq!(is_called, is_sent);
}

struct ReadBackCase {
    /// Report that the store has after the write; `None` if the write was not executed.
    stored: Option<&'static str>,
    /// Report that the platform gets first.
    sent: Option<&'static str>,
    /// Number of times that the record is written.
    writes: usize,
}

/// Fails if a holder sends the bytes that it tried to record instead of those that the store has.
#[test_case(&ReadBackCase { stored: Some("another"), sent: Some("another"), writes: 1 }; "another host was first")]
#[test_case(&ReadBackCase { stored: None, sent: None, writes: 2 }; "the write was not executed")]
fn only_recorded_bytes_are_sent(case: &ReadBackCase) {
    let mut duty = Duty::new(DutyConfig::default(), Incarnation(1));
    duty.observe_era(at(0), 1);
    duty.duty_read(at(0), false, Some((1, Some(item(1, 11, 1)))), 0.0);
    let (mut sent, mut writes) = (None, 0);
    let mut now_ms = 0;
    while now_ms < 9000 && writes < 2 && sent.is_none() {
        let now = at(now_ms);
        for action in duty.actions(now, UNIX_MS + now_ms, true, false) {
            match action {
                Action::Renew { .. } => {
                    let renewal = Renewal::Done { era: 1, item: Some(item(1, 11, 1)) };
                    duty.renewed(now, now, renewal);
                }
                Action::ReadRecords => duty.records_read(now, Some((1, Vec::new())), 0.0),
                Action::Collect { window, .. } => {
                    let answers = vec![("a1".to_owned(), 0)];
                    let counts = [("w".to_owned(), 7)].into();
                    let collected =
                        Collected { answers, domains: 1, counts, ..Collected::default() };
                    duty.collected(now, UNIX_MS + now_ms, window, collected);
                }
                Action::CreateRecord { window, .. } => {
                    writes += 1;
                    duty.record_created(now, window, true, 0.0);
                }
                Action::ReadRecord { window } => {
                    let record = case.stored.map(|text| {
                        Some(Record { written_era: 1, report: text.as_bytes().into() })
                    });
                    duty.record_read(now, window, Some((1, record)), 0.0);
                }
                Action::Call { report, .. } => sent = Some(report),
                _ => {}
            }
        }
        now_ms += 50;
    }
    let sent = sent.as_ref().map(|report| std::str::from_utf8(report).expect("text"));
    assert_eq!((sent, writes), (case.sent, case.writes));
}

struct AgainCase {
    /// Time at which the host has the duty again, after its first call at 3500 ms.
    again_at_ms: u64,
    /// Time after that at which the call in progress ends.
    call_end_ms: u64,
    first_call_ms: std::ops::RangeInclusive<u64>,
}

/// Fails if a host that gets the duty again calls within the lease after its own last call, also if
/// that call ends later: another host may have called between.
#[test_case(&AgainCase { again_at_ms: 3700, call_end_ms: 0, first_call_ms: 7100..=7300 }; "at once")]
#[test_case(&AgainCase { again_at_ms: 9000, call_end_ms: 0, first_call_ms: 12_500..=12_600 }; "later")]
#[test_case(&AgainCase { again_at_ms: 3700, call_end_ms: 900, first_call_ms: 8100..=8200 }; "a call in progress")]
fn a_new_duty_begins_with_a_wait(case: &AgainCase) {
    let mut duty = Duty::new(DutyConfig::default(), Incarnation(1));
    duty.duty_read(at(0), false, Some((1, Some(item(1, 11, 1)))), 0.0);
    let (mut calls, mut era, mut in_progress) = (Vec::new(), 1, None);
    let window = UNIX_MS / 5000 + 1;
    for now_ms in (0..14_000).step_by(50) {
        let now = at(now_ms);
        if now_ms == case.again_at_ms {
            era = 2;
            duty.observe_era(now, 2);
            duty.duty_read(now, false, Some((2, Some(item(1, 11, 2)))), 0.0);
        }
        let end_ms = case.again_at_ms + case.call_end_ms;
        let rejected = CallOutcome::Rejected(503);
        if let Some((window, token)) = in_progress.take_if(|_| now_ms >= end_ms) {
            duty.called(now, window, token, rejected, 0.0);
        }
        for action in duty.actions(now, UNIX_MS + now_ms, true, false) {
            match action {
                Action::Renew { .. } => {
                    let renewal = Renewal::Done { era, item: Some(item(1, 11, era)) };
                    duty.renewed(now, now, renewal);
                }
                Action::ReadRecords => {
                    let report = b"{}".as_slice();
                    let record = Record { written_era: era, report: report.into() };
                    duty.records_read(now, Some((era, vec![(window, Some(record))])), 0.0);
                }
                Action::Call { window, token, .. } => {
                    calls.push((now_ms, token >> 40));
                    if now_ms < end_ms && calls.len() == 1 && case.call_end_ms > 0 {
                        in_progress = Some((window, token));
                    } else {
                        duty.called(now, window, token, rejected, 0.0);
                    }
                }
                _ => {}
            }
        }
    }
    let first_of = |era| calls.iter().find(|(_, e)| *e == era).map(|(at_ms, _)| *at_ms);
    assert_eq!(first_of(1), Some(3500), "{calls:?}");
    let again = first_of(2).expect("a call under the new duty");
    assert!(case.first_call_ms.contains(&again), "{calls:?}");
}

/// Fails if tokens do not rise with the era and the revision, or a number in JSON cannot hold them.
#[test]
fn tokens_rise_with_era_and_revision() {
    let tokens = [item(1, 11, 1), item(1, 12, 1), item(1, 5, 2)].map(|i| i.token());
    assert!(tokens.is_sorted() && tokens[2] < 1 << 53, "{tokens:?}");
}
