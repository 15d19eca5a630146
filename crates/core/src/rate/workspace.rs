//! Rate limiter of one workspace on one host: its bucket, its borrowed tokens and the requests that
//! wait for a token.

use std::{collections::VecDeque, time::Duration};

use super::{
    LOAN_LIFETIME, MAX_TOKEN_WAIT, MicroTokens, Share, TOKEN,
    borrow::{BorrowedTokens, LoanRequest},
    bucket::Bucket,
};
use crate::{
    time::Instant,
    traffic::{FlightKey, TICK_PERIOD},
};

/// Longest wait of a request for a token directly after this host took over its seat.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1500);
/// Largest number of requests of one workspace that wait on one host.
const MAX_WAITING_REQUESTS: usize = 64;
/// Time for which a token stays reserved for a woken request that has not been resumed.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest number of loan requests for one workspace between two ticks.
const MAX_LOAN_REQUESTS_PER_TICK: usize = 8;
/// More tokens are borrowed when the available ones cover less than this time of demand.
const LOW_WATER_MARK: Duration = Duration::from_millis(50);
/// Tokens are borrowed for this time of the demand that exceeds the host's own rate.
const BORROW_AHEAD: Duration = Duration::from_millis(200);
const _: () = assert!(BORROW_AHEAD.as_millis() < LOAN_LIFETIME.as_millis());
/// Weight of the last tick in the moving average of the demand, as a divisor.
const DEMAND_SMOOTHING: u64 = 4;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    flight: FlightKey,
    until: Instant,
}

/// A woken request, for which a token is reserved until an instant.
#[derive(Clone, Copy, Debug)]
struct ReadyRequest {
    waiting: WaitingRequest,
    until: Instant,
}

/// Decision on a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkspaceDecision {
    Allowed,
    Waiting(Instant),
    Refused,
}

/// State of one workspace on one host.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceLimiter {
    pub name: String,
    /// Declared rate and burst of the workspace.
    pub declared: Share,
    /// Whether the share of this host's seat can be determined, see [`super::declarations`].
    pub is_share_known: bool,
    pub bucket: Bucket,
    pub borrowed: BorrowedTokens,
    waiting: VecDeque<WaitingRequest>,
    ready: Vec<ReadyRequest>,
    arrivals: u64,
    /// Average demand per second, in millionths of a token.
    demand: MicroTokens,
    loan_requests_left: usize,
}

impl WorkspaceLimiter {
    pub fn new(now: Instant, name: &str) -> Self {
        WorkspaceLimiter {
            name: name.to_owned(),
            declared: Share::default(),
            is_share_known: false,
            bucket: Bucket::new(now),
            borrowed: BorrowedTokens::default(),
            waiting: VecDeque::new(),
            ready: Vec::new(),
            arrivals: 0,
            demand: 0,
            loan_requests_left: MAX_LOAN_REQUESTS_PER_TICK,
        }
    }

    /// Decides on a request that has just arrived.
    pub fn admit(
        &mut self,
        now: Instant,
        flight: FlightKey,
        deadline: Instant,
    ) -> WorkspaceDecision {
        self.arrivals += 1;
        if self.waiting.is_empty() && self.unreserved_tokens(now) >= TOKEN && self.take_token(now) {
            return WorkspaceDecision::Allowed;
        }
        if self.is_exhausted(now) {
            return WorkspaceDecision::Refused;
        }
        let max_wait = if self.is_starting_up(now) { MAX_STARTUP_WAIT } else { MAX_TOKEN_WAIT };
        let until = deadline.min(now + max_wait);
        self.waiting.push_back(WaitingRequest { flight, until });
        WorkspaceDecision::Waiting(until)
    }

    /// Decides on a request that was woken or whose wait has ended; `None` if it does not wait here.
    pub fn resume(&mut self, now: Instant, flight: FlightKey) -> Option<WorkspaceDecision> {
        if let Some(at) = self.ready.iter().position(|r| r.waiting.flight == flight) {
            let waiting = self.ready.remove(at).waiting;
            if self.take_token(now) {
                return Some(WorkspaceDecision::Allowed);
            }
            self.waiting.push_front(waiting);
        }
        let at = self.waiting.iter().position(|w| w.flight == flight)?;
        let until = self.waiting[at].until;
        if now < until {
            return Some(WorkspaceDecision::Waiting(until));
        }
        self.waiting.remove(at);
        Some(WorkspaceDecision::Refused)
    }

