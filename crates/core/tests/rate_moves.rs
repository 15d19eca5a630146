//! Two hosts and one workspace: each rule of loans and of changes by itself.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jasminestage_core::{
    control::PeerMsg,
    declaration,
    host::Incarnation,
    rate::{Buckets, Holder, RateMsg, Settled, Standing, TOKEN, Take},
    result::Code,
    time::Instant,
    traffic::{FlightKey, Outbox},
};
use slotmap::SlotMap;

/// The host whose bucket lends.
const LENDER: usize = 0;
/// The host that holds no home.
const BORROWER: usize = 1;

#[derive(Clone, Copy, Debug)]
enum Do {
    /// Time goes by, in milliseconds; nothing else happens.
    Wait(u64),
    /// Requests arrive at a host.
    Arrive(usize, usize),
    /// The requests that wait on a host are given up by their callers.
    Abandon(usize),
    /// The messages on the way arrive.
    Deliver,
    /// The messages on the way arrive twice.
    DeliverTwice,
    /// The messages on the way are lost.
    Lose,
    /// The hosts' timers fire.
    Tick,
    /// A declaration with this rate and burst comes in force on the lender.
    Apply(u32, u32),
    /// A declaration comes in force on the lender, which has missed the one before it.
    ApplyMissed(u32, u32),
    /// The lender hears that the declaration in force is accepted.
    Accept,
    /// The lender's authority ends.
    EndAuthority,
    /// The borrower gives back this much of its first loan, in whole tokens.
    GiveBack(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Do],
    /// Requests admitted by the lender and by the borrower.
    admitted: [usize; 2],
}

use Do::*;

