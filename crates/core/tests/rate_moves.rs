//! Each rule of loans and of changed limits by itself, with two hosts and one workspace.
//!
//! Guards against tokens that are counted twice when messages are lost, duplicated or late, or when
//! limits change while loans are outstanding, and that would let the fleet exceed a rate.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jasminestage_core::{
    control::PeerMsg,
    declaration,
    host::Incarnation,
    rate::{Holder, RateContext, RateDecision, RateLimiter, RateMsg, SettledLoan, TOKEN},
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
enum Action {
    /// Advances the time by this many milliseconds.
    Advance(u64),
    /// A number of requests arrive at a host: the host, then the number.
    Arrive(usize, usize),
    /// The callers of the requests that wait on a host abandon them.
    Abandon(usize),
    /// Delivers the messages in transit.
    Deliver,
    /// Delivers the messages in transit twice.
    DeliverTwice,
    /// Drops the messages in transit.
    Lose,
    /// Calls [`RateLimiter::tick`] of both hosts.
    Tick,
    /// Puts a declaration with this rate and burst in force on the lender.
    Apply(u32, u32),
    /// Puts a declaration in force on the lender, which has missed the one before.
    ApplyMissed(u32, u32),
    /// Reports to the lender that the declaration in force is accepted.
    Accept,
    /// Ends the authority of the lender.
    EndAuthority,
    /// The borrower returns this many whole tokens of its first loan.
    Return(u64),
}

struct Case {
    name: &'static str,
    actions: &'static [Action],
    /// Number of requests admitted by the lender and by the borrower.
    admitted: [usize; 2],
}

use Action::*;

/// The workspace starts with rate 1 and burst 10. A bucket starts empty and its capacity can be used
/// after 420 ms, so that it holds 10 tokens after 11 s.
const CASES: &[Case] = &[
    Case { name: "a new bucket is empty", actions: &[Arrive(LENDER, 1)], admitted: [0, 0] },
    Case {
        name: "a full bucket holds the burst",
        actions: &[Advance(11_000), Arrive(LENDER, 20)],
        admitted: [10, 0],
    },
    Case {
        name: "a loan moves tokens",
        actions: &[
            Advance(11_000),
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
        name: "the tokens of a lost grant are not used",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Advance(100),
            Arrive(LENDER, 20),
        ],
        admitted: [9, 0],
    },
    Case {
        name: "a duplicate request and a duplicate grant count once",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            DeliverTwice,
            DeliverTwice,
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 1],
    },
    Case {
        name: "a duplicate request gets one loan",
        actions: &[Advance(11_000), Arrive(BORROWER, 1), DeliverTwice, Lose, Arrive(LENDER, 20)],
        admitted: [9, 0],
    },
    Case {
        name: "a grant that arrives after the expiry of the loan is dropped",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Advance(400),
            Deliver,
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 0],
    },
    Case {
        name: "borrowed tokens can be used by another request",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Advance(300),
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 1],
    },
    Case {
        name: "borrowed tokens expire",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Advance(400),
            Arrive(BORROWER, 1),
        ],
        admitted: [0, 0],
    },
    Case {
        name: "the borrower does not use tokens that it has returned",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Abandon(BORROWER),
            Deliver,
            Advance(320),
            Tick,
            Arrive(BORROWER, 1),
            Deliver,
            Arrive(LENDER, 20),
        ],
        admitted: [9, 0],
    },
    Case {
        name: "the capacity of a loan is not refilled before it expires",
        actions: &[
            Advance(20_000),
            Apply(100, 10),
            Accept,
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Advance(425),
            Arrive(LENDER, 20),
        ],
        admitted: [9, 0],
    },
    Case {
        name: "the capacity of a loan is refilled after it expires",
        actions: &[
            Advance(20_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Advance(1420),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "returned tokens can be used again",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Return(1),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "a loan is returned once",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Arrive(LENDER, 9),
            Return(1),
            Return(1),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "no more tokens are returned than were lent",
        actions: &[
            Advance(11_000),
            Arrive(BORROWER, 1),
            Deliver,
            Lose,
            Arrive(LENDER, 9),
            Return(9),
            Arrive(LENDER, 20),
        ],
        admitted: [10, 0],
    },
    Case {
        name: "a smaller burst takes effect at once",
        actions: &[Advance(11_000), Apply(1, 3), Arrive(LENDER, 20)],
        admitted: [3, 0],
    },
    Case {
        name: "a larger burst has no effect before it is accepted",
        actions: &[Advance(11_000), Apply(1, 20), Advance(60_000), Arrive(LENDER, 30)],
        admitted: [10, 0],
    },
    Case {
        name: "a larger burst takes effect when it is accepted and old loans have expired",
        actions: &[Advance(11_000), Apply(1, 20), Accept, Advance(11_000), Arrive(LENDER, 30)],
        admitted: [20, 0],
    },
    Case {
        name: "added capacity is blocked while old loans may be in use",
        actions: &[Advance(11_000), Apply(100, 20), Accept, Advance(415), Arrive(LENDER, 30)],
        admitted: [10, 0],
    },
    Case {
        name: "of two changes that are not accepted the smaller one applies",
        actions: &[Advance(11_000), Apply(1, 3), Apply(1, 20), Advance(60_000), Arrive(LENDER, 30)],
        admitted: [3, 0],
    },
    Case {
        name: "after a missed change nothing is admitted before it is accepted",
        actions: &[Advance(11_000), ApplyMissed(1, 10), Advance(60_000), Arrive(LENDER, 30)],
        admitted: [0, 0],
    },
    Case {
        name: "after a missed change that is accepted the bucket starts empty",
        actions: &[Advance(11_000), ApplyMissed(1, 10), Accept, Advance(5_000), Arrive(LENDER, 30)],
        admitted: [4, 0],
    },
    Case {
        name: "without authority a bucket admits and lends nothing",
        actions: &[
            Advance(11_000),
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
        actions: &[
            Advance(11_000),
            Arrive(LENDER, 10),
            Advance(800),
            Arrive(LENDER, 1),
            Advance(200),
            Tick,
        ],
        admitted: [11, 0],
    },
];

struct TwoHosts {
    now: Instant,
    hosts: Vec<RateLimiter>,
    flights: SlotMap<FlightKey, ()>,
    waiting: [Vec<FlightKey>; 2],
    /// Receivers and messages.
    in_transit: Vec<(usize, RateMsg)>,
    context: RateContext,
    admitted: [usize; 2],
}

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8], 7000).into()
}

