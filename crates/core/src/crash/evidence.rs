//! Evidence that requests crash the servers that run them, as all hosts together have it.
//!
//! A request that crashes servers crashes each one that begins to run it. So a crash is evidence against
//! all requests that the server ran, and a complete answer to a later run of a request refutes the
//! crashes known before. Hosts report what they observed themselves, for a limited time, and the
//! crashes behind a refusal for as long as it lasts. Reports may be late, come twice or in any order:
//! the union of all is the same, and the age of a crash only grows, so that passing it on does not
//! keep it alive.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Fingerprint, OTHER_CRASH_WINDOW, crashes_to_refuse};
use crate::time::Instant;

/// Time after a lost connection in which a failed connection confirms the crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(2);
/// Time after a lost connection within which the server is not checked again.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a host reports its own observation.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Time before a host reports the only crash of a request. Most requests that happened to run there
/// are answered by another server meanwhile.
const FIRST_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time for which the crashes of a request are remembered after the last one.
const RETENTION: Duration = Duration::from_secs(48 * 3600);
/// Part of the retention in which crashes are not learned from others any more. It exceeds the error of
/// the ages, so crashes that have been forgotten do not come back.
const NO_LEARNING: Duration = Duration::from_secs(60);
/// Time within which crashes with a common cause become known here.
const SAME_CAUSE_WINDOW: Duration = Duration::from_secs(2);
/// Time after the last crash for which a request is refused.
const REFUSAL_DURATION: Duration = Duration::from_secs(60);
/// Time for which an answered request is remembered, at least.
const ANSWER_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of answered requests that are remembered from one period.
const MAX_ANSWERED: usize = 8192;
/// Maximum number of requests with crashes.
const MAX_REQUESTS: usize = 2048;
/// Number of requests that are forgotten at once when there are too many.
const FORGOTTEN_AT_ONCE: usize = MAX_REQUESTS / 4;
/// Maximum number of crashes of one request.
const MAX_CRASHES: usize = 16;
/// Maximum number of crashes in a report.
pub const MAX_REPORTED_CRASHES: usize = 96;

/// Short hash of the incarnation of a server.
pub type CrashedServer = u32;

/// A crash of a server while it ran a request, as hosts report it.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The server.
    pub server: CrashedServer,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether a later run of the request was answered completely.
    pub is_refuted: bool,
}

/// Crashes by request, at most [`MAX_REPORTED_CRASHES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    by_request: BTreeMap<Fingerprint, Vec<ReportedCrash>>,
}

impl CrashReport {
    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.by_request.values().map(Vec::len).sum()
    }

    /// Whether the report has no crash.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Removes all crashes.
    pub fn clear(&mut self) {
        self.by_request.clear();
    }

    /// The crashes of each request.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &[ReportedCrash])> {
        self.by_request.iter().map(|(fingerprint, crashes)| (*fingerprint, crashes.as_slice()))
    }

    /// Adds the crashes that another host reports.
    pub fn merge(&mut self, other: &CrashReport) {
        for (fingerprint, crashes) in &other.by_request {
            let known = self.by_request.entry(*fingerprint).or_default();
            for crash in crashes {
                match known.iter_mut().find(|k| k.server == crash.server) {
                    Some(known) => {
                        known.age = known.age.max(crash.age);
                        known.is_refuted |= crash.is_refuted;
                    }
                    None => known.push(*crash),
                }
            }
        }
        self.limit();
    }

    /// Drops crashes beyond the maximum: those of requests with the fewest crashes that are not refuted,
    /// and of these the oldest.
    fn limit(&mut self) {
        let mut excess = self.len().saturating_sub(MAX_REPORTED_CRASHES);
        if excess == 0 {
            return;
        }
        let rank = |crashes: &Vec<ReportedCrash>| {
            let open = crashes.iter().filter(|c| !c.is_refuted).count();
            (open, Reverse(crashes.iter().map(|c| c.age).min()))
        };
        let mut ranked: Vec<_> = self.by_request.iter().map(|(f, c)| (rank(c), *f)).collect();
        ranked.sort_unstable();
        for (_, fingerprint) in ranked {
            if excess == 0 {
                break;
            }
            let dropped = self.by_request.remove(&fingerprint).map_or(0, |crashes| crashes.len());
            excess = excess.saturating_sub(dropped);
        }
    }
}

/// A crash of a server while it ran a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    server: CrashedServer,
    /// When this host learned of the crash.
    known_since: Instant,
    /// Age of the crash at that moment. The crash may be older than the clock of this host.
    age_then: Duration,
    is_refuted: bool,
    /// Since when this host reports its own observation of the crash or of the refutation.
    reported_since: Option<Instant>,
}