/// The workspace has rate 1 and burst 10 at first; a bucket starts empty and its room can be used
/// after 420 ms, so that it holds 10 tokens after 11 s.
const CASES: &[Case] = &[
    Case { name: "a new bucket is empty", steps: &[Arrive(LENDER, 1)], admitted: [0, 0] },
    Case {
        name: "a full one holds the burst",
        steps: &[Wait(11_000), Arrive(LENDER, 20)],
        admitted: [10, 0],
    },
    Case {
        name: "a loan moves tokens",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 4),
            Deliver,
            Deliver,
            Deliver,
            Deliver,
            Arrive(LENDER, 20),
        ],
        admitted: [6, 4],
    },
    Case {
        name: "a lost answer loses tokens",
        steps: &[Wait(11_000), Arrive(BORROWER, 1), Deliver, Lose, Wait(100), Arrive(LENDER, 20)],
        admitted: [9, 0],
    },
    Case {
        name: "a doubled question and a doubled answer count once",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            DeliverTwice,
            DeliverTwice,
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 1],
    },
    Case {
        name: "a doubled question is lent to once",
        steps: &[Wait(11_000), Arrive(BORROWER, 1), DeliverTwice, Lose, Arrive(LENDER, 20)],
        admitted: [9, 0],
    },
    Case {
        name: "an answer that comes after the end of the loan is dropped",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Wait(400),
            Deliver,
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 0],
    },
    Case {
        name: "borrowed tokens can be used by another request",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Wait(300),
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 1],
    },
    Case {
        name: "borrowed tokens end",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Wait(400),
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 0],
    },
    Case {
        name: "what the borrower gives back it does not use",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Wait(320),
            Tick,
            Arrive(BORROWER, 1),
            Deliver,
            Arrive(LENDER, 20),
        ],
        admitted: [9, 0],
    },
    Case {
        name: "the room of a loan is not filled before it ends",
        steps: &[
            Wait(20_000),
            Apply(100, 10),
            Accept,
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Wait(425),
            Arrive(LENDER, 20),
        ],
        admitted: [9, 0],
    },
    Case {
        name: "the room of a loan is filled after it ends",
        steps: &[Wait(20_000), Arrive(BORROWER, 1), Deliver, Lose, Wait(1420), Arrive(LENDER, 20)],
        admitted: [10, 0],
    },
    Case {
        name: "what is given back can be used again",
        steps: &[Wait(11_000), Arrive(BORROWER, 1), Deliver, Lose, GiveBack(1), Arrive(LENDER, 20)],
        admitted: [10, 0],
    },
    Case {
        name: "a loan is given back once",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Arrive(LENDER, 9),
            GiveBack(1),
            GiveBack(1),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "no more is given back than was lent",
        steps: &[
            Wait(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Arrive(LENDER, 9),
            GiveBack(9),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "a smaller burst counts at once",
        steps: &[Wait(11_000), Apply(1, 3), Arrive(LENDER, 20)],
        admitted: [3, 0],
    },
    Case {
        name: "a larger burst does not count before it is accepted",
        steps: &[Wait(11_000), Apply(1, 20), Wait(60_000), Arrive(LENDER, 30)],
        admitted: [10, 0],
    },
    Case {
        name: "a larger burst counts when it is accepted and old loans have ended",
        steps: &[Wait(11_000), Apply(1, 20), Accept, Wait(11_000), Arrive(LENDER, 30)],
        admitted: [20, 0],
    },
    Case {
        name: "room that has grown is blocked while old loans may be in use",
        steps: &[Wait(11_000), Apply(100, 20), Accept, Wait(415), Arrive(LENDER, 30)],
        admitted: [10, 0],
    },
    Case {
        name: "of two changes on their way the smaller one counts",
        steps: &[Wait(11_000), Apply(1, 3), Apply(1, 20), Wait(60_000), Arrive(LENDER, 30)],
        admitted: [3, 0],
    },
    Case {
        name: "after a missed change nothing counts before it is accepted",
        steps: &[Wait(11_000), ApplyMissed(1, 10), Wait(60_000), Arrive(LENDER, 30)],
        admitted: [0, 0],
    },
    Case {
        name: "after a missed change that is accepted the bucket starts empty",
        steps: &[Wait(11_000), ApplyMissed(1, 10), Accept, Wait(5_000), Arrive(LENDER, 30)],
        admitted: [4, 0],
    },
    Case {
        name: "without authority a bucket serves no one",
        steps: &[
            Wait(11_000),
            EndAuthority,
            Arrive(LENDER, 1),
            Arrive(BORROWER, 1),
            Deliver,
            Deliver,
        ],
        admitted: [0, 0],
    },
    Case {
        name: "a request waits for the next token",
        steps: &[Wait(11_000), Arrive(LENDER, 10), Wait(800), Arrive(LENDER, 1), Wait(200), Tick],
        admitted: [11, 0],
    },
];

struct Pair {
    now: Instant,
    hosts: Vec<Buckets>,
    flights: SlotMap<FlightKey, ()>,
    waiting: [Vec<FlightKey>; 2],
    /// Receiver and message.
    on_the_way: Vec<(usize, RateMsg)>,
    standing: Standing,
    admitted: [usize; 2],
}

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8], 7000).into()
}

fn declared(rate: u32, burst: u32) -> Arc<declaration::Declaration> {
    let text = format!(
        "[region r]\n[domain d]\nregion = r\nseats = 1\n[workspace w]\nrate = {rate}\nburst = {burst}\n"
    );
    Arc::new(declaration::parse(&text).expect("the declaration is valid"))
}

