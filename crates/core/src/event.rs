//! Numbered log events.

use std::fmt;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An operator must act.
    Error,
    /// An operator may have to act.
    Warn,
    /// A change of state.
    Info,
}

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// Kind of a log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Kind {
            /// All kinds, in ascending order of their numbers.
            pub const ALL: &'static [Kind] = &[$(Kind::$name,)+];

            /// Number of the event, stable across releases.
            pub const fn number(self) -> u16 {
                match self { $(Kind::$name => $number,)+ }
            }

            /// Severity of the event.
            pub const fn level(self) -> Level {
                match self { $(Kind::$name => Level::$level,)+ }
            }

            /// Human-readable description, one sentence.
            pub fn text(self) -> &'static str {
                match self { $(Kind::$name => concat!($($doc),+).trim_start(),)+ }
            }
        }
    };
}

events! {
    /// The process has started.
    Started = 1, Info;
    /// A graceful stop has begun.
    Stopping = 2, Info;
    /// The process stops.
    Stopped = 3, Info;
    /// The graceful stop took longer than its time limit.
    StopOverdue = 4, Warn;
    /// A revision of the configuration is in force on this host.
    RevisionInForce = 20, Info;
    /// A revision was ignored because it is not newer than the one in force.
    RevisionIgnored = 21, Info;
    /// A revision was ignored because it is incomplete or its hash does not match.
    RevisionDamaged = 22, Warn;
    /// This host took a seat of its failure domain.
    SeatTaken = 23, Info;
    /// The seat of this host is confirmed and may be used.
    SeatConfirmed = 24, Info;
    /// This host has lost its seat or may no longer use it.
    SeatLost = 25, Warn;
    /// The authority for keyed routes has ended on this host.
    AuthorityEnded = 26, Warn;
    /// The authority for keyed routes is valid again on this host.
    AuthorityHolds = 27, Info;
    /// The store holds another root record than the one in force with a lower revision, because it was
    /// restored from a copy; the record gets a higher one.
    RevisionRaised = 28, Warn;
    /// The platform's store does not answer.
    StoreUnavailable = 30, Warn;
    /// The platform's store answers again.
    StoreAvailable = 31, Info;
    /// The first message from a host of the fleet was received.
    MemberJoined = 40, Info;
    /// No message from a host of the fleet was received within the limit.
    MemberSilent = 41, Warn;
    /// No message from the delegates of another failure domain was received within the limit.
    DomainSilent = 42, Warn;
    /// A message from another failure domain was received.
    DomainHeard = 43, Info;
    /// A message from another host was rejected.
    MessageRejected = 50, Warn;
    /// A client was refused or cut because a limit on connections, memory or transfer rates was reached.
    ClientLimited = 55, Warn;
    /// An answer of a backend server belongs to another try and was dropped.
    CrossedAnswer = 65, Warn;
    /// A failing backend server was ejected and temporarily receives no requests.
    ServerEjected = 70, Warn;
    /// This host has stopped sending requests to the new version of a move.
    RolloutStopped = 75, Warn;
    /// A step of a move was recorded.
    RolloutStep = 76, Info;
    /// A move was rolled back.
    RolloutTakenBack = 77, Warn;
    /// A move is done.
    RolloutDone = 78, Info;
    /// A move will not be done by its deadline.
    RolloutLate = 79, Warn;
    /// A request is held back because backend servers crashed while they ran it.
    Quarantined = 85, Warn;
    /// An invariant is violated; the affected part stops serving.
    InvariantBroken = 90, Error;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

/// A log event with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Kind of the event.
    pub kind: Kind,
    /// Details, as free text.
    pub detail: String,
}

impl Event {
    /// Creates an event of `kind` with its details.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Event { kind, detail: detail.into() }
    }
}
