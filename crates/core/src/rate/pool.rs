//! One workspace on one host: its bucket, its borrowed tokens and its waiting requests.

use std::{collections::VecDeque, time::Duration};

use super::{
    LOAN_LIFETIME, MAX_WAIT, MicroTokens, Share, TOKEN,
    borrow::{Borrowed, Question},
    bucket::Bucket,
};
use crate::{
    time::Instant,
    traffic::{FlightKey, TICK_PERIOD},
};

/// Longest wait of a request for a token on a host that has only just come to its seat.
const MAX_START_WAIT: Duration = Duration::from_millis(1500);
/// Requests of one workspace that wait on one host.
const MAX_WAITING: usize = 64;
/// Time in which a woken request must be resumed to use its token.
const READY_LIFETIME: Duration = Duration::from_millis(50);
/// Questions for one workspace between two ticks.
const MAX_ASKS_PER_TICK: usize = 8;
/// Demand for which tokens should be at hand.
const LOW_WATER: Duration = Duration::from_millis(50);
/// Demand for which tokens are borrowed at once.
const ASK_AHEAD: Duration = Duration::from_millis(200);
const _: () = assert!(ASK_AHEAD.as_millis() < LOAN_LIFETIME.as_millis());
/// Weight of the last tick in the demand, as a fraction of this number.
const DEMAND_WEIGHT: u64 = 4;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    flight: FlightKey,
    until: Instant,
}

/// A request that was woken and for which a token is kept until an instant.
#[derive(Clone, Copy, Debug)]
struct Ready {
    waiting: Waiting,
    until: Instant,
}

/// What a request for a token came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    Taken,
    Waiting(Instant),
    Refused,
}

/// One workspace on one host.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub name: String,
    /// Declared rate and burst of the workspace.
    pub whole: Share,
    /// Whether the share of this host's seat is known.
    pub is_known: bool,
    pub bucket: Bucket,
    pub borrowed: Borrowed,
    waiting: VecDeque<Waiting>,
    ready: Vec<Ready>,
    arrivals: u64,
    /// Tokens in millionths asked for per second.
    demand: MicroTokens,
    asks_left: usize,
}

impl Pool {
    pub fn new(now: Instant, name: &str) -> Self {
        Pool {
            name: name.to_owned(),
            whole: Share::default(),
            is_known: false,
            bucket: Bucket::new(now),
            borrowed: Borrowed::default(),
            waiting: VecDeque::new(),
            ready: Vec::new(),
            arrivals: 0,
            demand: 0,
            asks_left: MAX_ASKS_PER_TICK,
        }
    }

    /// Asks for a token for a request that has just arrived.
    pub fn enter(&mut self, now: Instant, flight: FlightKey, deadline: Instant) -> Entry {
        self.arrivals += 1;
        if self.waiting.is_empty() && self.unkept(now) >= TOKEN && self.take_token(now) {
            return Entry::Taken;
        }
        if self.is_exhausted(now) {
            return Entry::Refused;
        }
        let longest = if self.is_starting(now) { MAX_START_WAIT } else { MAX_WAIT };
        let until = deadline.min(now + longest);
        self.waiting.push_back(Waiting { flight, until });
        Entry::Waiting(until)
    }

    /// Goes on with a request that was woken or whose time has come; none for any other one.
    pub fn enter_again(&mut self, now: Instant, flight: FlightKey) -> Option<Entry> {
        if let Some(at) = self.ready.iter().position(|r| r.waiting.flight == flight) {
            let waiting = self.ready.remove(at).waiting;
            if self.take_token(now) {
                return Some(Entry::Taken);
            }
            self.waiting.push_front(waiting);
        }
        let at = self.waiting.iter().position(|w| w.flight == flight)?;
        let until = self.waiting[at].until;
        if now < until {
            return Some(Entry::Waiting(until));
        }
        self.waiting.remove(at);
        Some(Entry::Refused)
    }