impl Pair {
    fn new() -> Self {
        let now = Instant::from_millis(1000);
        let standing = Standing {
            accepted: 1,
            declared: 1,
            declared_before: 0,
            declaration: declared(1, 10),
            domain: "d".into(),
            seat: Some(0),
            usable_until: Instant::MAX,
            holders: HashMap::new(),
        };
        let hosts = (0..2).map(|n| Buckets::new(Incarnation(n))).collect();
        let mut pair = Pair {
            now,
            hosts,
            flights: SlotMap::default(),
            waiting: [Vec::new(), Vec::new()],
            on_the_way: Vec::new(),
            standing,
            admitted: [0, 0],
        };
        pair.hosts[LENDER].install(now, &pair.standing);
        let holders = HashMap::from([(
            ("d".to_owned(), 0),
            Holder { incarnation: Incarnation(0), address: address(LENDER) },
        )]);
        let other = Standing { seat: None, holders, ..pair.standing.clone() };
        pair.hosts[BORROWER].install(now, &other);
        pair
    }

    fn perform(&mut self, step: Do) {
        match step {
            Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Arrive(host, count) => (0..count).for_each(|_| self.arrive(host)),
            Abandon(host) => {
                for flight in std::mem::take(&mut self.waiting[host]) {
                    self.hosts[host].forget(flight, "w");
                }
            }
            Deliver => self.deliver(1),
            DeliverTwice => self.deliver(2),
            Lose => self.on_the_way.clear(),
            Tick => self.hosts.iter_mut().for_each(|h| h.tick(self.now)),
            Apply(rate, burst) => self.apply(rate, burst, 0),
            ApplyMissed(rate, burst) => self.apply(rate, burst, 1),
            Accept => {
                self.standing.accepted = self.standing.declared;
                self.hosts[LENDER].install(self.now, &self.standing);
            }
            EndAuthority => {
                self.standing.usable_until = self.now;
                self.hosts[LENDER].install(self.now, &self.standing);
            }
            GiveBack(tokens) => {
                let settled = vec![Settled { number: 1, unused: tokens * TOKEN }];
                let asker = Incarnation(BORROWER as u64);
                let msg = RateMsg::Return { asker, workspace: "w".into(), settled };
                self.hosts[LENDER].hear(self.now, address(BORROWER), &msg);
            }
        }
        self.flush();
    }

    fn apply(&mut self, rate: u32, burst: u32, missed: u64) {
        self.standing.declared_before = self.standing.declared + missed;
        self.standing.declared += 1 + missed;
        self.standing.declaration = declared(rate, burst);
        self.hosts[LENDER].install(self.now, &self.standing);
    }

    fn arrive(&mut self, host: usize) {
        let flight = self.flights.insert(());
        self.take(host, flight);
    }

    fn take(&mut self, host: usize, flight: FlightKey) {
        let deadline = self.now + Duration::from_secs(1);
        match self.hosts[host].take(self.now, flight, "w", deadline) {
            Take::Taken => self.admitted[host] += 1,
            Take::Wait(_) => self.waiting[host].push(flight),
            Take::Refused(code) => {
                assert!(matches!(code, Code::OverRate | Code::AuthorityEnded), "{code}");
            }
        }
    }

    fn deliver(&mut self, times: usize) {
        for (to, msg) in std::mem::take(&mut self.on_the_way) {
            let from = address(1 - to);
            (0..times).for_each(|_| self.hosts[to].hear(self.now, from, &msg));
        }
    }

    /// Carries out what the hosts want done, as often as there is something.
    fn flush(&mut self) {
        for host in [LENDER, BORROWER] {
            let mut outbox = Outbox::default();
            self.hosts[host].drain_into(&mut outbox);
            assert!(outbox.events.is_empty(), "{:?}", outbox.events);
            for (_, msg) in outbox.sends {
                let PeerMsg::Rate(msg) = msg else { continue };
                self.on_the_way.push((1 - host, msg));
            }
            for flight in outbox.wakes {
                self.waiting[host].retain(|f| *f != flight);
                self.take(host, flight);
            }
        }
    }
}

#[test]
fn each_rule_of_loans_and_changes_holds() {
    for case in CASES {
        let mut pair = Pair::new();
        case.steps.iter().for_each(|step| pair.perform(*step));
        assert_eq!(pair.admitted, case.admitted, "{}", case.name);
    }
}
