//! At-most-once execution at the owner of a request id, and at a host that forwards to the owner.
//!
//! Guards against a request that runs twice when its caller sends it again, and against a host that
//! reports "not run" although an earlier try may have run elsewhere.

mod fleet;

use std::sync::Arc;

use jasminestage_core::{
    declaration,
    host::Incarnation,
    once::{Answer, DedupKey, DedupLimits, DedupTable, IdSecret, RequestId, table},
    result::Code,
    time::Instant,
    traffic::{FlightKey, ForwardOutcome, Origin, Outcome, Request, Step, Traffic},
};

use fleet::{HostSpec, SECRET, START_UNIX_MS, booking, uuid7};

const ME: HostSpec = HostSpec { number: 0, domain: 0, incarnation: Incarnation(10) };
const OTHER: HostSpec = HostSpec { number: 1, domain: 1, incarnation: Incarnation(11) };
const GONE_HOST: Incarnation = Incarnation(12);
const START: Instant = Instant::from_millis(100_000);
/// Expiry of the issued ids, in milliseconds after the start of the clock.
const ID_EXPIRY_MS: u64 = 220_000;
const ANSWERED: Outcome = Outcome::Answered(200);

fn declaration() -> Arc<declaration::Declaration> {
    Arc::new(declaration::parse(&fleet::declaration_text(2, 2)).expect("the declaration is valid"))
}

fn host() -> Traffic {
    let seats = [(ME, 1), (OTHER, 1)];
    let mut host = fleet::traffic(
        fleet::view(&declaration(), ME, &[ME, OTHER], &seats, 1, 1),
        Instant::ZERO,
        0,
    );
    // Token buckets of a new host start empty.
    host.install(START, Arc::new(fleet::view(&declaration(), ME, &[ME, OTHER], &seats, 1, 1)));
    host
}

fn issued_id(owner: Incarnation, end: u64) -> String {
    RequestId { owner, nonce: 1, expires_at: START_UNIX_MS + end }.sign(&SECRET)
}

/// Decision of a host, without flight keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Sent,
    Parked,
    Forwarded { new_connection: bool },
    Replayed,
    Code(Code),
}

fn decision_of(step: &Step) -> (Decision, Option<FlightKey>) {
    match step {
        Step::Send { flight, .. } => (Decision::Sent, Some(*flight)),
        Step::Park { flight, .. } => (Decision::Parked, Some(*flight)),
        Step::Forward { flight, new_connection, .. } => {
            (Decision::Forwarded { new_connection: *new_connection }, Some(*flight))
        }
        Step::ReplayAnswer(_) => (Decision::Replayed, None),
        Step::Reply(code) => (Decision::Code(*code), None),
    }
}

