//! A request that crashes each server it runs on must be quarantined before it takes down the
//! fleet; requests that only happened to be in flight on those servers must not be.

mod fleet;

use std::sync::Arc;

use jasminestage_core::{
    crash::{Fingerprint, ServerCrash, Suspects, suspects::QUARANTINE_DURATION},
    declaration,
    host::Incarnation,
    result::Code,
    time::Instant,
    traffic::{Outcome, Request, Step, Traffic},
};

use fleet::{HostSpec, booking};

const CRASHER: Fingerprint = 1;
const BYSTANDER: Fingerprint = 2;
const OTHER: Fingerprint = 3;

enum Report {
    /// Time in milliseconds, the crashed server, the request in flight, and the host that observed
    /// it.
    Crashed(u64, &'static str, Fingerprint, u64),
    /// Time in milliseconds, and the request that got a complete answer.
    Answered(u64, Fingerprint),
}

use Report::{Answered, Crashed};

struct Case {
    name: &'static str,
    reports: &'static [Report],
    /// Time of the check, in milliseconds.
    at: u64,
    quarantined: &'static [Fingerprint],
}

const CASES: &[Case] = &[
    Case { name: "one crash", reports: &[Crashed(0, "s1", CRASHER, 1)], at: 1, quarantined: &[] },
    Case {
        name: "two servers",
        reports: &[Crashed(0, "s1", CRASHER, 1), Crashed(400, "s2", CRASHER, 1)],
        at: 401,
        quarantined: &[CRASHER],
    },
    Case {
        name: "one crash observed by two hosts",
        reports: &[Crashed(0, "s1", CRASHER, 1), Crashed(3, "s1", CRASHER, 2)],
        at: 4,
        quarantined: &[],
    },
    Case {
        name: "a late duplicate of a report",
        reports: &[Crashed(0, "s1", CRASHER, 1), Crashed(4000, "s1", CRASHER, 1)],
        at: 4001,
        quarantined: &[],
    },
    Case {
        name: "one server that restarted and crashed again",
        reports: &[Crashed(0, "s1", CRASHER, 1), Crashed(6000, "s1", CRASHER, 1)],
        at: 6001,
        quarantined: &[CRASHER],
    },
    Case {
        name: "the request common to two crashes among others",
        reports: &[
            Crashed(0, "s1", CRASHER, 1),
            Crashed(0, "s1", BYSTANDER, 1),
            Crashed(400, "s2", CRASHER, 1),
            Crashed(400, "s2", OTHER, 1),
        ],
        at: 401,
        quarantined: &[CRASHER],
    },
    Case {
        name: "servers that crash together from another cause",
        reports: &[
            Crashed(0, "s1", BYSTANDER, 1),
            Crashed(0, "s3", OTHER, 1),
            Crashed(100, "s2", BYSTANDER, 1),
        ],
        at: 101,
        quarantined: &[],
    },
    Case {
        name: "a third crash while other servers crash",
        reports: &[
            Crashed(0, "s1", CRASHER, 1),
            Crashed(0, "s3", OTHER, 1),
            Crashed(100, "s2", CRASHER, 1),
            Crashed(200, "s4", CRASHER, 1),
        ],
        at: 201,
        quarantined: &[CRASHER],
    },
    Case {
        name: "an answer between two crashes",
        reports: &[
            Crashed(0, "s1", BYSTANDER, 1),
            Answered(100, BYSTANDER),
            Crashed(60_000, "s2", BYSTANDER, 1),
        ],
        at: 60_001,
        quarantined: &[],
    },
    Case {
        name: "an answer does not clear a quarantined request",
        reports: &[
            Crashed(0, "s1", CRASHER, 1),
            Crashed(1, "s2", CRASHER, 1),
            Answered(2, CRASHER),
        ],
        at: 3,
        quarantined: &[CRASHER],
    },
    Case {
        name: "the end of the quarantine",
        reports: &[Crashed(0, "s1", CRASHER, 1), Crashed(1, "s2", CRASHER, 1)],
        at: 60_002,
        quarantined: &[],
    },
    Case {
        name: "a late report of the second crash does not prolong the quarantine",
        reports: &[
            Crashed(0, "s1", CRASHER, 1),
            Crashed(1, "s2", CRASHER, 1),
            Crashed(300, "s2", CRASHER, 2),
        ],
        at: 60_002,
        quarantined: &[],
    },
    Case {
        name: "one crash after the quarantine quarantines again, for twice as long",
        reports: &[
            Crashed(0, "s1", CRASHER, 1),
            Crashed(1, "s2", CRASHER, 1),
            Crashed(70_000, "s3", CRASHER, 1),
        ],
        at: 189_000,
        quarantined: &[CRASHER],
    },
];

#[test]
fn only_requests_that_crash_servers_are_quarantined() {
    assert_eq!(QUARANTINE_DURATION.as_secs(), 60, "the cases depend on it");
    for case in CASES {
        let mut suspects = Suspects::default();
        for report in case.reports {
            match report {
                Crashed(at, server, fingerprint, host) => {
                    let crash = ServerCrash {
                        fingerprint: *fingerprint,
                        server: (*server).to_owned(),
                        observed_by: Incarnation(*host),
                    };
                    suspects.record_crash(Instant::from_millis(*at), &crash);
                }
                Answered(at, fingerprint) => {
                    suspects.clear(Instant::from_millis(*at), *fingerprint);
                }
            }
        }
        let at = Instant::from_millis(case.at);
        let all = [CRASHER, BYSTANDER, OTHER];
        let quarantined: Vec<_> =
            all.into_iter().filter(|f| suspects.is_quarantined(at, *f)).collect();
        assert_eq!(quarantined, case.quarantined, "{}", case.name);
    }
}

/// Hosts that exchange messages, and servers that crash whenever they run [`CRASHER`].
struct Run {
    hosts: Vec<Traffic>,
    now: Instant,
    /// Whether the first copy of each message is lost.
    lossy: bool,
    crashes: u32,
}

impl Run {
    fn new(hosts: usize, lossy: bool) -> Run {
        let declaration = Arc::new(
            declaration::parse(&fleet::declaration_text(hosts, 6))
                .expect("the declaration is valid"),
        );
        let specs: Vec<_> = (0..hosts)
            .map(|number| HostSpec {
                number,
                domain: number,
                incarnation: Incarnation(10 + number as u64),
            })
            .collect();
        let seats: Vec<_> = specs.iter().map(|spec| (*spec, 1)).collect();
        let now = Instant::from_millis(10_000);
        let hosts = specs.iter().map(|me| {
            let view = || fleet::view(&declaration, *me, &specs, &seats, 1, 1);
            let mut host = fleet::traffic(view(), Instant::ZERO, 0);
            host.install(now, Arc::new(view()));
            host
        });
        Run { hosts: hosts.collect(), now, lossy, crashes: 0 }
    }

