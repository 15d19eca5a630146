//! Requests that crash their server: which are condemned, and how many servers die.

mod fleet;

use std::sync::Arc;

use jasminestage_core::{
    crash::{Death, Fingerprint, Suspects, suspects::QUARANTINE},
    declaration,
    host::Incarnation,
    result::Code,
    time::Instant,
    traffic::{Outcome, Request, Step, Traffic},
};

use fleet::{Life, booking};

const CRASHER: Fingerprint = 1;
const INNOCENT: Fingerprint = 2;
const OTHER: Fingerprint = 3;

enum Act {
    /// At so many milliseconds, this server died with this request, as seen by this host.
    Died(u64, &'static str, Fingerprint, u64),
    /// The request was answered whole.
    Answered(u64, Fingerprint),
}

use Act::{Answered, Died};

struct Case {
    name: &'static str,
    acts: &'static [Act],
    /// When the verdict is asked for, in milliseconds.
    at: u64,
    condemned: &'static [Fingerprint],
}

const CASES: &[Case] = &[
    Case { name: "one death", acts: &[Died(0, "s1", CRASHER, 1)], at: 1, condemned: &[] },
    Case {
        name: "two servers",
        acts: &[Died(0, "s1", CRASHER, 1), Died(400, "s2", CRASHER, 1)],
        at: 401,
        condemned: &[CRASHER],
    },
    Case {
        name: "one death seen by two hosts",
        acts: &[Died(0, "s1", CRASHER, 1), Died(3, "s1", CRASHER, 2)],
        at: 4,
        condemned: &[],
    },
    Case {
        name: "a message that comes twice and late",
        acts: &[Died(0, "s1", CRASHER, 1), Died(4000, "s1", CRASHER, 1)],
        at: 4001,
        condemned: &[],
    },
    Case {
        name: "one server that came back and died again",
        acts: &[Died(0, "s1", CRASHER, 1), Died(6000, "s1", CRASHER, 1)],
        at: 6001,
        condemned: &[CRASHER],
    },
    Case {
        name: "the common member among innocent ones",
        acts: &[
            Died(0, "s1", CRASHER, 1),
            Died(0, "s1", INNOCENT, 1),
            Died(400, "s2", CRASHER, 1),
            Died(400, "s2", OTHER, 1),
        ],
        at: 401,
        condemned: &[CRASHER],
    },
    Case {
        name: "servers that die together from another cause",
        acts: &[Died(0, "s1", INNOCENT, 1), Died(0, "s3", OTHER, 1), Died(100, "s2", INNOCENT, 1)],
        at: 101,
        condemned: &[],
    },
    Case {
        name: "a third death among such",
        acts: &[
            Died(0, "s1", CRASHER, 1),
            Died(0, "s3", OTHER, 1),
            Died(100, "s2", CRASHER, 1),
            Died(200, "s4", CRASHER, 1),
        ],
        at: 201,
        condemned: &[CRASHER],
    },
    Case {
        name: "an answer between two deaths",
        acts: &[
            Died(0, "s1", INNOCENT, 1),
            Answered(100, INNOCENT),
            Died(60_000, "s2", INNOCENT, 1),
        ],
        at: 60_001,
        condemned: &[],
    },
    Case {
        name: "an answer does not clear a condemned one",
        acts: &[Died(0, "s1", CRASHER, 1), Died(1, "s2", CRASHER, 1), Answered(2, CRASHER)],
        at: 3,
        condemned: &[CRASHER],
    },
    Case {
        name: "the end of the quarantine",
        acts: &[Died(0, "s1", CRASHER, 1), Died(1, "s2", CRASHER, 1)],
        at: 60_002,
        condemned: &[],
    },
    Case {
        name: "a late message of the second death does not prolong it",
        acts: &[Died(0, "s1", CRASHER, 1), Died(1, "s2", CRASHER, 1), Died(300, "s2", CRASHER, 2)],
        at: 60_002,
        condemned: &[],
    },
    Case {
        name: "one death after the quarantine condemns again, for twice as long",
        acts: &[
            Died(0, "s1", CRASHER, 1),
            Died(1, "s2", CRASHER, 1),
            Died(70_000, "s3", CRASHER, 1),
        ],
        at: 189_000,
        condemned: &[CRASHER],
    },
];

#[test]
fn only_requests_that_crash_servers_are_condemned() {
    assert_eq!(QUARANTINE.as_secs(), 60, "the table counts with it");
    for case in CASES {
        let mut suspects = Suspects::default();
        for act in case.acts {
            match act {
                Died(at, server, fingerprint, host) => {
                    let death = Death {
                        fingerprint: *fingerprint,
                        server: (*server).to_owned(),
                        seen_by: Incarnation(*host),
                    };
                    suspects.died(Instant::from_millis(*at), &death);
                }
                Answered(at, fingerprint) => {
                    suspects.clear(Instant::from_millis(*at), *fingerprint);
                }
            }
        }
        let at = Instant::from_millis(case.at);
        let all = [CRASHER, INNOCENT, OTHER];
        let condemned: Vec<_> =
            all.into_iter().filter(|f| suspects.is_quarantined(at, *f)).collect();
        assert_eq!(condemned, case.condemned, "{}", case.name);
    }
}

/// Hosts that hear each other, and servers that die of the crasher.
struct Run {
    hosts: Vec<Traffic>,
    now: Instant,
    /// Whether each first copy of a message is lost.
    lossy: bool,
    deaths: u32,
}

impl Run {
    fn new(hosts: usize, lossy: bool) -> Run {
        let declaration =
            Arc::new(declaration::parse(&fleet::declaration_text(hosts, 6)).expect("it is valid"));
        let lives: Vec<_> = (0..hosts)
            .map(|number| Life {
                number,
                domain: number,
                incarnation: Incarnation(10 + number as u64),
            })
            .collect();
        let seats: Vec<_> = lives.iter().map(|l| (*l, 1)).collect();
        let now = Instant::from_millis(10_000);
        let hosts = lives.iter().map(|me| {
            let view = || fleet::view(&declaration, *me, &lives, &seats, 1, 1);
            let mut host = fleet::traffic(view(), Instant::ZERO, 0);
            host.install(now, Arc::new(view()));
            host
        });
        Run { hosts: hosts.collect(), now, lossy, deaths: 0 }
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
                self.hosts[to].hear(self.now, fleet::peer_address(from), &msg);
            }
        }
    }

    /// Sends a request to a host and carries it to its end.
    fn send(&mut self, host: usize, fingerprint: Fingerprint) -> Code {
        let req = Request { route: "read", id: None, fingerprint, ..booking("", "key") };
        let mut step = self.hosts[host].begin(self.now, &req);
        loop {
            step = match step {
                Step::Send { flight, .. } => {
                    let dies = fingerprint == CRASHER;
                    self.deaths += u32::from(dies);
                    let outcome =
                        if dies { Outcome::ConnectionLost } else { Outcome::Answered(200) };
                    self.hosts[host].finish(self.now, flight, outcome)
                }
                Step::Park { flight, until } => {
                    self.pass_time(until.saturating_since(self.now).as_millis() as u64);
                    self.hosts[host].resume(self.now, flight)
                }
                Step::Reply(code) => return code,
                other => panic!("a request that may repeat is not passed on: {other:?}"),
            };
        }
    }
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    lossy: bool,
    /// Milliseconds between two sends.
    pause: u64,
    deaths: u32,
}