enum Action {
    /// A caller sends a try; flights are numbered in the order of the tries.
    Try { key: &'static str, fingerprint: u64 },
    /// The try of the flight with this number ends.
    Finish(usize, Outcome),
    /// The parked flight with this number is resumed.
    Resume(usize),
    /// This many milliseconds pass.
    Wait(u64),
}

const TRY: Action = Action::Try { key: "key", fingerprint: 1 };

struct OwnerCase {
    name: &'static str,
    actions: &'static [(Action, Option<Decision>)],
}

const OWNER_CASES: &[OwnerCase] = &[
    OwnerCase {
        name: "a resend while running waits and gets the same answer",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (TRY, Some(Decision::Parked)),
            (Action::Finish(0, ANSWERED), Some(Decision::Code(Code::Done))),
            (Action::Resume(1), Some(Decision::Replayed)),
        ],
    },
    OwnerCase {
        name: "a resend after the end gets the stored answer",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, ANSWERED), Some(Decision::Code(Code::Done))),
            (TRY, Some(Decision::Replayed)),
        ],
    },
    OwnerCase {
        name: "a resend that waits past its deadline ends as still running",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (TRY, Some(Decision::Parked)),
            (Action::Wait(2000), None),
            (Action::Resume(1), Some(Decision::Code(Code::StillRunning))),
        ],
    },
    OwnerCase {
        name: "a lost connection is never tried again",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (
                Action::Finish(0, Outcome::ConnectionLost),
                Some(Decision::Code(Code::ConnectionLost)),
            ),
            (TRY, Some(Decision::Code(Code::ConnectionLost))),
        ],
    },
    OwnerCase {
        name: "the outcome of a run past its deadline stays unknown",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, Outcome::TimedOut), Some(Decision::Code(Code::DeadlineAfterStart))),
            (TRY, Some(Decision::Code(Code::DeadlineAfterStart))),
        ],
    },
    OwnerCase {
        name: "the outcome after an answer to another request stays unknown",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, Outcome::BadAnswer), Some(Decision::Code(Code::BadAnswer))),
            (TRY, Some(Decision::Code(Code::BadAnswer))),
        ],
    },
    OwnerCase {
        name: "a server that sheds has received the request",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, Outcome::Answered(503)), Some(Decision::Code(Code::Done))),
            (TRY, Some(Decision::Replayed)),
        ],
    },
    OwnerCase {
        name: "a try of which no byte was sent frees the id",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, Outcome::ConnectFailed), Some(Decision::Sent)),
            (Action::Finish(0, Outcome::ConnectFailed), Some(Decision::Code(Code::NoServer))),
            (TRY, Some(Decision::Sent)),
        ],
    },
    OwnerCase {
        name: "a waiting resend runs when the first try was not sent",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (TRY, Some(Decision::Parked)),
            (Action::Finish(0, Outcome::ConnectFailed), Some(Decision::Sent)),
            (Action::Finish(0, Outcome::ConnectFailed), Some(Decision::Code(Code::NoServer))),
            (Action::Resume(1), Some(Decision::Sent)),
        ],
    },
    OwnerCase {
        name: "two workspaces with one id do not share an answer",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, ANSWERED), Some(Decision::Code(Code::Done))),
            (Action::Try { key: "other", fingerprint: 1 }, Some(Decision::Sent)),
        ],
    },
    OwnerCase {
        name: "an id with another body is refused",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (
                Action::Try { key: "key", fingerprint: 2 },
                Some(Decision::Code(Code::RequestIdReused)),
            ),
        ],
    },
    OwnerCase {
        name: "an expired id is never run",
        actions: &[
            (TRY, Some(Decision::Sent)),
            (Action::Finish(0, ANSWERED), Some(Decision::Code(Code::Done))),
            (Action::Wait(60_000), None),
            (TRY, Some(Decision::Replayed)),
            (Action::Wait(61_000), None),
            (
                Action::Try { key: "other", fingerprint: 1 },
                Some(Decision::Code(Code::RequestIdExpired)),
            ),
            (TRY, Some(Decision::Code(Code::RequestIdExpired))),
        ],
    },
];

#[test]
fn the_owner_runs_an_id_once() {
    for case in OWNER_CASES {
        let (mut host, mut now, mut flights) = (host(), START, Vec::new());
        let id = issued_id(ME.incarnation, ID_EXPIRY_MS);
        for (number, (action, expected)) in case.actions.iter().enumerate() {
            let step = match action {
                Action::Try { key, fingerprint } => {
                    let req = Request { fingerprint: *fingerprint, ..booking(&id, key) };
                    let step = host.begin(now, &req);
                    flights.extend(decision_of(&step).1);
                    step
                }
                Action::Finish(flight, outcome) => {
                    if matches!(outcome, Outcome::Answered(_)) {
                        host.store_answer(flights[*flight], &Arc::default());
                    }
                    host.finish(now, flights[*flight], *outcome)
                }
                Action::Resume(flight) => host.resume(now, flights[*flight]),
                Action::Wait(millis) => {
                    now = now + std::time::Duration::from_millis(*millis);
                    continue;
                }
            };
            assert_eq!(Some(decision_of(&step).0), *expected, "{}, action {number}", case.name);
        }
    }
}

#[derive(Clone, Copy)]
enum Call {
    NotReached,
    Lost,
    TimedOut,
    NotOwner,
    Answered,
    Ended(Code),
}

impl Call {
    fn outcome(self) -> ForwardOutcome {
        match self {
            Call::NotReached => ForwardOutcome::NotReached,
            Call::Lost => ForwardOutcome::Lost,
            Call::TimedOut => ForwardOutcome::TimedOut,
            Call::NotOwner => ForwardOutcome::NotOwner,
            Call::Answered => ForwardOutcome::Ended(Code::Done, Some(Arc::new(Answer::default()))),
            Call::Ended(code) => ForwardOutcome::Ended(code, None),
        }
    }
}