impl Crash {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_since(self.known_since) + self.age_then
    }

    fn report(&self, now: Instant) -> ReportedCrash {
        ReportedCrash { server: self.server, age: self.age(now), is_refuted: self.is_refuted }
    }

    fn is_reported(&self, now: Instant) -> bool {
        let period = |since: Instant| since..=since + REPORT_PERIOD;
        self.reported_since.is_some_and(|since| period(since).contains(&now))
    }
}

/// What is known of a request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
}

impl Suspect {
    fn open(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|c| !c.is_refuted)
    }

    /// Time since the last crash that is not refuted.
    fn since_last(&self, now: Instant) -> Option<Duration> {
        self.open().map(|c| c.age(now)).min()
    }

    /// Number of crashes that count. Those of one cause count once if the request has been answered
    /// recently: a popular request runs on several of the servers that another cause ends.
    fn crash_count(&self, now: Instant, is_answered: bool) -> usize {
        if !is_answered {
            return self.open().count();
        }
        let mut ages: Vec<Duration> = self.open().map(|c| c.age(now)).collect();
        ages.sort_unstable();
        let (mut count, mut window_end) = (0, None);
        for age in ages {
            if window_end.is_none_or(|end| age > end) {
                count += 1;
                window_end = Some(age + SAME_CAUSE_WINDOW);
            }
        }
        count
    }

    /// Forgets crashes beyond the maximum: refuted ones first, and of these the oldest.
    fn make_room(&mut self, now: Instant) {
        self.crashes.sort_by_key(|c| (c.is_refuted, c.age(now)));
        self.crashes.truncate(MAX_CRASHES);
    }
}

/// A connection that was lost while a server ran a request.
#[derive(Clone, Copy, Debug)]
struct LostConnection {
    fingerprint: Fingerprint,
    server: CrashedServer,
    at: Instant,
}

/// Requests that were answered recently.
#[derive(Clone, Debug, Default)]
struct RecentAnswers {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    current_since: Instant,
}

impl RecentAnswers {
    fn insert(&mut self, now: Instant, fingerprint: Fingerprint) {
        let is_over = now.saturating_since(self.current_since) > ANSWER_PERIOD;
        if is_over || self.current.len() >= MAX_ANSWERED {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(fingerprint);
    }

    fn contains(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        now.saturating_since(self.current_since) <= 2 * ANSWER_PERIOD
            && (self.current.contains(&fingerprint) || self.previous.contains(&fingerprint))
    }
}

/// Crashes of servers with the requests that they ran, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    lost: Vec<LostConnection>,
    suspects: HashMap<Fingerprint, Suspect>,
    answered: RecentAnswers,
}

impl CrashEvidence {
    /// Records that a connection was lost while a server ran a request. Returns whether the server has to
    /// be checked: without a check, a crash is noticed only if this host soon has another request for
    /// the server.
    pub fn record_lost_connection(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        server: CrashedServer,
    ) -> bool {
        self.lost.retain(|l| now.saturating_since(l.at) <= CONFIRMATION_WINDOW);
        let is_recent = |l: &LostConnection| now.saturating_since(l.at) <= CHECK_PERIOD;
        let is_checked = self.lost.iter().any(|l| l.server == server && is_recent(l));
        self.lost.push(LostConnection { fingerprint, server, at: now });
        !is_checked
    }

    /// Records that a server accepts no connection; returns the requests that it ran when connections
    /// to it were lost.
    pub fn record_connect_failure(
        &mut self,
        now: Instant,
        server: CrashedServer,
    ) -> Vec<Fingerprint> {
        let is_recent = |l: &LostConnection| now.saturating_since(l.at) <= CONFIRMATION_WINDOW;
        let (crashed, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lost)
            .into_iter()
            .filter(is_recent)
            .partition(|l| l.server == server);
        self.lost = others;
        for lost in &crashed {
            self.record_crash(now, lost.fingerprint, server);
        }
        crashed.into_iter().map(|l| l.fingerprint).collect()
    }

    fn record_crash(&mut self, now: Instant, fingerprint: Fingerprint, server: CrashedServer) {
        self.make_room(now, fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.crashes.iter().any(|c| c.server == server) {
            return;
        }
        suspect.crashes.push(Crash {
            server,
            known_since: now,
            age_then: Duration::ZERO,
            is_refuted: false,
            reported_since: Some(now + FIRST_REPORT_DELAY),
        });
        suspect.make_room(now);
        report_at_once_if_repeated(now, suspect);
    }

    /// Records a complete answer to a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, now: Instant, sent_at: Instant, fingerprint: Fingerprint) {
        self.answered.insert(now, fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        for crash in
            suspect.crashes.iter_mut().filter(|c| !c.is_refuted && c.known_since <= sent_at)
        {
            crash.is_refuted = true;
            // Other hosts need not learn of a crash that none of them knows.
            let is_unknown_elsewhere = crash.reported_since.is_some_and(|since| now < since);
            crash.reported_since = (!is_unknown_elsewhere).then_some(now);
        }
    }

    /// Applies the crashes that other hosts report; returns whether one of the requests has several.
    pub fn receive(&mut self, now: Instant, report: &CrashReport) -> bool {
        let mut is_repeated = false;
        for (fingerprint, crashes) in report.iter() {
            let since_last = crashes.iter().map(|c| c.age).min().unwrap_or_default();
            let is_learned = since_last + NO_LEARNING <= RETENTION;
            for crash in crashes {
                self.receive_crash(now, fingerprint, crash, is_learned);
            }
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.make_room(now);
                report_at_once_if_repeated(now, suspect);
                is_repeated |= suspect.crashes.len() > 1;
            }
        }
        is_repeated
    }

