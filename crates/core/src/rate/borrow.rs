//! Tokens borrowed from the homes of a workspace, and the state of the lenders.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{Holder, LOAN_LIFETIME, MicroTokens, SettledLoan, Share, TOKEN};
use crate::{host::Incarnation, time::Instant};

/// Time after which a pending request is no longer expected to be granted.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// First and longest backoff after a grant of no tokens.
const EMPTY_GRANT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1600));
/// First and longest backoff after a request timed out.
const TIMEOUT_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// Time before the expiry of a loan at which its unused tokens are returned.
const RETURN_MARGIN: Duration = Duration::from_millis(100);
/// Smallest number of tokens that is requested.
const MIN_LOAN: MicroTokens = TOKEN / 4;

/// Largest number of ended loans stored to be reported to one lender; the lender expires loans that
/// are not reported.
const MAX_UNREPORTED_LOANS: usize = 32;

/// Distance between two hosts, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// A home that another host holds.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    /// Incarnation of the host that holds it.
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub distance: Distance,
    pub share: Share,
    /// Tokens in its bucket according to its last report, received at `reported_at`.
    reported_tokens: MicroTokens,
    reported_at: Instant,
    /// No request is sent to it before this instant.
    backoff_until: Instant,
    backoff: Duration,
    /// Ended loans that have not been reported to it.
    settled: Vec<SettledLoan>,
}

impl Lender {
    pub fn new(now: Instant, holder: Holder, distance: Distance, share: Share) -> Self {
        Lender {
            incarnation: holder.incarnation,
            address: holder.address,
            distance,
            share,
            reported_tokens: share.burst,
            reported_at: now,
            backoff_until: now,
            backoff: Duration::ZERO,
            settled: Vec::new(),
        }
    }

    /// Estimate of the tokens that it has.
    fn expected_tokens(&self, now: Instant) -> MicroTokens {
        let micros = now.saturating_since(self.reported_at).as_micros();
        let refilled = micros * u128::from(self.share.rate) / 1_000_000;
        let refilled = u64::try_from(refilled).unwrap_or(u64::MAX);
        self.reported_tokens.saturating_add(refilled).min(self.share.burst)
    }

    fn back_off(&mut self, now: Instant, (first, longest): (Duration, Duration)) {
        self.backoff = (self.backoff * 2).clamp(first, longest);
        self.backoff_until = now + self.backoff;
    }
}

/// A loan with its remaining tokens.
#[derive(Clone, Debug)]
struct ActiveLoan {
    request_number: u64,
    lender: Incarnation,
    tokens: MicroTokens,
    expires_at: Instant,
}

/// A loan request without a reply.
#[derive(Clone, Debug)]
struct PendingRequest {
    lender: Incarnation,
    tokens: MicroTokens,
    sent_at: Instant,
    /// Whether a grant is still expected, that is, the request has not timed out.
    is_expected: bool,
}

/// A loan request to be sent.
#[derive(Clone, Debug)]
pub(super) struct LoanRequest {
    pub lender: Incarnation,
    pub to: SocketAddr,
    pub tokens: MicroTokens,
    pub settled: Vec<SettledLoan>,
}

/// Borrowed tokens of one workspace on one host.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowedTokens {
    pub lenders: Vec<Lender>,
    active_loans: VecDeque<ActiveLoan>,
    pending_requests: HashMap<u64, PendingRequest>,
}

impl BorrowedTokens {
    /// Tokens that can still be used at `by`.
    pub fn tokens(&self, by: Instant) -> MicroTokens {
        self.active_loans.iter().filter(|loan| by < loan.expires_at).map(|loan| loan.tokens).sum()
    }

    /// Tokens requested and still expected to be granted.
    pub fn pending_tokens(&self) -> MicroTokens {
        self.pending_requests.values().filter(|r| r.is_expected).map(|r| r.tokens).sum()
    }

    /// Whether there are no loans and no pending requests.
    pub fn is_idle(&self) -> bool {
        self.active_loans.is_empty() && self.pending_requests.is_empty()
    }

    /// Takes up to `wanted` tokens, from the loans that expire first.
    pub fn take(&mut self, now: Instant, wanted: MicroTokens) -> MicroTokens {
        self.active_loans.retain(|loan| now < loan.expires_at);
        let mut taken = 0;
        for loan in &mut self.active_loans {
            let part = loan.tokens.min(wanted - taken);
            loan.tokens -= part;
            taken += part;
        }
        while self.active_loans.front().is_some_and(|loan| loan.tokens == 0) {
            let Some(loan) = self.active_loans.pop_front() else { break };
            self.settle(
                loan.lender,
                SettledLoan { request_number: loan.request_number, unused: 0 },
            );
        }
        taken
    }

    /// Estimate of the tokens that lenders can lend at `at` in addition to those already requested.
    pub fn expected_tokens(&self, at: Instant) -> MicroTokens {
        let available = self.lenders.iter().filter(|l| at >= l.backoff_until);
        available
            .map(|l| l.expected_tokens(at).saturating_sub(self.requested_from(l.incarnation)))
            .sum()
    }