/// A host forwards a try to the owner of its id, or fails to.
struct ForwardCase {
    name: &'static str,
    owner: Incarnation,
    calls: &'static [Call],
    /// Decision when the caller states that this is its first try.
    first: Decision,
    /// Decision for a later try.
    later: Decision,
}

const FORWARD_CASES: &[ForwardCase] = &[
    ForwardCase {
        name: "the owner answers",
        owner: OTHER.incarnation,
        calls: &[Call::Answered],
        first: Decision::Replayed,
        later: Decision::Replayed,
    },
    ForwardCase {
        name: "the owner refuses",
        owner: OTHER.incarnation,
        calls: &[Call::Ended(Code::OverRate)],
        first: Decision::Code(Code::OverRate),
        later: Decision::Code(Code::OverRate),
    },
    ForwardCase {
        name: "the owner is not reached",
        owner: OTHER.incarnation,
        calls: &[Call::NotReached],
        first: Decision::Code(Code::OwnerUnreachable),
        later: Decision::Code(Code::EarlierTryUnknown),
    },
    ForwardCase {
        name: "a new incarnation has the owner's address",
        owner: OTHER.incarnation,
        calls: &[Call::NotOwner],
        first: Decision::Code(Code::OwnerUnreachable),
        later: Decision::Code(Code::OwnerGone),
    },
    ForwardCase {
        name: "the owner is not in the view",
        owner: GONE_HOST,
        calls: &[],
        first: Decision::Code(Code::OwnerUnreachable),
        later: Decision::Code(Code::OwnerGone),
    },
    ForwardCase {
        name: "a timeout, then the answer on a new connection",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::Answered],
        first: Decision::Replayed,
        later: Decision::Replayed,
    },
    ForwardCase {
        name: "the owner stops between two calls",
        owner: OTHER.incarnation,
        calls: &[Call::Lost, Call::NotReached],
        first: Decision::Code(Code::OwnerSilent),
        later: Decision::Code(Code::OwnerSilent),
    },
    ForwardCase {
        name: "the owner is replaced between two calls",
        owner: OTHER.incarnation,
        calls: &[Call::Lost, Call::NotOwner],
        first: Decision::Code(Code::OwnerGone),
        later: Decision::Code(Code::OwnerGone),
    },
    ForwardCase {
        name: "the owner refuses the second call while the first may be under way",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::Ended(Code::OverRate)],
        first: Decision::Code(Code::EarlierTryUnknown),
        later: Decision::Code(Code::EarlierTryUnknown),
    },
    ForwardCase {
        name: "the owner does not answer",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::TimedOut],
        first: Decision::Code(Code::OwnerSilent),
        later: Decision::Code(Code::OwnerSilent),
    },
];

#[test]
fn a_forwarding_host_reports_not_run_only_when_certain() {
    for case in FORWARD_CASES {
        for (first_try, expected) in [(true, case.first), (false, case.later)] {
            let mut host = host();
            let id = issued_id(case.owner, ID_EXPIRY_MS);
            let origin = Origin { first_try, forwarded_by: None };
            let mut step = host.begin_from(START, &booking(&id, "key"), &origin);
            for (number, call) in case.calls.iter().enumerate() {
                let (decision, flight) = decision_of(&step);
                let new_connection = number > 0;
                assert_eq!(
                    decision,
                    Decision::Forwarded { new_connection },
                    "{}, call {number}",
                    case.name
                );
                let flight = flight.expect("a forwarded request is in flight");
                step = host.finish_forward(START, flight, call.outcome());
            }
            assert_eq!(decision_of(&step).0, expected, "{}, first try: {first_try}", case.name);
            assert_eq!(host.in_flight(), 0, "{}", case.name);
        }
    }
}

struct IdCase {
    name: &'static str,
    id: fn() -> String,
    decision: Decision,
}

