//! The request path: every decision between a request's arrival and its answer.

mod admit;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

pub use self::admit::{Admitted, Request};
use crate::{
    crash::Fingerprint,
    once::{self, RequestId},
    rate::Buckets,
    result::Code,
    route::Balancer,
    time::Instant,
    view::View,
    world::{Repeat, ServerKey},
};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// Tries of an idempotent request, the first one included.
pub const MAX_TRIES: usize = 2;

/// What to do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a backend server and report the outcome.
    Send {
        /// The request in flight.
        flight: FlightKey,
        /// Address of the backend server.
        address: SocketAddr,
        /// Time that is left for the answer.
        timeout: Duration,
    },
    /// Answer the caller with this code; with `Code::Done`, the backend server's answer goes along.
    Reply(Code),
}

/// How one try to reach a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// No connection was made: no byte was sent.
    ConnectFailed,
    /// The connection was lost after a byte may have been sent.
    ConnectionLost,
    /// No answer within the time given.
    TimedOut,
    /// The answer was incomplete or did not match.
    BadAnswer,
}

#[derive(Clone, Debug)]
struct Flight {
    view: Arc<View>,
    server: ServerKey,
    tried: Vec<ServerKey>,
    route: crate::world::RouteKey,
    deadline: Instant,
    id: Option<RequestId>,
    fingerprint: Fingerprint,
}

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct Traffic {
    view: Arc<View>,
    rates: Buckets,
    once: once::Table,
    balancer: Balancer,
    flights: SlotMap<FlightKey, Flight>,
}

impl Traffic {
    /// The state of a host that has no configuration yet.
    pub fn new(view: Arc<View>) -> Self {
        Traffic {
            view,
            rates: Buckets::default(),
            once: once::Table::default(),
            balancer: Balancer::default(),
            flights: SlotMap::default(),
        }
    }

    /// Takes over a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        self.rates.install(now, &view);
        self.balancer.install(&view);
        self.view = view;
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Decides on a request that has arrived.
    pub fn begin(&mut self, now: Instant, req: &Request<'_>) -> Step {
        let view = Arc::clone(&self.view);
        let admitted = match admit::admit(&view, req) {
            Ok(admitted) => admitted,
            Err(code) => return Step::Reply(code),
        };
        let id = match admitted.route.repeat {
            Repeat::Idempotent => None,
            Repeat::AtMostOnce => match self.begin_once(now, req, &view) {
                Ok(id) => Some(id),
                Err(code) => return Step::Reply(code),
            },
        };
        if let Some(workspace) = admitted.workspace
            && !self.rates.take(now, &workspace.name)
        {
            self.end_once(now, id, false);
            return Step::Reply(Code::OverRate);
        }
        let deadline = now + admitted.deadline;
        let route = admitted.route_key;
        let fingerprint = req.fingerprint;
        self.send(now, &view, route, deadline, id, fingerprint, Vec::new(), Code::NoServer)
    }

    /// Decides what follows after a try.
    pub fn finish(&mut self, now: Instant, flight: FlightKey, outcome: Outcome) -> Step {
        let Some(flight) = self.flights.remove(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        let Flight { view, server, mut tried, route, deadline, id, fingerprint } = flight;
        self.balancer.release(&view.world.servers[server].name);
        let (code, sent) = match outcome {
            Outcome::Answered(_) => (Code::Done, true),
            Outcome::ConnectFailed => (Code::NoServer, false),
            Outcome::ConnectionLost => (Code::ConnectionLost, true),
            Outcome::TimedOut => (Code::DeadlineAfterStart, true),
            Outcome::BadAnswer => (Code::BadAnswer, true),
        };
        tried.push(server);
        let again = !sent || id.is_none();
        if code == Code::Done || !again || tried.len() >= MAX_TRIES {
            self.end_once(now, id, sent);
            return Step::Reply(code);
        }
        self.send(now, &view, route, deadline, id, fingerprint, tried, code)
    }

    #[expect(clippy::too_many_arguments, reason = "the state of one request")]
    fn send(
        &mut self,
        now: Instant,
        view: &Arc<View>,
        route: crate::world::RouteKey,
        deadline: Instant,
        id: Option<RequestId>,
        fingerprint: Fingerprint,
        tried: Vec<ServerKey>,
        otherwise: Code,
    ) -> Step {
        let timeout = deadline.saturating_since(now);
        let server =
            if timeout.is_zero() { None } else { self.balancer.choose(view, route, &tried) };
        let Some(server) = server else {
            self.end_once(now, id, false);
            return Step::Reply(otherwise);
        };
        let address = view.world.servers[server].address;
        let view = Arc::clone(view);
        let flight = Flight { view, server, tried, route, deadline, id, fingerprint };
        Step::Send { flight: self.flights.insert(flight), address, timeout }
    }

    fn begin_once(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        view: &View,
    ) -> Result<RequestId, Code> {
        let id: RequestId = req.id.and_then(|t| t.parse().ok()).ok_or(Code::BadRequestId)?;
        if id.owner != view.me.incarnation {
            return Err(Code::OwnerGone);
        }
        match self.once.begin(now, id) {
            once::Begin::Run => Ok(id),
            once::Begin::Running => Err(Code::StillRunning),
            once::Begin::Ended => Err(Code::OwnerGone),
            once::Begin::Full => Err(Code::RequestIdsFull),
        }
    }

    fn end_once(&mut self, now: Instant, id: Option<RequestId>, sent: bool) {
        if let Some(id) = id {
            self.once.end(now, id, sent);
        }
    }
}
