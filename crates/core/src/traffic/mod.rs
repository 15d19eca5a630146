//! The request path: all decisions between the arrival of a request and its answer.

mod admit;
mod crash;
mod early;
mod flight;
mod once;
mod step;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use slotmap::SlotMap;

use self::flight::{Flight, Stage};
pub use self::{
    admit::{Admitted, Request, admit},
    flight::FlightKey,
    step::{ForwardOutcome, ForwardedBy, Origin, Outbox, Outcome, Step},
};
use crate::{
    control::PeerMsg,
    crash::Suspects,
    declaration::Repeat,
    once::{Answer, DedupTable, IdSecret, SeatTakeover, WallClock},
    rate::{RateContext, RateDecision, RateLimiter},
    result::{Code, Execution},
    route::{Balancer, Selection, SelectionRequest, health::ServerReport},
    time::{Instant, UnixMillis},
    view::View,
};

/// Status with which a backend server refuses a request that it has not run.
const SHED_STATUS: u16 = 503;
/// Maximum number of tries of an idempotent request, including the first.
pub const MAX_TRIES: usize = 2;
/// Maximum number of tries of an idempotent request as long as no connection was made.
pub const MAX_CONNECT_TRIES: usize = 4;
/// Time between two calls of [`Traffic::tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct Traffic {
    view: Arc<View>,
    /// Instant at which the configuration in force was last proven to be the newest one.
    proof: Option<Instant>,
    rates: RateLimiter,
    /// Whether the host has stopped accepting new requests.
    refuses_new_requests: bool,
    clock: WallClock,
    id_secret: IdSecret,
    once: DedupTable,
    takeover: SeatTakeover,
    suspects: Suspects,
    pending_resends: VecDeque<(Instant, SocketAddr, PeerMsg)>,
    balancer: Balancer,
    flights: SlotMap<FlightKey, Flight>,
    outbox: Outbox,
}

impl Traffic {
    /// Creates the state of a host that has no configuration yet.
    pub fn new(view: Arc<View>) -> Self {
        Traffic {
            proof: view.proof,
            rates: RateLimiter::new(view.me.incarnation),
            view,
            refuses_new_requests: false,
            clock: WallClock::default(),
            id_secret: IdSecret::default(),
            once: DedupTable::default(),
            takeover: SeatTakeover::default(),
            suspects: Suspects::default(),
            pending_resends: VecDeque::new(),
            balancer: Balancer::default(),
            flights: SlotMap::default(),
            outbox: Outbox::default(),
        }
    }

