//! At most once: what the owner of an id says, and what a host says that passes a request on.

mod fleet;

use std::sync::Arc;

use jasminestage_core::{
    declaration,
    host::Incarnation,
    once::{Answer, IdSecret, Limits, RequestId, RunKey, Table, table},
    result::Code,
    time::Instant,
    traffic::{FlightKey, Origin, Outcome, Passed, Request, Step, Traffic},
};

use fleet::{Life, SECRET, UNIX, booking, uuid7};

const ME: Life = Life { number: 0, domain: 0, incarnation: Incarnation(10) };
const OTHER: Life = Life { number: 1, domain: 1, incarnation: Incarnation(11) };
const DEAD: Incarnation = Incarnation(12);
const START: Instant = Instant::from_millis(100_000);
/// End of the ids, in milliseconds after the start of the clock.
const END: u64 = 220_000;
const SENT: Outcome = Outcome::Answered(200);

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
    // The buckets of a new host start empty.
    host.install(START, Arc::new(fleet::view(&declaration(), ME, &[ME, OTHER], &seats, 1, 1)));
    host
}

fn issued(owner: Incarnation, end: u64) -> String {
    RequestId { owner, nonce: 1, end: UNIX + end }.seal(&SECRET)
}

/// What a host answers, without keys of flights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Said {
    Sent,
    Parked,
    Passed { fresh: bool },
    Repeated,
    Code(Code),
}

fn said(step: &Step) -> (Said, Option<FlightKey>) {
    match step {
        Step::Send { flight, .. } => (Said::Sent, Some(*flight)),
        Step::Park { flight, .. } => (Said::Parked, Some(*flight)),
        Step::Pass { flight, fresh, .. } => (Said::Passed { fresh: *fresh }, Some(*flight)),
        Step::Repeat(_) => (Said::Repeated, None),
        Step::Reply(code) => (Said::Code(*code), None),
    }
}

enum Act {
    /// A caller tries; flights are numbered in the order of the tries.
    Try { key: &'static str, fingerprint: u64 },
    /// The flight's try ends.
    Finish(usize, Outcome),
    /// The parked flight goes on.
    Resume(usize),
    /// Milliseconds pass.
    Wait(u64),
}

const TRY: Act = Act::Try { key: "key", fingerprint: 1 };

struct OwnerCase {
    name: &'static str,
    acts: &'static [(Act, Option<Said>)],
}

const OWNER_CASES: &[OwnerCase] = &[
    OwnerCase {
        name: "a resend while running waits and gets the same answer",
        acts: &[
            (TRY, Some(Said::Sent)),
            (TRY, Some(Said::Parked)),
            (Act::Finish(0, SENT), Some(Said::Code(Code::Done))),
            (Act::Resume(1), Some(Said::Repeated)),
        ],
    },
    OwnerCase {
        name: "a resend after the end gets the stored answer",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, SENT), Some(Said::Code(Code::Done))),
            (TRY, Some(Said::Repeated)),
        ],
    },
    OwnerCase {
        name: "a resend that waits past its deadline is told so",
        acts: &[
            (TRY, Some(Said::Sent)),
            (TRY, Some(Said::Parked)),
            (Act::Wait(2000), None),
            (Act::Resume(1), Some(Said::Code(Code::StillRunning))),
        ],
    },
    OwnerCase {
        name: "a lost connection is never tried again",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, Outcome::ConnectionLost), Some(Said::Code(Code::ConnectionLost))),
            (TRY, Some(Said::Code(Code::ConnectionLost))),
        ],
    },
    OwnerCase {
        name: "a run past its deadline stays unknown",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, Outcome::TimedOut), Some(Said::Code(Code::DeadlineAfterStart))),
            (TRY, Some(Said::Code(Code::DeadlineAfterStart))),
        ],
    },
    OwnerCase {
        name: "an answer to another request stays unknown",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, Outcome::BadAnswer), Some(Said::Code(Code::BadAnswer))),
            (TRY, Some(Said::Code(Code::BadAnswer))),
        ],
    },
    OwnerCase {
        name: "a server that sheds has been sent the request",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, Outcome::Answered(503)), Some(Said::Code(Code::Done))),
            (TRY, Some(Said::Repeated)),
        ],
    },
    OwnerCase {
        name: "a try of which no byte was sent frees the id",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, Outcome::ConnectFailed), Some(Said::Sent)),
            (Act::Finish(0, Outcome::ConnectFailed), Some(Said::Code(Code::NoServer))),
            (TRY, Some(Said::Sent)),
        ],
    },
    OwnerCase {
        name: "a waiting resend runs when the first try was not sent",
        acts: &[
            (TRY, Some(Said::Sent)),
            (TRY, Some(Said::Parked)),
            (Act::Finish(0, Outcome::ConnectFailed), Some(Said::Sent)),
            (Act::Finish(0, Outcome::ConnectFailed), Some(Said::Code(Code::NoServer))),
            (Act::Resume(1), Some(Said::Sent)),
        ],
    },
    OwnerCase {
        name: "two workspaces with one id do not share an answer",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, SENT), Some(Said::Code(Code::Done))),
            (Act::Try { key: "other", fingerprint: 1 }, Some(Said::Sent)),
        ],
    },
    OwnerCase {
        name: "an id with another body is refused",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Try { key: "key", fingerprint: 2 }, Some(Said::Code(Code::RequestIdReused))),
        ],
    },
    OwnerCase {
        name: "an id past its end is never run",
        acts: &[
            (TRY, Some(Said::Sent)),
            (Act::Finish(0, SENT), Some(Said::Code(Code::Done))),
            (Act::Wait(60_000), None),
            (TRY, Some(Said::Repeated)),
            (Act::Wait(61_000), None),
            (Act::Try { key: "other", fingerprint: 1 }, Some(Said::Code(Code::RequestIdExpired))),
            (TRY, Some(Said::Code(Code::RequestIdExpired))),
        ],
    },
];