    /// Up to `max_requests` requests for `wanted` tokens in total: the nearest lenders first, and
    /// among equally near ones those with the most tokens.
    pub fn loan_requests(
        &mut self,
        now: Instant,
        wanted: MicroTokens,
        max_requests: usize,
    ) -> Vec<LoanRequest> {
        let mut candidates: Vec<_> = self.available_lenders(now).collect();
        candidates
            .sort_by_key(|&(n, tokens)| (self.lenders[n].distance, std::cmp::Reverse(tokens)));
        let mut left = wanted;
        let mut loan_requests = Vec::new();
        for (n, tokens) in candidates {
            if left == 0 || loan_requests.len() == max_requests {
                break;
            }
            let lender = &mut self.lenders[n];
            let tokens = tokens.min(left.max(MIN_LOAN));
            left = left.saturating_sub(tokens);
            let settled = std::mem::take(&mut lender.settled);
            let (incarnation, to) = (lender.incarnation, lender.address);
            loan_requests.push(LoanRequest { lender: incarnation, to, tokens, settled });
        }
        loan_requests
    }

    /// Records that a request was sent.
    pub fn record_request(&mut self, now: Instant, request_number: u64, request: &LoanRequest) {
        let LoanRequest { lender, tokens, .. } = *request;
        self.pending_requests.insert(
            request_number,
            PendingRequest { lender, tokens, sent_at: now, is_expected: true },
        );
    }

    /// Processes a grant; returns whether it is valid. A grant is valid once, from the lender that
    /// was asked, and before the loan expires.
    pub fn handle_grant(
        &mut self,
        now: Instant,
        from: Incarnation,
        request_number: u64,
        tokens: MicroTokens,
        tokens_left: MicroTokens,
    ) -> bool {
        if self.pending_requests.get(&request_number).is_none_or(|request| request.lender != from) {
            return false;
        }
        let Some(request) = self.pending_requests.remove(&request_number) else { return false };
        if let Some(lender) = self.lender(from) {
            lender.reported_tokens = tokens_left;
            lender.reported_at = now;
            if tokens > 0 {
                lender.backoff = Duration::ZERO;
                lender.backoff_until = now;
            } else {
                lender.back_off(now, EMPTY_GRANT_BACKOFF);
            }
        }
        let expires_at = request.sent_at + LOAN_LIFETIME;
        let is_valid = tokens > 0 && tokens <= request.tokens && now < expires_at;
        if is_valid {
            let at = self.active_loans.partition_point(|loan| loan.expires_at <= expires_at);
            self.active_loans
                .insert(at, ActiveLoan { request_number, lender: from, tokens, expires_at });
        }
        is_valid
    }

    /// Times out pending requests. Returns the numbers of the requests whose loans would have expired,
    /// and the loans to return with the addresses of their lenders.
    pub fn tick(&mut self, now: Instant) -> (Vec<u64>, Vec<(SocketAddr, SettledLoan)>) {
        let expected_grants: Vec<_> =
            self.pending_requests.values_mut().filter(|r| r.is_expected).collect();
        let mut unresponsive = Vec::new();
        for request in expected_grants {
            if now.saturating_since(request.sent_at) >= LOAN_REQUEST_TIMEOUT {
                request.is_expected = false;
                unresponsive.push(request.lender);
            }
        }
        for incarnation in unresponsive {
            if let Some(lender) = self.lender(incarnation) {
                lender.back_off(now, TIMEOUT_BACKOFF);
            }
        }
        let is_expired = |request: &PendingRequest| now >= request.sent_at + LOAN_LIFETIME;
        let expired: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, r)| is_expired(r))
            .map(|(request_number, _)| *request_number)
            .collect();
        self.pending_requests.retain(|_, request| !is_expired(request));
        let mut to_return = Vec::new();
        while self.active_loans.front().is_some_and(|loan| loan.expires_at <= now + RETURN_MARGIN) {
            let Some(loan) = self.active_loans.pop_front() else { break };
            let address = self.lender(loan.lender).map(|l| l.address);
            if let Some(address) = address.filter(|_| now < loan.expires_at) {
                to_return.push((
                    address,
                    SettledLoan { request_number: loan.request_number, unused: loan.tokens },
                ));
            }
        }
        (expired, to_return)
    }

    fn lender(&mut self, incarnation: Incarnation) -> Option<&mut Lender> {
        self.lenders.iter_mut().find(|l| l.incarnation == incarnation)
    }

    fn settle(&mut self, incarnation: Incarnation, settled: SettledLoan) {
        if let Some(lender) = self.lender(incarnation)
            && lender.settled.len() < MAX_UNREPORTED_LOANS
        {
            lender.settled.push(settled);
        }
    }

    /// Tokens requested from one lender and still expected to be granted.
    fn requested_from(&self, incarnation: Incarnation) -> MicroTokens {
        let expected_requests =
            self.pending_requests.values().filter(|r| r.is_expected && r.lender == incarnation);
        expected_requests.map(|r| r.tokens).sum()
    }

    /// Indices of the lenders that can be asked, with an estimate of the tokens of each.
    fn available_lenders(&self, now: Instant) -> impl Iterator<Item = (usize, MicroTokens)> {
        self.lenders.iter().enumerate().filter_map(move |(n, lender)| {
            let tokens = lender.expected_tokens(now);
            let is_available = now >= lender.backoff_until
                && tokens >= MIN_LOAN
                && self.requested_from(lender.incarnation) == 0;
            is_available.then_some((n, tokens))
        })
    }
}