    /// Applies a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        self.rates.install(now, &RateContext::from_view(&view));
        self.balancer.install(now, &view);
        self.takeover.install(self.clock.unix_at(now), &view);
        self.proof = view.proof;
        self.view = view;
    }

    /// Instant at which the configuration in force was last proven to be the newest one.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    /// Records a later proof that the configuration in force is the newest one.
    pub fn record_proof(&mut self, proof: Instant) {
        if self.view.seat.is_some() {
            self.proof = self.proof.max(Some(proof));
            self.rates.extend_authority(proof + self.view.declaration.longest_authority());
        }
    }

    /// Sets the secret that authenticates request ids and the limits of the table of ids.
    pub fn configure_once(&mut self, secret: IdSecret, limits: crate::once::DedupLimits) {
        self.id_secret = secret;
        self.once = DedupTable::new(limits);
    }

    /// Marks the host as no longer accepting new requests.
    ///
    /// A stopping host calls this after callers have had time to switch to another host. Until then
    /// it serves callers that still use an earlier answer to a look-up.
    pub fn refuse_new_requests(&mut self) {
        self.refuses_new_requests = true;
    }

    /// Sets the wall clock from simultaneous readings of the boot-time and the wall clock.
    pub fn set_clock(&mut self, now: Instant, unix: UnixMillis) {
        self.clock.set(now, unix);
    }

    /// Handles a message from another host.
    pub fn handle_message(&mut self, now: Instant, from: SocketAddr, msg: &PeerMsg) {
        match msg {
            PeerMsg::Rate(msg) => self.rates.handle_message(now, from, msg),
            PeerMsg::Route(msg) => self.balancer.handle_message(now, from, msg, &mut self.outbox),
            PeerMsg::Rollout(msg) => self.balancer.rollouts.handle_message(msg, &mut self.outbox),
            PeerMsg::Crash(msg) => self.handle_crash_message(now, msg),
            _ => {}
        }
    }

    /// Runs timed work; called every [`TICK_PERIOD`].
    pub fn tick(&mut self, now: Instant) {
        self.rates.tick(now);
        self.once.expire(self.clock.unix_at(now));
        self.tick_crash(now);
        self.balancer.tick(now, &mut self.outbox);
    }

    /// Takes the pending output.
    pub fn take_outbox(&mut self) -> Outbox {
        self.rates.drain_into(&mut self.outbox);
        std::mem::take(&mut self.outbox)
    }

    /// Read access to the balancer.
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Stores the latest load and health report of a backend server.
    pub fn record_report(&mut self, server: &str, report: ServerReport) {
        self.balancer.record_report(server, report);
    }

    /// Counts the bytes of a try and of its answer; must be called before [`Traffic::finish`].
    pub fn record_bytes(&mut self, flight: FlightKey, sent: u64, received: u64) {
        self.balancer.record_bytes(flight, sent, received);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Handles a new request from a caller.
    pub fn begin(&mut self, now: Instant, req: &Request<'_>) -> Step {
        self.begin_from(now, req, &Origin::default())
    }

    /// Handles a new request from a caller or from another host.
    pub fn begin_from(&mut self, now: Instant, req: &Request<'_>, origin: &Origin) -> Step {
        let view = Arc::clone(&self.view);
        let key = origin.forwarded_by.map_or_else(|| admit::digest(req), |p| p.key);
        let admitted = match admit::admit(&view, self.proof, now, req, key) {
            Ok(admitted) => admitted,
            Err(code) => return Step::Reply(once::refusal_before_owner(code, req, origin)),
        };
        let flight = Flight {
            route: admitted.route_key,
            workspace: admitted.workspace_key,
            deadline: now + admitted.deadline,
            once: None,
            answer: None,
            fingerprint: req.fingerprint,
            tried_servers: Vec::new(),
            fallback_code: Code::NoServer,
            stage: Stage::AwaitingToken,
            view: Arc::clone(&view),
        };
        if admitted.route.repeat == Repeat::AtMostOnce {
            return self.begin_once(now, req, origin, flight);
        }
        let flight = self.flights.insert(flight);
        self.advance(now, flight)
    }

    /// Resumes a parked request.
    pub fn resume(&mut self, now: Instant, flight: FlightKey) -> Step {
        match self.flights.get(flight).map(|f| f.stage) {
            Some(Stage::AwaitingEarlierTry) => self.run_once(now, flight),
            // Only a parked request may be resumed. The outcome of one that was sent is unknown.
            Some(Stage::Sent(_) | Stage::Forwarded { .. }) => {
                self.cancel(now, flight);
                Step::Reply(Code::BadAnswer)
            }
            _ => self.advance(now, flight),
        }
    }

    /// Records the outcome of a try and returns the next step.
    pub fn finish(&mut self, now: Instant, flight: FlightKey, outcome: Outcome) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        let Stage::Sent(server) = state.stage else { return Step::Reply(Code::BadAnswer) };
        self.balancer.finish(now, flight, outcome, &mut self.outbox);
        let (code, sent) = match outcome {
            Outcome::Answered(_) => (Code::Done, true),
            Outcome::ConnectFailed => (Code::NoServer, false),
            Outcome::ConnectionLost => (Code::ConnectionLost, true),
            Outcome::TimedOut => (Code::DeadlineAfterStart, true),
            Outcome::BadAnswer => (Code::BadAnswer, true),
        };
        // A byte of an earlier try may have been sent.
        let earlier = state.fallback_code;
        let code = if !sent && earlier.execution() != Execution::NotRun { earlier } else { code };
        state.tried_servers.push(server);
        state.fallback_code = code;
        state.stage = Stage::AwaitingBackend;
        let (once, tries) = (state.once.is_some(), state.tried_servers.len());
        match outcome {
            Outcome::Answered(_) => self.record_success(now, flight),
            Outcome::ConnectionLost => self.record_crash(now, flight, server),
            _ => {}
        }
        let was_shed = outcome == Outcome::Answered(SHED_STATUS) && !once;
        let may_retry = !sent || !once;
        let limit = if sent || once { MAX_TRIES } else { MAX_CONNECT_TRIES };
        if (code == Code::Done && !was_shed) || !may_retry || tries >= limit {
            return self.end(now, flight, code, sent);
        }
        self.advance(now, flight)
    }

    /// Ends a request whose caller has disconnected.
    pub fn cancel(&mut self, now: Instant, flight: FlightKey) {
        let Some(state) = self.flights.get(flight) else { return };
        let sent = matches!(state.stage, Stage::Sent(_))
            || state.fallback_code.execution() != Execution::NotRun;
        let route = &state.view.declaration.routes[state.route].name;
        self.balancer.cancel(now, flight, route, &mut self.outbox);
        self.end(now, flight, Code::ConnectionLost, sent);
    }

    /// Advances a request through its stages until it has to wait, is sent or ends.
    fn advance(&mut self, now: Instant, flight: FlightKey) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        if state.stage == Stage::AwaitingToken {
            let workspace = state.workspace.map(|w| &state.view.declaration.workspaces[w]);
            let deadline = state.deadline;
            match workspace.map(|w| self.rates.take(now, flight, &w.name, deadline)) {
                Some(RateDecision::Wait(until)) => return Step::Park { flight, until },
                Some(RateDecision::Refused(code)) => return self.end(now, flight, code, false),
                Some(RateDecision::Allowed) | None => state.stage = Stage::AwaitingBackend,
            }
        }
        let route = &state.view.declaration.routes[state.route];
        if let Err(code) = admit::check_authority(self.proof, now, route) {
            let code = if state.tried_servers.is_empty() { code } else { state.fallback_code };
            return self.end(now, flight, code, code.execution() != Execution::NotRun);
        }
        if let Some(step) = self.delay_suspect(now, flight) {
            return step;
        }
        let mut excluded = self.servers_of_suspects(flight);
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        excluded.extend(&state.tried_servers);
        let declaration = &state.view.declaration;
        let request = SelectionRequest {
            flight,
            route: &declaration.routes[state.route].name,
            workspace: state.workspace.map_or("", |w| &declaration.workspaces[w].name),
            deadline: state.deadline,
            is_retry: !state.tried_servers.is_empty(),
            excluded: &excluded,
            // The connection may have stopped responding while the server still works, so a new
            // connection to the same server may succeed.
            allow_excluded: state.fallback_code == Code::DeadlineAfterStart && state.once.is_none(),
        };
        match self.balancer.select(now, &request, &mut self.outbox) {
            Selection::Send(server, address) => {
                let timeout = state.try_timeout(state.deadline.saturating_since(now));
                state.stage = Stage::Sent(server);
                Step::Send { flight, address, timeout }
            }
            Selection::Wait(until) => Step::Park { flight, until },
            Selection::Refuse(code) => {
                let code = if state.tried_servers.is_empty() { code } else { state.fallback_code };
                self.end(now, flight, code, code.execution() != Execution::NotRun)
            }
        }
    }

    /// Stores the complete answer to a request that runs at most once, for its resends.
    pub fn store_answer(&mut self, flight: FlightKey, answer: &Arc<Answer>) {
        if let Some(state) = self.flights.get_mut(flight) {
            state.answer = state.once.map(|_| Arc::clone(answer));
        }
    }

    /// Ends a request; `sent` is whether a byte of it may have been sent to a backend server.
    fn end(&mut self, _now: Instant, flight: FlightKey, code: Code, sent: bool) -> Step {
        let Some(state) = self.flights.remove(flight) else { return Step::Reply(code) };
        if state.stage == Stage::AwaitingToken
            && let Some(workspace) = state.workspace
        {
            self.rates.remove_request(flight, &state.view.declaration.workspaces[workspace].name);
        }
        self.balancer.remove_waiting(flight);
        self.outbox.wakes.extend(self.suspects.release(state.fingerprint, flight));
        if let Some(once) = state.once
            && once.may_run
        {
            let waiters = self.once.end_run(once.key, sent, code, state.answer);
            self.outbox.wakes.extend(waiters);
        }
        Step::Reply(code)
    }
}
