//! The request path: every decision between a request's arrival and its answer.

mod admit;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

pub use self::admit::{Admitted, Request};
use crate::{
    control::PeerMsg,
    crash::Fingerprint,
    event::Event,
    once::{self, RequestId},
    rate::{Buckets, Standing, Take},
    result::{Code, Execution},
    route::Balancer,
    time::Instant,
    view::View,
    world::{Repeat, RouteKey, ServerKey, WorkspaceKey},
};

new_key_type! {
    /// Key of a request in flight.
    pub struct FlightKey;
}

/// Tries of an idempotent request, the first one included.
pub const MAX_TRIES: usize = 2;
/// Time between two calls of [`Traffic::tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// What to do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a backend server and report the outcome to [`Traffic::finish`].
    Send {
        /// The request in flight.
        flight: FlightKey,
        /// Address of the backend server.
        address: SocketAddr,
        /// Time that is left for the answer.
        timeout: Duration,
    },
    /// Wait until the flight is woken or the time has come, then call [`Traffic::resume`].
    Park {
        /// The request in flight.
        flight: FlightKey,
        /// When to stop waiting.
        until: Instant,
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

/// What the request path wants done besides the step that a call returns.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Parked flights that should be resumed.
    pub wakes: Vec<FlightKey>,
    /// Messages to other hosts.
    pub sends: Vec<(SocketAddr, PeerMsg)>,
    /// Log events.
    pub events: Vec<Event>,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It needs a token of its workspace.
    Admission,
    /// It needs a backend server.
    Choice,
    /// It was sent to this backend server.
    Sent(ServerKey),
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
struct Flight {
    view: Arc<View>,
    route: RouteKey,
    workspace: Option<WorkspaceKey>,
    deadline: Instant,
    id: Option<RequestId>,
    #[expect(dead_code, reason = "read when backend servers die")]
    fingerprint: Fingerprint,
    tried: Vec<ServerKey>,
    /// What is answered when no further server can be tried.
    otherwise: Code,
    stage: Stage,
}

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct Traffic {
    view: Arc<View>,
    rates: Buckets,
    once: once::Table,
    balancer: Balancer,
    flights: SlotMap<FlightKey, Flight>,
    outbox: Outbox,
}

impl Traffic {
    /// The state of a host that has no configuration yet.
    pub fn new(view: Arc<View>) -> Self {
        Traffic {
            rates: Buckets::new(view.me.incarnation),
            view,
            once: once::Table::default(),
            balancer: Balancer::default(),
            flights: SlotMap::default(),
            outbox: Outbox::default(),
        }
    }

    /// Takes over a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        self.rates.install(now, &Standing::of(&view));
        self.balancer.install(&view);
        self.view = view;
    }

    /// Takes in a message of another host.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, msg: &PeerMsg) {
        if let PeerMsg::Rate(msg) = msg {
            self.rates.hear(now, from, msg);
        }
    }

    /// Does what is due; called every [`TICK_PERIOD`].
    pub fn tick(&mut self, now: Instant) {
        self.rates.tick(now);
    }

    /// Takes what is to be done besides the steps returned.
    pub fn take_outbox(&mut self) -> Outbox {
        self.rates.drain_into(&mut self.outbox);
        std::mem::take(&mut self.outbox)
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
        let flight = Flight {
            route: admitted.route_key,
            workspace: admitted.workspace_key,
            deadline: now + admitted.deadline,
            id,
            fingerprint: req.fingerprint,
            tried: Vec::new(),
            otherwise: Code::NoServer,
            stage: Stage::Admission,
            view: Arc::clone(&view),
        };
        let flight = self.flights.insert(flight);
        self.advance(now, flight)
    }

    /// Goes on with a parked request.
    pub fn resume(&mut self, now: Instant, flight: FlightKey) -> Step {
        self.advance(now, flight)
    }

    /// Decides what follows after a try.
    pub fn finish(&mut self, now: Instant, flight: FlightKey, outcome: Outcome) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        let Stage::Sent(server) = state.stage else { return Step::Reply(Code::BadAnswer) };
        self.balancer.release(&state.view.world.servers[server].name);
        let (code, sent) = match outcome {
            Outcome::Answered(_) => (Code::Done, true),
            Outcome::ConnectFailed => (Code::NoServer, false),
            Outcome::ConnectionLost => (Code::ConnectionLost, true),
            Outcome::TimedOut => (Code::DeadlineAfterStart, true),
            Outcome::BadAnswer => (Code::BadAnswer, true),
        };
        state.tried.push(server);
        state.otherwise = code;
        state.stage = Stage::Choice;
        let again = !sent || state.id.is_none();
        if code == Code::Done || !again || state.tried.len() >= MAX_TRIES {
            return self.end(now, flight, code, sent);
        }
        self.advance(now, flight)
    }

    /// Ends a request whose caller has gone away.
    pub fn abandon(&mut self, now: Instant, flight: FlightKey) {
        let Some(state) = self.flights.get(flight) else { return };
        let mut sent = state.otherwise.execution() != Execution::NotRun;
        if let Stage::Sent(server) = state.stage {
            self.balancer.release(&state.view.world.servers[server].name);
            sent = true;
        }
        self.end(now, flight, Code::ConnectionLost, sent);
    }

    /// Takes a request as far as it goes now.
    fn advance(&mut self, now: Instant, flight: FlightKey) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        if state.stage == Stage::Admission {
            let workspace = state.workspace.map(|w| &state.view.world.workspaces[w]);
            let deadline = state.deadline;
            match workspace.map(|w| self.rates.take(now, flight, &w.name, deadline)) {
                Some(Take::Wait(until)) => return Step::Park { flight, until },
                Some(Take::Refused(code)) => return self.end(now, flight, code, false),
                Some(Take::Taken) | None => state.stage = Stage::Choice,
            }
        }
        let timeout = state.deadline.saturating_since(now);
        let chosen = match state.stage {
            Stage::Choice if !timeout.is_zero() => {
                self.balancer.choose(&state.view, state.route, &state.tried)
            }
            _ => None,
        };
        let Some(server) = chosen else {
            let (code, sent) = (state.otherwise, state.otherwise.execution() != Execution::NotRun);
            return self.end(now, flight, code, sent);
        };
        state.stage = Stage::Sent(server);
        Step::Send { flight, address: state.view.world.servers[server].address, timeout }
    }

    /// Ends a request; `sent` says whether a byte of it may have left this system.
    fn end(&mut self, now: Instant, flight: FlightKey, code: Code, sent: bool) -> Step {
        let Some(state) = self.flights.remove(flight) else { return Step::Reply(code) };
        if state.stage == Stage::Admission
            && let Some(workspace) = state.workspace
        {
            self.rates.forget(flight, &state.view.world.workspaces[workspace].name);
        }
        if let Some(id) = state.id {
            self.once.end(now, id, sent);
        }
        Step::Reply(code)
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
}