const FLEET_CASES: &[FleetCase] = &[
    FleetCase { name: "one host", hosts: 1, lossy: false, pause: 1, deaths: 2 },
    FleetCase { name: "three hosts in turn", hosts: 3, lossy: false, pause: 1, deaths: 2 },
    FleetCase { name: "each first message lost", hosts: 3, lossy: true, pause: 300, deaths: 2 },
];

#[test]
fn a_request_that_is_sent_again_and_again_kills_two_servers() {
    for case in FLEET_CASES {
        let mut run = Run::new(case.hosts, case.lossy);
        let mut codes = Vec::new();
        for n in 0..10 {
            codes.push(run.send(n % case.hosts, CRASHER));
            run.pass_time(case.pause);
        }
        assert_eq!(run.deaths, case.deaths, "{}: {codes:?}", case.name);
        assert_eq!(codes[9], Code::Quarantined, "{}", case.name);
        assert_eq!(run.send(0, INNOCENT), Code::Done, "{}", case.name);
    }
}

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
    let suspects = [begin(CRASHER), begin(INNOCENT)];
    let load: Vec<_> = (100..134).map(&mut begin).collect();
    let died = suspects.map(|(_, address)| address);
    // One server has less to do than all others, so it would be the choice for both.
    let idle = load.iter().map(|(_, a)| *a).find(|a| !died.contains(a)).expect("there is one");
    for (flight, _) in load.iter().filter(|(_, address)| *address == idle) {
        run.hosts[0].finish(run.now, *flight, Outcome::Answered(200));
    }
    for (flight, _) in suspects {
        let step = run.hosts[0].finish(run.now, flight, Outcome::ConnectionLost);
        assert!(matches!(step, Step::Park { .. }), "held until the news has spread: {step:?}");
    }
    run.pass_time(20);
    let addresses = suspects.map(|(flight, _)| match run.hosts[0].resume(run.now, flight) {
        Step::Send { address, .. } => address,
        other => panic!("it is tried again: {other:?}"),
    });
    assert_eq!(addresses[0], idle);
    assert_ne!(addresses[1], idle);
}
