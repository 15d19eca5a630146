//! The request path: every decision between a request's arrival and its answer.

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
    step::{Origin, Outbox, Outcome, Passed, PassedFrom, Step},
};
use crate::{
    control::PeerMsg,
    crash::Suspects,
    declaration::Repeat,
    once::{Answer, Clock, IdSecret, Table, Takeover},
    rate::{Buckets, Standing, Take},
    result::{Code, Execution},
    route::{Balancer, Choice, Want, health::Report},
    time::{Instant, UnixMillis},
    view::View,
};

/// Status with which a backend server sheds a request that it has not run.
const SHED_STATUS: u16 = 503;
/// Tries of an idempotent request, the first one included.
pub const MAX_TRIES: usize = 2;
/// Tries of an idempotent request while no connection was made.
pub const MAX_CONNECT_TRIES: usize = 4;
/// Time between two calls of [`Traffic::tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct Traffic {
    view: Arc<View>,
    /// Instant at which the configuration in force was last proven to be the newest one.
    proof: Option<Instant>,
    rates: Buckets,
    /// Whether new requests are refused.
    closed: bool,
    clock: Clock,
    id_secret: IdSecret,
    once: Table,
    takeover: Takeover,
    suspects: Suspects,
    repeats: VecDeque<(Instant, SocketAddr, PeerMsg)>,
    balancer: Balancer,
    flights: SlotMap<FlightKey, Flight>,
    outbox: Outbox,
}

impl Traffic {
    /// The state of a host that has no configuration yet.
    pub fn new(view: Arc<View>) -> Self {
        Traffic {
            proof: view.proof,
            rates: Buckets::new(view.me.incarnation),
            view,
            closed: false,
            clock: Clock::default(),
            id_secret: IdSecret::default(),
            once: Table::default(),
            takeover: Takeover::default(),
            suspects: Suspects::default(),
            repeats: VecDeque::new(),
            balancer: Balancer::default(),
            flights: SlotMap::default(),
            outbox: Outbox::default(),
        }
    }