    /// Whether one more request could not expect a token within the longest wait.
    pub fn is_exhausted(&mut self, now: Instant) -> bool {
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            return true;
        }
        if self.is_starting_up(now) {
            return false;
        }
        let refill = tokens_in(self.bucket.share().rate, MAX_TOKEN_WAIT);
        let supply = self.available_tokens(now)
            + refill
            + self.borrowed.expected_tokens(now + MAX_TOKEN_WAIT);
        supply < self.needed_tokens() + TOKEN
    }

    /// Estimate of the time until one more request can get a token.
    pub fn time_to_token(&mut self, now: Instant) -> Duration {
        let needed = self.needed_tokens() + TOKEN;
        let missing =
            needed.saturating_sub(self.available_tokens(now) + self.borrowed.expected_tokens(now));
        let micros = u128::from(missing) * 1_000_000 / u128::from(self.declared.rate.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Reserves tokens for waiting requests in their order and returns the flights to wake. A token
    /// stays in the bucket until its flight is resumed, so that its capacity is not refilled before.
    pub fn reserve_tokens(&mut self, now: Instant) -> Vec<FlightKey> {
        let mut woken = Vec::new();
        let until = now + READY_TIMEOUT;
        while self.unreserved_tokens(now) >= TOKEN
            && let Some(waiting) = self.waiting.pop_front()
        {
            self.ready.push(ReadyRequest { waiting, until });
            woken.push(waiting.flight);
        }
        woken
    }

    /// Removes a request that no longer waits.
    pub fn remove_request(&mut self, flight: FlightKey) {
        self.waiting.retain(|w| w.flight != flight);
        self.ready.retain(|r| r.waiting.flight != flight);
    }

    /// Flights that wait or were woken.
    pub fn flights(&self) -> impl Iterator<Item = FlightKey> {
        let woken = self.ready.iter().map(|r| &r.waiting);
        self.waiting.iter().chain(woken).map(|w| w.flight)
    }

    /// Returns the loan requests to send, for the requests that wait and for the expected demand.
    pub fn loan_requests(&mut self, now: Instant) -> Vec<LoanRequest> {
        let available = self.available_tokens(now);
        let needed = self.needed_tokens();
        let own = self.bucket.share().rate;
        let unmet_demand = self.demand.saturating_sub(own);
        let is_low = available < needed + tokens_in(self.demand, LOW_WATER_MARK);
        let borrow_ahead = if is_low { tokens_in(unmet_demand, BORROW_AHEAD) } else { 0 };
        let missing = (needed + borrow_ahead).saturating_sub(available);
        let is_worthwhile = !self.waiting.is_empty() || missing >= TOKEN;
        if missing == 0 || !is_worthwhile || self.loan_requests_left == 0 {
            return Vec::new();
        }
        let loan_requests = self.borrowed.loan_requests(now, missing, self.loan_requests_left);
        self.loan_requests_left -= loan_requests.len();
        loan_requests
    }

    /// Updates the demand and releases the tokens of woken flights that were not resumed in time;
    /// called every [`TICK_PERIOD`].
    pub fn tick(&mut self, now: Instant) {
        while let Some(at) = self.ready.iter().rposition(|r| r.until <= now) {
            self.waiting.push_front(self.ready.remove(at).waiting);
        }
        let latest_demand = self.arrivals * TOKEN * 1000 / TICK_PERIOD.as_millis() as u64;
        self.demand = (self.demand * (DEMAND_SMOOTHING - 1) + latest_demand) / DEMAND_SMOOTHING;
        self.arrivals = 0;
        self.loan_requests_left = MAX_LOAN_REQUESTS_PER_TICK;
    }

    /// Whether a tick has nothing to do here.
    pub fn is_idle(&self) -> bool {
        let has_low_demand = self.arrivals == 0 && self.demand < TOKEN / 100;
        has_low_demand && self.flights().next().is_none() && self.borrowed.is_idle()
    }

    /// Own tokens, borrowed tokens and those expected from pending loan requests.
    fn available_tokens(&mut self, now: Instant) -> MicroTokens {
        self.bucket.tokens(now) + self.borrowed.tokens(now) + self.borrowed.pending_tokens()
    }

    /// Whether this host has just taken over its seat, or has missed a change of the limits that is not
    /// accepted yet. Its bucket is empty then, but will be filled soon.
    fn is_starting_up(&mut self, now: Instant) -> bool {
        !self.is_share_known || self.bucket.is_blocked(now)
    }

    /// Tokens needed by waiting and woken requests.
    fn needed_tokens(&self) -> MicroTokens {
        (self.waiting.len() + self.ready.len()) as u64 * TOKEN
    }

    /// Tokens that are not reserved for woken flights.
    fn unreserved_tokens(&mut self, now: Instant) -> MicroTokens {
        let by = now + READY_TIMEOUT;
        let tokens = self.borrowed.tokens(by) + self.bucket.tokens(now);
        tokens.saturating_sub(self.ready.len() as u64 * TOKEN)
    }

    /// Takes one token: borrowed tokens first, because they expire.
    fn take_token(&mut self, now: Instant) -> bool {
        if self.borrowed.tokens(now) + self.bucket.tokens(now) < TOKEN {
            return false;
        }
        let borrowed = self.borrowed.take(now, TOKEN);
        let own = self.bucket.take(now, TOKEN - borrowed);
        borrowed + own == TOKEN
    }
}

/// Tokens added in `span` at `rate` per second.
fn tokens_in(rate: MicroTokens, span: Duration) -> MicroTokens {
    let tokens = u128::from(rate) * span.as_micros() / 1_000_000;
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
