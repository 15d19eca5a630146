//! Calls between hosts over idle connections that stop delivering bytes while new ones work.
//! Guards against calls that fail although a retry on a new connection would succeed, and against
//! retries of calls that must run at most once.

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
    let (outgoing, _) = control::outgoing_queue();
    Arc::new(Shared::new(
        cfg,
        Arc::new(Metrics::new("h", "d").expect("the metrics can be built")),
        outgoing,
    ))
}

struct Case {
    name: &'static str,
    /// Whether the open connection stops delivering bytes before the call.
    is_silent: bool,
    /// Whether the call requests a new connection.
    new_connection: bool,
    /// Whether an at-most-once call gets a reply; a repeatable call always does.
    is_answered: bool,
}

const CASES: &[Case] = &[
    Case { name: "an idle connection", is_silent: false, new_connection: false, is_answered: true },
    Case {
        name: "a silent connection",
        is_silent: true,
        new_connection: false,
        is_answered: false,
    },
    Case {
        name: "a new connection beside a silent one",
        is_silent: true,
        new_connection: true,
        is_answered: true,
    },
];

#[tokio::test]
async fn a_repeatable_call_is_retried_on_a_new_connection() {
    for case in CASES {
        let callee = host(free_address());
        stream::serve(Arc::clone(&callee)).await.expect("the port is free");
        let forwarder =
            Forwarder::start(callee.cfg.peer_address).await.expect("the forwarder starts");
        let (to, caller) = (forwarder.address, host(free_address()));
        for is_repeatable in [true, false] {
            let call = PeerCall::Root(0);
            let first = caller.peers.call(&caller, to, &call, TIMEOUT).await;
            assert!(matches!(first, Ok(PeerReply::Root(_))), "{}: {first:?}", case.name);
            if case.is_silent {
                forwarder.blackhole_open_connections();
            }
            let started = Instant::now();
            let reply = if is_repeatable {
                caller.peers.call(&caller, to, &call, TIMEOUT).await
            } else {
                caller.peers.call_once(&caller, to, &call, TIMEOUT, case.new_connection).await
            };
            let expected = is_repeatable || case.is_answered;
            assert_eq!(reply.is_ok(), expected, "{}, repeatable: {is_repeatable}", case.name);
            let is_slow = started.elapsed() >= TIMEOUT / 2;
            let idle_is_used = case.is_silent && (is_repeatable || !case.new_connection);
            assert_eq!(
                is_slow, idle_is_used,
                "{}, repeatable: {is_repeatable}: whether the idle connection was used",
                case.name
            );
        }
    }
}