#[test]
fn the_owner_runs_an_id_once() {
    for case in OWNER_CASES {
        let (mut host, mut now, mut flights) = (host(), START, Vec::new());
        let id = issued(ME.incarnation, END);
        for (number, (act, expected)) in case.acts.iter().enumerate() {
            let step = match act {
                Act::Try { key, fingerprint } => {
                    let req = Request { fingerprint: *fingerprint, ..booking(&id, key) };
                    let step = host.begin(now, &req);
                    flights.extend(said(&step).1);
                    step
                }
                Act::Finish(flight, outcome) => {
                    if matches!(outcome, Outcome::Answered(_)) {
                        host.keep(flights[*flight], &Arc::default());
                    }
                    host.finish(now, flights[*flight], *outcome)
                }
                Act::Resume(flight) => host.resume(now, flights[*flight]),
                Act::Wait(millis) => {
                    now = now + std::time::Duration::from_millis(*millis);
                    continue;
                }
            };
            assert_eq!(Some(said(&step).0), *expected, "{}, act {number}", case.name);
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
    fn passed(self) -> Passed {
        match self {
            Call::NotReached => Passed::NotReached,
            Call::Lost => Passed::Lost,
            Call::TimedOut => Passed::TimedOut,
            Call::NotOwner => Passed::NotOwner,
            Call::Answered => Passed::Ended(Code::Done, Some(Arc::new(Answer::default()))),
            Call::Ended(code) => Passed::Ended(code, None),
        }
    }
}

/// A host passes a try to the owner, or cannot.
struct PassCase {
    name: &'static str,
    owner: Incarnation,
    calls: &'static [Call],
    /// What is said when the caller states that this is its first try.
    first: Said,
    /// What is said otherwise.
    later: Said,
}

const PASS_CASES: &[PassCase] = &[
    PassCase {
        name: "the owner answers",
        owner: OTHER.incarnation,
        calls: &[Call::Answered],
        first: Said::Repeated,
        later: Said::Repeated,
    },
    PassCase {
        name: "the owner refuses",
        owner: OTHER.incarnation,
        calls: &[Call::Ended(Code::OverRate)],
        first: Said::Code(Code::OverRate),
        later: Said::Code(Code::OverRate),
    },
    PassCase {
        name: "the owner is not reached",
        owner: OTHER.incarnation,
        calls: &[Call::NotReached],
        first: Said::Code(Code::OwnerUnreachable),
        later: Said::Code(Code::EarlierTryUnknown),
    },
    PassCase {
        name: "a new life has the owner's address",
        owner: OTHER.incarnation,
        calls: &[Call::NotOwner],
        first: Said::Code(Code::OwnerUnreachable),
        later: Said::Code(Code::OwnerGone),
    },
    PassCase {
        name: "the owner is not heard",
        owner: DEAD,
        calls: &[],
        first: Said::Code(Code::OwnerUnreachable),
        later: Said::Code(Code::OwnerGone),
    },
    PassCase {
        name: "a silent connection, then the answer on a new one",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::Answered],
        first: Said::Repeated,
        later: Said::Repeated,
    },
    PassCase {
        name: "the owner dies between two passes",
        owner: OTHER.incarnation,
        calls: &[Call::Lost, Call::NotReached],
        first: Said::Code(Code::OwnerSilent),
        later: Said::Code(Code::OwnerSilent),
    },
    PassCase {
        name: "the owner is replaced between two passes",
        owner: OTHER.incarnation,
        calls: &[Call::Lost, Call::NotOwner],
        first: Said::Code(Code::OwnerGone),
        later: Said::Code(Code::OwnerGone),
    },
    PassCase {
        name: "the owner refuses the second pass while the first may be under way",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::Ended(Code::OverRate)],
        first: Said::Code(Code::EarlierTryUnknown),
        later: Said::Code(Code::EarlierTryUnknown),
    },
    PassCase {
        name: "the owner stays silent",
        owner: OTHER.incarnation,
        calls: &[Call::TimedOut, Call::TimedOut],
        first: Said::Code(Code::OwnerSilent),
        later: Said::Code(Code::OwnerSilent),
    },
];

