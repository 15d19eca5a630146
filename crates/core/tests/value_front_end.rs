//! A front end that passes plain values to the core, to check that the request path and look-ups need
//! no socket.

use std::sync::Arc;

use jasminestage_core::{
    host::{HostInfo, Incarnation},
    lookup::{Query, look_up},
    once::{IdSecret, RequestId},
    result::Code,
    time::Instant,
    traffic::{Outcome, Request, Step, Traffic},
    view::{LiveHost, View},
    world,
};
use sha2::{Digest, Sha256};

const LOCAL_INCARNATION: Incarnation = Incarnation(7);

fn declaration() -> String {
    format!(
        "[region r]\n[domain d]\nregion = r\nseats = 1\n\
         [route read]\naccess = keyed\nrepeat = idempotent\n\
         [route book]\naccess = keyed\nrepeat = at-most-once\n\
         [route open]\naccess = open\nrepeat = idempotent\n\
         [workspace w]\nkeys = sha256:{}\nrate = 1000\nburst = 10\n\
         [server s1]\nroute = read\nversion = v1\ndomain = d\naddress = 127.0.0.1:1\nslots = 1\n\
         [server s2]\nroute = book\nversion = v1\ndomain = d\naddress = 127.0.0.1:2\nslots = 1\n\
         [server s3]\nroute = open\nversion = v1\ndomain = d\naddress = 127.0.0.1:3\nslots = 1\n",
        hex::encode(Sha256::digest(b"key"))
    )
}

fn view() -> View {
    let me = HostInfo {
        name: "h".into(),
        domain: "d".into(),
        caller_address: ([127, 0, 0, 1], 80).into(),
        peer_address: ([127, 0, 0, 1], 81).into(),
        incarnation: LOCAL_INCARNATION,
    };
    let live_host = LiveHost {
        name: me.name.clone(),
        domain: me.domain.clone(),
        caller_address: me.caller_address,
        peer_address: me.peer_address,
        incarnation: LOCAL_INCARNATION,
        taking: true,
    };
    View {
        revision: 1,
        accepted: 1,
        world: Arc::new(world::parse(&declaration()).expect("the declaration is valid")),
        seat: Some(0),
        open_seat: Some(0),
        proof: Some(Instant::ZERO),
        hosts: vec![live_host],
        ..View::empty(me)
    }
}

struct Case {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    id: Option<RequestId>,
    outcome: Option<Outcome>,
    code: Code,
}

const LOCAL_ID: RequestId = RequestId { owner: LOCAL_INCARNATION, nonce: 1, expires_at: 100_000 };
const UNKNOWN_OWNER_ID: RequestId =
    RequestId { owner: Incarnation(8), nonce: 1, expires_at: 100_000 };

const CASES: &[Case] = &[
    Case {
        name: "keyed and idempotent",
        route: "read",
        key: Some("key"),
        id: None,
        outcome: Some(Outcome::Answered(200)),
        code: Code::Done,
    },
    Case {
        name: "keyed and at most once",
        route: "book",
        key: Some("key"),
        id: Some(LOCAL_ID),
        outcome: Some(Outcome::Answered(200)),
        code: Code::Done,
    },
    Case {
        name: "open",
        route: "open",
        key: None,
        id: None,
        outcome: Some(Outcome::Answered(200)),
        code: Code::Done,
    },
    Case {
        name: "an at-most-once request whose connection is lost",
        route: "book",
        key: Some("key"),
        id: Some(LOCAL_ID),
        outcome: Some(Outcome::ConnectionLost),
        code: Code::ConnectionLost,
    },
    Case {
        name: "no key",
        route: "read",
        key: None,
        id: None,
        outcome: None,
        code: Code::KeyMissing,
    },
    Case {
        name: "a wrong key",
        route: "read",
        key: Some("other"),
        id: None,
        outcome: None,
        code: Code::KeyUnknown,
    },
    Case {
        name: "an unknown route",
        route: "none",
        key: Some("key"),
        id: None,
        outcome: None,
        code: Code::UnknownRoute,
    },
    Case {
        name: "at most once without an id",
        route: "book",
        key: Some("key"),
        id: None,
        outcome: None,
        code: Code::BadRequestId,
    },
    Case {
        name: "an id whose owner has stopped",
        route: "book",
        key: Some("key"),
        id: Some(UNKNOWN_OWNER_ID),
        outcome: None,
        code: Code::OwnerGone,
    },
];

#[test]
fn the_request_path_needs_no_socket() {
    for case in CASES {
        let view = Arc::new(view());
        let mut traffic = Traffic::new(Arc::clone(&view));
        traffic.install(Instant::ZERO, view);
        let id = case.id.map(|id| id.sign(&IdSecret::default()));
        let req = Request {
            route: case.route,
            key: case.key.map(str::as_bytes),
            id: id.as_deref(),
            deadline: None,
            fingerprint: 0,
        };
        let now = Instant::from_millis(1000);
        let mut step = traffic.begin(now, &req);
        if let Step::Send { flight, .. } = step {
            let outcome = case.outcome.expect(case.name);
            step = traffic.finish(now, flight, outcome);
        }
        assert_eq!(step, Step::Reply(case.code), "{}", case.name);
        assert_eq!(traffic.in_flight(), 0, "{}", case.name);
    }
}

#[test]
fn look_ups_need_no_socket() {
    let view = view();
    let query = Query { route: "read", client: [10, 0, 0, 1].into(), key: None };
    let answer = look_up(&view, &query).expect("a host is live");
    assert_eq!(answer.hosts[0].name, "h");
}