    /// Whether one more request would find no token within the longest wait.
    pub fn is_exhausted(&mut self, now: Instant) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return true;
        }
        if self.is_starting(now) {
            return false;
        }
        let refill = tokens_in(self.bucket.share().rate, MAX_WAIT);
        let supply = self.at_hand(now) + refill + self.borrowed.expected(now + MAX_WAIT);
        supply < self.needed() + TOKEN
    }

    /// Time until one more request can be expected to find a token.
    pub fn next_token(&mut self, now: Instant) -> Duration {
        let needed = self.needed() + TOKEN;
        let missing = needed.saturating_sub(self.at_hand(now) + self.borrowed.expected(now));
        let micros = u128::from(missing) * 1_000_000 / u128::from(self.whole.rate.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Flights for which a token is now kept, first come first served. The token stays in the
    /// bucket until the flight is resumed, so that its room is not filled in between.
    pub fn deliver(&mut self, now: Instant) -> Vec<FlightKey> {
        let mut woken = Vec::new();
        let until = now + READY_LIFETIME;
        while self.unkept(now) >= TOKEN
            && let Some(waiting) = self.waiting.pop_front()
        {
            self.ready.push(Ready { waiting, until });
            woken.push(waiting.flight);
        }
        woken
    }

    /// Removes a request that waits no longer.
    pub fn forget(&mut self, flight: FlightKey) {
        self.waiting.retain(|w| w.flight != flight);
        self.ready.retain(|r| r.waiting.flight != flight);
    }

    /// Flights that wait or were woken.
    pub fn flights(&self) -> impl Iterator<Item = FlightKey> {
        let woken = self.ready.iter().map(|r| &r.waiting);
        self.waiting.iter().chain(woken).map(|w| w.flight)
    }

    /// Questions to lenders: for requests that wait, and ahead of the demand.
    pub fn questions(&mut self, now: Instant) -> Vec<Question> {
        let at_hand = self.at_hand(now);
        let needed = self.needed();
        let own = self.bucket.share().rate;
        let beyond_own = self.demand.saturating_sub(own);
        let is_low = at_hand < needed + tokens_in(self.demand, LOW_WATER);
        let ahead = if is_low { tokens_in(beyond_own, ASK_AHEAD) } else { 0 };
        let missing = (needed + ahead).saturating_sub(at_hand);
        let worth_it = !self.waiting.is_empty() || missing >= TOKEN;
        if missing == 0 || !worth_it || self.asks_left == 0 {
            return Vec::new();
        }
        let questions = self.borrowed.questions(now, missing, self.asks_left);
        self.asks_left -= questions.len();
        questions
    }

    /// Updates the demand and keeps no token for flights that were not resumed; called every tick.
    pub fn tick(&mut self, now: Instant) {
        while let Some(at) = self.ready.iter().rposition(|r| r.until <= now) {
            self.waiting.push_front(self.ready.remove(at).waiting);
        }
        let last = self.arrivals * TOKEN * 1000 / TICK_PERIOD.as_millis() as u64;
        self.demand = (self.demand * (DEMAND_WEIGHT - 1) + last) / DEMAND_WEIGHT;
        self.arrivals = 0;
        self.asks_left = MAX_ASKS_PER_TICK;
    }

    /// Whether a tick has nothing to do here.
    pub fn is_idle(&self) -> bool {
        let quiet = self.arrivals == 0 && self.demand < TOKEN / 100;
        quiet && self.flights().next().is_none() && self.borrowed.is_idle()
    }

    /// Tokens of this host, borrowed or counted on.
    fn at_hand(&mut self, now: Instant) -> MicroTokens {
        self.bucket.tokens(now) + self.borrowed.tokens(now) + self.borrowed.pending()
    }

    /// Whether this host has only just come to its seat, or to a change that it knows not to be
    /// accepted: its tokens come soon.
    fn is_starting(&mut self, now: Instant) -> bool {
        !self.is_known || self.bucket.is_blocked(now)
    }

    /// Tokens that the requests here need.
    fn needed(&self) -> MicroTokens {
        (self.waiting.len() + self.ready.len()) as u64 * TOKEN
    }

    /// Tokens that are not kept for woken flights.
    fn unkept(&mut self, now: Instant) -> MicroTokens {
        let by = now + READY_LIFETIME;
        let tokens = self.borrowed.tokens(by) + self.bucket.tokens(now);
        tokens.saturating_sub(self.ready.len() as u64 * TOKEN)
    }

    /// Takes one token: borrowed tokens first, for they end.
    fn take_token(&mut self, now: Instant) -> bool {
        if self.borrowed.tokens(now) + self.bucket.tokens(now) < TOKEN {
            return false;
        }
        let borrowed = self.borrowed.take(now, TOKEN);
        let own = self.bucket.take(now, TOKEN - borrowed);
        borrowed + own == TOKEN
    }
}

/// Tokens that come in a span at `rate` per second.
fn tokens_in(rate: MicroTokens, span: Duration) -> MicroTokens {
    let tokens = u128::from(rate) * span.as_micros() / 1_000_000;
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