#[test]
fn a_host_that_passes_a_try_on_says_only_what_it_knows() {
    for case in PASS_CASES {
        for (first_try, expected) in [(true, case.first), (false, case.later)] {
            let mut host = host();
            let id = issued(case.owner, END);
            let origin = Origin { first_try, passed: None };
            let mut step = host.begin_from(START, &booking(&id, "key"), &origin);
            for (number, call) in case.calls.iter().enumerate() {
                let (now_said, flight) = said(&step);
                let fresh = number > 0;
                assert_eq!(now_said, Said::Passed { fresh }, "{}, call {number}", case.name);
                let flight = flight.expect("a passed request is in flight");
                step = host.passed(START, flight, call.passed());
            }
            assert_eq!(said(&step).0, expected, "{}, first try: {first_try}", case.name);
            assert_eq!(host.in_flight(), 0, "{}", case.name);
        }
    }
}

struct IdCase {
    name: &'static str,
    id: fn() -> String,
    said: Said,
}

const ID_CASES: &[IdCase] = &[
    IdCase { name: "valid", id: || issued(ME.incarnation, END), said: Said::Sent },
    IdCase {
        name: "made with another secret",
        id: || {
            let id = RequestId { owner: ME.incarnation, nonce: 1, end: UNIX + END };
            id.seal(&IdSecret::new([8; 32]))
        },
        said: Said::Code(Code::BadRequestId),
    },
    IdCase {
        name: "with another end",
        id: || {
            let mine = issued(ME.incarnation, END);
            let other = issued(ME.incarnation, END - 1);
            mine[..46].to_owned() + &other[46..]
        },
        said: Said::Code(Code::BadRequestId),
    },
    IdCase {
        name: "past its end",
        id: || issued(ME.incarnation, 100_000),
        said: Said::Code(Code::RequestIdExpired),
    },
    IdCase {
        name: "with an end too far ahead",
        id: || issued(ME.incarnation, 223_000),
        said: UNKNOWN,
    },
    IdCase { name: "empty", id: String::new, said: Said::Code(Code::BadRequestId) },
    IdCase {
        name: "a UUID of version 4",
        id: || "6f1c2b52-6a2e-4b6e-9c52-0d6d6bb0f3a1".to_owned(),
        said: Said::Code(Code::BadRequestId),
    },
    IdCase {
        name: "the caller's own, ahead of the clock",
        id: || uuid7(UNIX + 103_000, 1),
        said: UNKNOWN,
    },
];

#[test]
fn nobody_can_make_up_an_id() {
    for case in ID_CASES {
        let step = host().begin(START, &booking(&(case.id)(), "key"));
        assert_eq!(said(&step).0, case.said, "{}", case.name);
    }
}

/// A caller's own id at a host that took its seat over, or saw the declared domains change.
struct TakeoverCase {
    name: &'static str,
    /// Revision by which the host holds its seat, 0 when it may not use it.
    since: u64,
    accepted: u64,
    domains: usize,
    /// When the id was made, against the moment of the change, in milliseconds.
    made: i64,
    first: Said,
    later: Said,
}

const UNKNOWN: Said = Said::Code(Code::EarlierTryUnknown);
const UNREACHABLE: Said = Said::Code(Code::OwnerUnreachable);