    fn pass_time(&mut self, millis: u64) {
        self.now = self.now + std::time::Duration::from_millis(millis);
        for number in 0..self.hosts.len() {
            self.deliver(number, false);
            self.hosts[number].tick(self.now);
            self.deliver(number, true);
        }
    }

    fn deliver(&mut self, from: usize, repeat: bool) {
        for (to, msg) in self.hosts[from].take_outbox().sends {
            let to = usize::from(to.port()) - 100;
            if repeat || !self.lossy {
                self.hosts[to].handle_message(self.now, fleet::peer_address(from), &msg);
            }
        }
    }

    /// Sends a request to a host and drives it until it has ended.
    fn send(&mut self, host: usize, fingerprint: Fingerprint) -> Code {
        let req = Request { route: "read", id: None, fingerprint, ..booking("", "key") };
        let mut step = self.hosts[host].begin(self.now, &req);
        loop {
            step = match step {
                Step::Send { flight, .. } => {
                    let is_crash = fingerprint == CRASHER;
                    self.crashes += u32::from(is_crash);
                    let outcome =
                        if is_crash { Outcome::ConnectionLost } else { Outcome::Answered(200) };
                    self.hosts[host].finish(self.now, flight, outcome)
                }
                Step::Park { flight, until } => {
                    self.pass_time(until.saturating_since(self.now).as_millis() as u64);
                    self.hosts[host].resume(self.now, flight)
                }
                Step::Reply(code) => return code,
                other => panic!("an idempotent request is not forwarded: {other:?}"),
            };
        }
    }
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    lossy: bool,
    /// Time between two sends, in milliseconds.
    interval_ms: u64,
    crashes: u32,
}

const FLEET_CASES: &[FleetCase] = &[
    FleetCase { name: "one host", hosts: 1, lossy: false, interval_ms: 1, crashes: 2 },
    FleetCase { name: "three hosts in turn", hosts: 3, lossy: false, interval_ms: 1, crashes: 2 },
    FleetCase {
        name: "each first message lost",
        hosts: 3,
        lossy: true,
        interval_ms: 300,
        crashes: 2,
    },
];

#[test]
fn a_request_that_is_sent_repeatedly_crashes_two_servers() {
    for case in FLEET_CASES {
        let mut run = Run::new(case.hosts, case.lossy);
        let mut codes = Vec::new();
        for n in 0..10 {
            codes.push(run.send(n % case.hosts, CRASHER));
            run.pass_time(case.interval_ms);
        }
        assert_eq!(run.crashes, case.crashes, "{}: {codes:?}", case.name);
        assert_eq!(codes[9], Code::Quarantined, "{}", case.name);
        assert_eq!(run.send(0, BYSTANDER), Code::Done, "{}", case.name);
    }
}

/// Guards against two suspects on one server: its crash would count against both of them, although only
/// one caused it.
#[test]
fn two_suspects_are_not_tried_on_one_server() {
    let mut run = Run::new(1, false);
    let mut begin = |fingerprint| {
        let req = Request { route: "read", id: None, fingerprint, ..booking("", "key") };
        match run.hosts[0].begin(run.now, &req) {
            Step::Send { flight, address, .. } => (flight, address),
            other => panic!("it is sent: {other:?}"),
        }
    };
    let suspects = [begin(CRASHER), begin(BYSTANDER)];
    let background: Vec<_> = (100..134).map(&mut begin).collect();
    let crashed = suspects.map(|(_, address)| address);
    // One server has less load than all others, so it would be chosen for both suspects.
    let idle =
        background.iter().map(|(_, a)| *a).find(|a| !crashed.contains(a)).expect("there is one");
    for (flight, _) in background.iter().filter(|(_, address)| *address == idle) {
        run.hosts[0].finish(run.now, *flight, Outcome::Answered(200));
    }
    for (flight, _) in suspects {
        let step = run.hosts[0].finish(run.now, flight, Outcome::ConnectionLost);
        assert!(matches!(step, Step::Park { .. }), "held until the report has spread: {step:?}");
    }
    run.pass_time(20);
    let addresses = suspects.map(|(flight, _)| match run.hosts[0].resume(run.now, flight) {
        Step::Send { address, .. } => address,
        other => panic!("it is tried again: {other:?}"),
    });
    assert_eq!(addresses[0], idle);
    assert_ne!(addresses[1], idle);
}
