//! Calls between hosts over connections that go silent while new ones work.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jasminestage_core::peer::{PeerCall, PeerReply};
use jasminestage_daemon::{Options, control, metrics::Metrics, peer::stream, shared::Shared};
use jasminestage_standins::{forwarder::Forwarder, serve::free_address};

const TIMEOUT: Duration = Duration::from_millis(800);

fn host(peer_address: SocketAddr) -> Arc<Shared> {
    let cfg = Options { peer_address, ..Options::default() };
    let (sends, _) = control::send_queue();
    Arc::new(Shared::new(cfg, Arc::new(Metrics::new("h", "d").expect("it can be built")), sends))
}

struct Case {
    name: &'static str,
    /// Whether the connection goes silent before the call.
    silent: bool,
    /// Whether the call asks for a new connection.
    fresh: bool,
    /// Whether one call is answered; a call that may be repeated always is.
    answered: bool,
}

const CASES: &[Case] = &[
    Case { name: "an idle connection", silent: false, fresh: false, answered: true },
    Case { name: "a silent one", silent: true, fresh: false, answered: false },
    Case { name: "a new one beside it", silent: true, fresh: true, answered: true },
];

#[tokio::test]
async fn a_silent_connection_is_left_for_a_new_one() {
    for case in CASES {
        let answering = host(free_address());
        stream::serve(Arc::clone(&answering)).await.expect("the port is free");
        let forwarder = Forwarder::start(answering.cfg.peer_address).await.expect("it starts");
        let (to, asking) = (forwarder.address, host(free_address()));
        for repeated in [true, false] {
            let call = PeerCall::Root(0);
            let first = asking.peers.call(&asking, to, &call, TIMEOUT).await;
            assert!(matches!(first, Ok(PeerReply::Root(_))), "{}: {first:?}", case.name);
            if case.silent {
                forwarder.blackhole_open_connections();
            }
            let started = Instant::now();
            let reply = if repeated {
                asking.peers.call(&asking, to, &call, TIMEOUT).await
            } else {
                asking.peers.call_once(&asking, to, &call, TIMEOUT, case.fresh).await
            };
            let expected = repeated || case.answered;
            assert_eq!(reply.is_ok(), expected, "{}, repeated: {repeated}", case.name);
            let slow = started.elapsed() >= TIMEOUT / 2;
            let used = case.silent && (repeated || !case.fresh);
            assert_eq!(slow, used, "{}, repeated: {repeated}: the idle one is used", case.name);
        }
    }
}