    fn receive_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        reported: &ReportedCrash,
        is_learned: bool,
    ) {
        let known = self.suspects.get_mut(&fingerprint);
        let known = known.and_then(|s| s.crashes.iter_mut().find(|c| c.server == reported.server));
        if let Some(known) = known {
            known.age_then += reported.age.saturating_sub(known.age(now));
            if known.is_refuted && !reported.is_refuted {
                known.reported_since = Some(now);
            }
            known.is_refuted |= reported.is_refuted;
        } else if is_learned {
            self.make_room(now, fingerprint);
            self.suspects.entry(fingerprint).or_default().crashes.push(Crash {
                server: reported.server,
                known_since: now,
                age_then: reported.age,
                is_refuted: reported.is_refuted,
                reported_since: None,
            });
        }
    }

    /// Returns what this host reports to the others.
    pub fn to_report(&self, now: Instant) -> CrashReport {
        let mut report = CrashReport::default();
        for (fingerprint, suspect) in &self.suspects {
            let is_refused = self.is_refused(now, *fingerprint);
            let crashes = suspect.crashes.iter();
            let reported = crashes.filter(|c| c.is_reported(now) || (is_refused && !c.is_refuted));
            let reported: Vec<ReportedCrash> = reported.map(|c| c.report(now)).collect();
            if !reported.is_empty() {
                report.by_request.insert(*fingerprint, reported);
            }
        }
        report.limit();
        report
    }

    /// Whether a request has crashed so many servers that it is refused.
    pub fn is_refused(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        // A single crash proves nothing; this is what most suspects have.
        if suspect.crashes.len() < crashes_to_refuse(false)
            || suspect.since_last(now).is_none_or(|age| age > REFUSAL_DURATION)
        {
            return false;
        }
        let count = suspect.crash_count(now, self.answered.contains(now, fingerprint));
        count >= crashes_to_refuse(true)
            || (count >= crashes_to_refuse(false) && !self.have_others_crashed(now, suspect))
    }

    /// Whether servers crashed about the time of the request's last crash that had not run it, so that
    /// there is another cause as well.
    fn have_others_crashed(&self, now: Instant, suspect: &Suspect) -> bool {
        let Some(since_last) = suspect.since_last(now) else { return false };
        let is_near = |age: Duration| age.abs_diff(since_last) <= OTHER_CRASH_WINDOW;
        let has_run = |server| suspect.crashes.iter().any(|c| c.server == server);
        let mut crashes = self.suspects.values().flat_map(|s| &s.crashes);
        crashes.any(|c| is_near(c.age(now)) && !has_run(c.server))
    }

    /// The requests that are refused.
    pub fn refused_requests(&self, now: Instant) -> BTreeSet<Fingerprint> {
        self.suspects.keys().copied().filter(|f| self.is_refused(now, *f)).collect()
    }

    /// The crashes of a request.
    pub fn crashes_of(&self, now: Instant, fingerprint: Fingerprint) -> Vec<ReportedCrash> {
        let crashes = self.suspects.get(&fingerprint).into_iter().flat_map(|s| &s.crashes);
        crashes.map(|c| c.report(now)).collect()
    }

    /// Forgets crashes after the retention.
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.crashes.iter().any(|c| c.age(now) <= RETENTION));
    }

    /// Makes room for a further request by forgetting those with the fewest crashes that are not
    /// refuted, and of these the ones whose last crash is the oldest.
    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_REQUESTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let rank =
            |s: &Suspect| (s.open().count(), Reverse(s.crashes.iter().map(|c| c.age(now)).min()));
        let mut ranked: Vec<_> = self.suspects.iter().map(|(f, s)| (rank(s), *f)).collect();
        ranked.sort_unstable();
        for (_, fingerprint) in ranked.into_iter().take(FORGOTTEN_AT_ONCE) {
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Ends the delay of the first report if the request has another crash, which makes both important.
fn report_at_once_if_repeated(now: Instant, suspect: &mut Suspect) {
    if suspect.open().count() < 2 {
        return;
    }
    for crash in suspect.crashes.iter_mut().filter(|c| !c.is_refuted) {
        crash.reported_since = crash.reported_since.map(|since| since.min(now));
    }
}