const TAKEOVER_CASES: &[TakeoverCase] = &[
    TakeoverCase {
        name: "no change",
        since: 1,
        accepted: 1,
        domains: 1,
        made: -1000,
        first: Said::Sent,
        later: Said::Sent,
    },
    TakeoverCase {
        name: "an id made before the seat was taken over",
        since: 2,
        accepted: 2,
        domains: 1,
        made: -1,
        first: UNREACHABLE,
        later: UNKNOWN,
    },
    TakeoverCase {
        name: "an id made within the clock error after it",
        since: 2,
        accepted: 2,
        domains: 1,
        made: 3000,
        first: UNREACHABLE,
        later: UNKNOWN,
    },
    TakeoverCase {
        name: "an id made after it",
        since: 2,
        accepted: 2,
        domains: 1,
        made: 3001,
        first: Said::Sent,
        later: Said::Sent,
    },
    TakeoverCase {
        name: "the change of the declared domains is not accepted yet",
        since: 1,
        accepted: 1,
        domains: 2,
        made: 3001,
        first: UNREACHABLE,
        later: UNKNOWN,
    },
    TakeoverCase {
        name: "the seat may not be used",
        since: 0,
        accepted: 2,
        domains: 1,
        made: 3001,
        first: UNREACHABLE,
        later: UNKNOWN,
    },
    TakeoverCase {
        name: "an id made after the declared domains changed",
        since: 1,
        accepted: 2,
        domains: 2,
        made: 3001,
        first: Said::Sent,
        later: Said::Sent,
    },
    TakeoverCase {
        name: "the declared domains have changed",
        since: 1,
        accepted: 2,
        domains: 2,
        made: -1,
        first: UNREACHABLE,
        later: UNKNOWN,
    },
];

#[test]
fn a_new_owner_runs_no_id_made_before_it_was_one() {
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
            let made = (UNIX + 100_000).strict_add_signed(case.made);
            let now = START + std::time::Duration::from_millis(case.made.max(0) as u64);
            let mine = |id: &String| {
                let key = RunKey::new("w", "book", id);
                jasminestage_core::once::owner::seat(&after, key) == Some(("d0", 0))
            };
            let id = (0..64).map(|n| uuid7(made, n << 8)).find(mine).expect("one maps to d0");
            let origin = Origin { first_try, passed: None };
            let step = host.begin_from(now, &booking(&id, "key"), &origin);
            assert_eq!(said(&step).0, expected, "{}, first try: {first_try}", case.name);
        }
    }
}

struct BoundCase {
    name: &'static str,
    limits: Limits,
    runs: u8,
    full: usize,
    not_kept: usize,
}

const BOUND_CASES: &[BoundCase] = &[
    BoundCase {
        name: "a full memory refuses new ids and forgets none",
        limits: Limits { ids: 3, answer_bytes: 1_000_000 },
        runs: 5,
        full: 2,
        not_kept: 0,
    },
    BoundCase {
        name: "the oldest answers are dropped, their ids stay",
        limits: Limits { ids: 100, answer_bytes: 3 * 1100 },
        runs: 5,
        full: 0,
        not_kept: 2,
    },
];

#[test]
fn the_memory_of_ids_is_bounded() {
    for case in BOUND_CASES {
        let mut table = Table::new(case.limits.clone());
        let answer = Arc::new(Answer { body: vec![0; 1000], ..Answer::default() });
        let key = |n| RunKey([n; 16]);
        let mut full = 0;
        for n in 0..case.runs {
            match table.begin(1, key(n), 100, 0) {
                table::Begin::Run => {
                    drop(table.end(key(n), true, Code::Done, Some(Arc::clone(&answer))))
                }
                table::Begin::Full => full += 1,
                other => panic!("{}: {other:?}", case.name),
            }
        }
        assert_eq!(
            table.begin(1, key(0), 100, 0),
            if full > 0 { table::Begin::Full } else { table::Begin::Broken },
            "{}: no second run",
            case.name
        );
        let looks = (0..case.runs).filter_map(|n| table.look(key(n), 0, FlightKey::default()));
        let not_kept = looks.filter(|l| *l == table::Begin::Ended(Code::AnswerNotKept)).count();
        assert_eq!((full, not_kept), (case.full, case.not_kept), "{}", case.name);
        assert!(table.answer_bytes() <= case.limits.answer_bytes, "{}", case.name);
        table.expire(99);
        assert_eq!(table.len(), usize::from(case.runs) - full, "{}: none early", case.name);
        table.expire(100);
        assert_eq!((table.len(), table.answer_bytes()), (0, 0), "{}: all at the end", case.name);
    }
}