fn declare(rate: u32, burst: u32) -> Arc<declaration::Declaration> {
    let text = format!(
        "[region r]\n[domain d]\nregion = r\nseats = 1\n[workspace w]\nrate = {rate}\nburst = {burst}\n"
    );
    Arc::new(declaration::parse(&text).expect("the declaration is valid"))
}

impl TwoHosts {
    fn new() -> Self {
        let now = Instant::from_millis(1000);
        let context = RateContext {
            accepted: 1,
            limits_revision: 1,
            previous_limits_revision: 0,
            declaration: declare(1, 10),
            domain: "d".into(),
            seat: Some(0),
            authority_until: Instant::MAX,
            holders: HashMap::new(),
        };
        let hosts = (0..2).map(|n| RateLimiter::new(Incarnation(n))).collect();
        let mut two_hosts = TwoHosts {
            now,
            hosts,
            flights: SlotMap::default(),
            waiting: [Vec::new(), Vec::new()],
            in_transit: Vec::new(),
            context,
            admitted: [0, 0],
        };
        two_hosts.hosts[LENDER].install(now, &two_hosts.context);
        let holders = HashMap::from([(
            ("d".to_owned(), 0),
            Holder { incarnation: Incarnation(0), address: address(LENDER) },
        )]);
        let borrower_context = RateContext { seat: None, holders, ..two_hosts.context.clone() };
        two_hosts.hosts[BORROWER].install(now, &borrower_context);
        two_hosts
    }

    fn perform(&mut self, action: Action) {
        match action {
            Advance(millis) => self.now = self.now + Duration::from_millis(millis),
            Arrive(host, count) => (0..count).for_each(|_| self.arrive(host)),
            Abandon(host) => {
                for flight in std::mem::take(&mut self.waiting[host]) {
                    self.hosts[host].remove_request(flight, "w");
                }
            }
            Deliver => self.deliver(1),
            DeliverTwice => self.deliver(2),
            Lose => self.in_transit.clear(),
            Tick => self.hosts.iter_mut().for_each(|h| h.tick(self.now)),
            Apply(rate, burst) => self.apply(rate, burst, 0),
            ApplyMissed(rate, burst) => self.apply(rate, burst, 1),
            Accept => {
                self.context.accepted = self.context.limits_revision;
                self.hosts[LENDER].install(self.now, &self.context);
            }
            EndAuthority => {
                self.context.authority_until = self.now;
                self.hosts[LENDER].install(self.now, &self.context);
            }
            Return(tokens) => {
                let settled = vec![SettledLoan { request_number: 1, unused: tokens * TOKEN }];
                let borrower = Incarnation(BORROWER as u64);
                let msg = RateMsg::ReturnLoans { borrower, workspace: "w".into(), settled };
                self.hosts[LENDER].handle_message(self.now, address(BORROWER), &msg);
            }
        }
        self.process_outboxes();
    }

    fn apply(&mut self, rate: u32, burst: u32, missed_changes: u64) {
        self.context.previous_limits_revision = self.context.limits_revision + missed_changes;
        self.context.limits_revision += 1 + missed_changes;
        self.context.declaration = declare(rate, burst);
        self.hosts[LENDER].install(self.now, &self.context);
    }

    fn arrive(&mut self, host: usize) {
        let flight = self.flights.insert(());
        self.take(host, flight);
    }

    fn take(&mut self, host: usize, flight: FlightKey) {
        let deadline = self.now + Duration::from_secs(1);
        match self.hosts[host].take(self.now, flight, "w", deadline) {
            RateDecision::Allowed => self.admitted[host] += 1,
            RateDecision::Wait(_) => self.waiting[host].push(flight),
            RateDecision::Refused(code) => {
                assert!(matches!(code, Code::OverRate | Code::AuthorityEnded), "{code}");
            }
        }
    }

    fn deliver(&mut self, times: usize) {
        for (to, msg) in std::mem::take(&mut self.in_transit) {
            let from = address(1 - to);
            (0..times).for_each(|_| self.hosts[to].handle_message(self.now, from, &msg));
        }
    }

    /// Processes the messages and wakes that the hosts have queued.
    fn process_outboxes(&mut self) {
        for host in [LENDER, BORROWER] {
            let mut outbox = Outbox::default();
            self.hosts[host].drain_into(&mut outbox);
            assert!(outbox.events.is_empty(), "{:?}", outbox.events);
            for (_, msg) in outbox.sends {
                let PeerMsg::Rate(msg) = msg else { continue };
                self.in_transit.push((1 - host, msg));
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
        let mut two_hosts = TwoHosts::new();
        case.actions.iter().for_each(|action| two_hosts.perform(*action));
        assert_eq!(two_hosts.admitted, case.admitted, "{}", case.name);
    }
}