    /// Takes over a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        self.rates.install(now, &Standing::of(&view));
        self.balancer.install(now, &view);
        self.takeover.install(self.clock.unix_at(now), &view);
        self.proof = view.proof;
        self.view = view;
    }

    /// The latest proof that the configuration in force is the newest one.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    /// Takes over a later proof that the configuration in force is the newest one.
    pub fn prove(&mut self, proof: Instant) {
        if self.view.seat.is_some() {
            self.proof = self.proof.max(Some(proof));
            self.rates.extend(proof + self.view.declaration.longest_authority());
        }
    }

    /// Sets the secret that request ids are authenticated with and the bounds on remembering them.
    pub fn configure_once(&mut self, secret: IdSecret, limits: crate::once::Limits) {
        self.id_secret = secret;
        self.once = Table::new(limits);
    }

    /// Refuses new requests from now on. A host that stops calls this once callers have had time to
    /// leave it: until then those that hold an earlier answer to a look-up are served.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Sets the wall clock from a reading of both clocks.
    pub fn set_clock(&mut self, now: Instant, unix: UnixMillis) {
        self.clock.set(now, unix);
    }

    /// Takes in a message of another host.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, msg: &PeerMsg) {
        match msg {
            PeerMsg::Rate(msg) => self.rates.hear(now, from, msg),
            PeerMsg::Route(msg) => self.balancer.hear(now, from, msg, &mut self.outbox),
            PeerMsg::Rollout(msg) => self.balancer.rollouts.handle_message(msg, &mut self.outbox),
            PeerMsg::Crash(msg) => self.hear_crash(now, msg),
            _ => {}
        }
    }

    /// Does what is due; called every [`TICK_PERIOD`].
    pub fn tick(&mut self, now: Instant) {
        self.rates.tick(now);
        self.once.expire(self.clock.unix_at(now));
        self.tick_crash(now);
        self.balancer.tick(now, &mut self.outbox);
    }

    /// Takes what is to be done besides the steps returned.
    pub fn take_outbox(&mut self) -> Outbox {
        self.rates.drain_into(&mut self.outbox);
        std::mem::take(&mut self.outbox)
    }

    /// The choice of backend servers, to look at.
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Takes in what a backend server reports of itself.
    pub fn hear_report(&mut self, server: &str, report: Report) {
        self.balancer.hear_report(server, report);
    }

    /// Counts the bytes of a try and its answer; called before [`Traffic::finish`].
    pub fn carried(&mut self, flight: FlightKey, sent: u64, received: u64) {
        self.balancer.carried(flight, sent, received);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Decides on a request of a caller that has arrived.
    pub fn begin(&mut self, now: Instant, req: &Request<'_>) -> Step {
        self.begin_from(now, req, &Origin::default())
    }

    /// Decides on a request that has arrived from a caller or from another host.
    pub fn begin_from(&mut self, now: Instant, req: &Request<'_>, origin: &Origin) -> Step {
        let view = Arc::clone(&self.view);
        let key = origin.passed.map_or_else(|| admit::digest(req), |p| p.key);
        let admitted = match admit::admit(&view, self.proof, now, req, key) {
            Ok(admitted) => admitted,
            Err(code) => return Step::Reply(once::at_the_door(code, req, origin)),
        };
        let flight = Flight {
            route: admitted.route_key,
            workspace: admitted.workspace_key,
            deadline: now + admitted.deadline,
            once: None,
            answer: None,
            fingerprint: req.fingerprint,
            tried: Vec::new(),
            otherwise: Code::NoServer,
            stage: Stage::Admission,
            view: Arc::clone(&view),
        };
        if admitted.route.repeat == Repeat::AtMostOnce {
            return self.begin_once(now, req, origin, flight);
        }
        let flight = self.flights.insert(flight);
        self.advance(now, flight)
    }

    /// Goes on with a parked request.
    pub fn resume(&mut self, now: Instant, flight: FlightKey) -> Step {
        match self.flights.get(flight).map(|f| f.stage) {
            Some(Stage::Waiting) => self.run_once(now, flight),
            // Only a parked flight is resumed; one that was sent ends as unknown.
            Some(Stage::Sent(_) | Stage::Passed { .. }) => {
                self.abandon(now, flight);
                Step::Reply(Code::BadAnswer)
            }
            _ => self.advance(now, flight),
        }
    }

    /// Decides what follows after a try.
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
        // A byte may have left with an earlier try.
        let earlier = state.otherwise;
        let code = if !sent && earlier.execution() != Execution::NotRun { earlier } else { code };
        state.tried.push(server);
        state.otherwise = code;
        state.stage = Stage::Choice;
        let (once, tries) = (state.once.is_some(), state.tried.len());
        match outcome {
            Outcome::Answered(_) => self.note_survival(now, flight),
            Outcome::ConnectionLost => self.note_death(now, flight, server),
            _ => {}
        }
        let shed = outcome == Outcome::Answered(SHED_STATUS) && !once;
        let again = !sent || !once;
        let limit = if sent || once { MAX_TRIES } else { MAX_CONNECT_TRIES };
        if (code == Code::Done && !shed) || !again || tries >= limit {
            return self.end(now, flight, code, sent);
        }
        self.advance(now, flight)
    }

    /// Ends a request whose caller has gone away.
    pub fn abandon(&mut self, now: Instant, flight: FlightKey) {
        let Some(state) = self.flights.get(flight) else { return };
        let sent = matches!(state.stage, Stage::Sent(_))
            || state.otherwise.execution() != Execution::NotRun;
        let route = &state.view.declaration.routes[state.route].name;
        self.balancer.abandon(now, flight, route, &mut self.outbox);
        self.end(now, flight, Code::ConnectionLost, sent);
    }

    /// Takes a request as far as it goes now.
    fn advance(&mut self, now: Instant, flight: FlightKey) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        if state.stage == Stage::Admission {
            let workspace = state.workspace.map(|w| &state.view.declaration.workspaces[w]);
            let deadline = state.deadline;
            match workspace.map(|w| self.rates.take(now, flight, &w.name, deadline)) {
                Some(Take::Wait(until)) => return Step::Park { flight, until },
                Some(Take::Refused(code)) => return self.end(now, flight, code, false),
                Some(Take::Taken) | None => state.stage = Stage::Choice,
            }
        }
        let route = &state.view.declaration.routes[state.route];
        if let Err(code) = admit::check_authority(self.proof, now, route) {
            let code = if state.tried.is_empty() { code } else { state.otherwise };
            return self.end(now, flight, code, code.execution() != Execution::NotRun);
        }
        if let Some(step) = self.hold_suspect(now, flight) {
            return step;
        }
        let mut not = self.servers_of_suspects(flight);
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::BadAnswer);
        };
        not.extend(&state.tried);
        let declaration = &state.view.declaration;
        let want = Want {
            flight,
            route: &declaration.routes[state.route].name,
            workspace: state.workspace.map_or("", |w| &declaration.workspaces[w].name),
            deadline: state.deadline,
            retry: !state.tried.is_empty(),
            not: &not,
            // A connection may have gone silent where the server has not: a new one will do.
            any: state.otherwise == Code::DeadlineAfterStart && state.once.is_none(),
        };
        match self.balancer.choose(now, &want, &mut self.outbox) {
            Choice::Send(server, address) => {
                let timeout = state.try_timeout(state.deadline.saturating_since(now));
                state.stage = Stage::Sent(server);
                Step::Send { flight, address, timeout }
            }
            Choice::Wait(until) => Step::Park { flight, until },
            Choice::Refuse(code) => {
                let code = if state.tried.is_empty() { code } else { state.otherwise };
                self.end(now, flight, code, code.execution() != Execution::NotRun)
            }
        }
    }

    /// Keeps the whole answer of a request that runs at most once, for its resends.
    pub fn keep(&mut self, flight: FlightKey, answer: &Arc<Answer>) {
        if let Some(state) = self.flights.get_mut(flight) {
            state.answer = state.once.map(|_| Arc::clone(answer));
        }
    }

    /// Ends a request; `sent` says whether a byte of it may have left this system.
    fn end(&mut self, _now: Instant, flight: FlightKey, code: Code, sent: bool) -> Step {
        let Some(state) = self.flights.remove(flight) else { return Step::Reply(code) };
        if state.stage == Stage::Admission
            && let Some(workspace) = state.workspace
        {
            self.rates.forget(flight, &state.view.declaration.workspaces[workspace].name);
        }
        self.balancer.forget(flight);
        self.outbox.wakes.extend(self.suspects.leave(state.fingerprint, flight));
        if let Some(once) = state.once
            && once.holds
        {
            let waiters = self.once.end(once.key, sent, code, state.answer);
            self.outbox.wakes.extend(waiters);
        }
        Step::Reply(code)
    }
}