const ID_CASES: &[IdCase] = &[
    IdCase {
        name: "valid",
        id: || issued_id(ME.incarnation, ID_EXPIRY_MS),
        decision: Decision::Sent,
    },
    IdCase {
        name: "signed with another secret",
        id: || {
            let id = RequestId {
                owner: ME.incarnation,
                nonce: 1,
                expires_at: START_UNIX_MS + ID_EXPIRY_MS,
            };
            id.sign(&IdSecret::new([8; 32]))
        },
        decision: Decision::Code(Code::BadRequestId),
    },
    IdCase {
        name: "with another expiry",
        id: || {
            let mine = issued_id(ME.incarnation, ID_EXPIRY_MS);
            let other = issued_id(ME.incarnation, ID_EXPIRY_MS - 1);
            mine[..46].to_owned() + &other[46..]
        },
        decision: Decision::Code(Code::BadRequestId),
    },
    IdCase {
        name: "expired",
        id: || issued_id(ME.incarnation, 100_000),
        decision: Decision::Code(Code::RequestIdExpired),
    },
    IdCase {
        name: "with an expiry too far ahead",
        id: || issued_id(ME.incarnation, 223_000),
        decision: EARLIER_TRY_UNKNOWN,
    },
    IdCase { name: "empty", id: String::new, decision: Decision::Code(Code::BadRequestId) },
    IdCase {
        name: "a UUID of version 4",
        id: || "6f1c2b52-6a2e-4b6e-9c52-0d6d6bb0f3a1".to_owned(),
        decision: Decision::Code(Code::BadRequestId),
    },
    IdCase {
        name: "the caller's own, ahead of the clock",
        id: || uuid7(START_UNIX_MS + 103_000, 1),
        decision: EARLIER_TRY_UNKNOWN,
    },
];

#[test]
fn forged_and_expired_ids_are_refused() {
    for case in ID_CASES {
        let step = host().begin(START, &booking(&(case.id)(), "key"));
        assert_eq!(decision_of(&step).0, case.decision, "{}", case.name);
    }
}

/// A caller-made id at a host that took over its seat, or whose declared domains changed.
struct TakeoverCase {
    name: &'static str,
    /// Revision since which the host holds its seat, 0 when it may not use the seat.
    since: u64,
    accepted: u64,
    domains: usize,
    /// Creation time of the id relative to the change, in milliseconds.
    created_offset_ms: i64,
    first: Decision,
    later: Decision,
}

const EARLIER_TRY_UNKNOWN: Decision = Decision::Code(Code::EarlierTryUnknown);
const OWNER_UNREACHABLE: Decision = Decision::Code(Code::OwnerUnreachable);

const TAKEOVER_CASES: &[TakeoverCase] = &[
    TakeoverCase {
        name: "no change",
        since: 1,
        accepted: 1,
        domains: 1,
        created_offset_ms: -1000,
        first: Decision::Sent,
        later: Decision::Sent,
    },
    TakeoverCase {
        name: "an id created before the takeover",
        since: 2,
        accepted: 2,
        domains: 1,
        created_offset_ms: -1,
        first: OWNER_UNREACHABLE,
        later: EARLIER_TRY_UNKNOWN,
    },
    TakeoverCase {
        name: "an id created after the takeover, within clock lead and skew",
        since: 2,
        accepted: 2,
        domains: 1,
        created_offset_ms: 3000,
        first: OWNER_UNREACHABLE,
        later: EARLIER_TRY_UNKNOWN,
    },
    TakeoverCase {
        name: "an id created after the takeover",
        since: 2,
        accepted: 2,
        domains: 1,
        created_offset_ms: 3001,
        first: Decision::Sent,
        later: Decision::Sent,
    },
    TakeoverCase {
        name: "the change of the declared domains is not accepted yet",
        since: 1,
        accepted: 1,
        domains: 2,
        created_offset_ms: 3001,
        first: OWNER_UNREACHABLE,
        later: EARLIER_TRY_UNKNOWN,
    },
    TakeoverCase {
        name: "the seat may not be used",
        since: 0,
        accepted: 2,
        domains: 1,
        created_offset_ms: 3001,
        first: OWNER_UNREACHABLE,
        later: EARLIER_TRY_UNKNOWN,
    },
    TakeoverCase {
        name: "an id created after the declared domains changed",
        since: 1,
        accepted: 2,
        domains: 2,
        created_offset_ms: 3001,
        first: Decision::Sent,
        later: Decision::Sent,
    },
    TakeoverCase {
        name: "an id created before the declared domains changed",
        since: 1,
        accepted: 2,
        domains: 2,
        created_offset_ms: -1,
        first: OWNER_UNREACHABLE,
        later: EARLIER_TRY_UNKNOWN,
    },
];

#[test]
fn a_new_owner_runs_no_id_created_before_its_takeover() {
    for case in TAKEOVER_CASES {
        for (first_try, expected) in [(true, case.first), (false, case.later)] {
            let parsed =
                |n| declaration::parse(&fleet::declaration_text(n, 2)).expect("it is valid");
            let (before, after) = (Arc::new(parsed(1)), Arc::new(parsed(case.domains)));
            let start = fleet::view(&before, ME, &[ME], &[(ME, 1)], 1, 1);
            let mut host = fleet::traffic(start, Instant::ZERO, 0);
            let seats = [(ME, case.since), (OTHER, 1)];
            let mut next = fleet::view(&after, ME, &[ME], &seats, 2, case.accepted);
            next.seat = next.seat.filter(|_| case.since > 0);
            host.install(START, Arc::new(next));
            let created_at = (START_UNIX_MS + 100_000).strict_add_signed(case.created_offset_ms);
            let now =
                START + std::time::Duration::from_millis(case.created_offset_ms.max(0) as u64);
            let is_in_my_seat = |id: &String| {
                let key = DedupKey::new("w", "book", id);
                jasminestage_core::once::owner::seat_for(&after, key) == Some(("d0", 0))
            };
            let id = (0..64)
                .map(|n| uuid7(created_at, n << 8))
                .find(is_in_my_seat)
                .expect("one maps to d0");
            let origin = Origin { first_try, forwarded_by: None };
            let step = host.begin_from(now, &booking(&id, "key"), &origin);
            assert_eq!(decision_of(&step).0, expected, "{}, first try: {first_try}", case.name);
        }
    }
}

struct LimitCase {
    name: &'static str,
    limits: DedupLimits,
    runs: u8,
    refused: usize,
    dropped_answers: usize,
}

const LIMIT_CASES: &[LimitCase] = &[
    LimitCase {
        name: "a full table refuses new ids and removes none",
        limits: DedupLimits { max_ids: 3, max_answer_bytes: 1_000_000 },
        runs: 5,
        refused: 2,
        dropped_answers: 0,
    },
    LimitCase {
        name: "the oldest answers are dropped, their ids stay",
        limits: DedupLimits { max_ids: 100, max_answer_bytes: 3 * 1100 },
        runs: 5,
        refused: 0,
        dropped_answers: 2,
    },
];

#[test]
fn the_deduplication_table_is_bounded() {
    for case in LIMIT_CASES {
        let mut table = DedupTable::new(case.limits.clone());
        let answer = Arc::new(Answer { body: vec![0; 1000], ..Answer::default() });
        let key = |n| DedupKey([n; 16]);
        let mut refused = 0;
        for n in 0..case.runs {
            match table.begin(1, key(n), 100, 0) {
                table::BeginOutcome::Run => {
                    drop(table.end_run(key(n), true, Code::Done, Some(Arc::clone(&answer))))
                }
                table::BeginOutcome::Full => refused += 1,
                other => panic!("{}: {other:?}", case.name),
            }
        }
        assert_eq!(
            table.begin(1, key(0), 100, 0),
            if refused > 0 { table::BeginOutcome::Full } else { table::BeginOutcome::AlreadyKnown },
            "{}: no second run",
            case.name
        );
        let earlier_runs =
            (0..case.runs).filter_map(|n| table.join_existing(key(n), 0, FlightKey::default()));
        let dropped_answers =
            earlier_runs.filter(|l| *l == table::BeginOutcome::Ended(Code::AnswerNotKept)).count();
        assert_eq!(
            (refused, dropped_answers),
            (case.refused, case.dropped_answers),
            "{}",
            case.name
        );
        assert!(table.answer_bytes() <= case.limits.max_answer_bytes, "{}", case.name);
        table.expire(99);
        assert_eq!(table.len(), usize::from(case.runs) - refused, "{}: none early", case.name);
        table.expire(100);
        assert_eq!((table.len(), table.answer_bytes()), (0, 0), "{}: all at the end", case.name);
    }
}
