//! Numbered log events.

use std::fmt;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something an operator must see.
    Error,
    /// Something an operator may want to see.
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
            /// Every kind, in the order of its number.
            pub const ALL: &'static [Kind] = &[$(Kind::$name,)+];

            /// Number of the event, stable across releases.
            pub const fn number(self) -> u16 {
                match self { $(Kind::$name => $number,)+ }
            }

            /// Severity of the event.
            pub const fn level(self) -> Level {
                match self { $(Kind::$name => Level::$level,)+ }
            }

            /// One sentence for people.
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
    /// The stop took longer than its declared limit.
    StopOverdue = 4, Warn;
    /// A revision of the configuration is in force on this host.
    RevisionInForce = 20, Info;
    /// A revision was ignored because it is not newer than the one in force.
    RevisionIgnored = 21, Info;
    /// A revision was ignored because it is incomplete or its hash does not match.
    RevisionDamaged = 22, Warn;
    /// This host took a seat of its failure domain.
    SeatTaken = 23, Info;
    /// This host may use its seat.
    SeatConfirmed = 24, Info;
    /// This host has lost its seat or may use it no more.
    SeatLost = 25, Warn;
    /// The authority for keyed routes has ended on this host.
    AuthorityEnded = 26, Warn;
    /// The authority for keyed routes holds again on this host.
    AuthorityHolds = 27, Info;
    /// The platform's store does not answer.
    StoreUnavailable = 30, Warn;
    /// The platform's store answers again.
    StoreAvailable = 31, Info;
    /// A member of the fleet was heard for the first time.
    MemberJoined = 40, Info;
    /// A member of the fleet has not been heard within the limit.
    MemberSilent = 41, Warn;
    /// No delegate of another failure domain has been heard within the limit.
    DomainSilent = 42, Warn;
    /// Another failure domain was heard.
    DomainHeard = 43, Info;
    /// A message from another host was rejected.
    MessageRejected = 50, Warn;
    /// An answer of a backend server belongs to another try and was dropped.
    CrossedAnswer = 65, Warn;
    /// A backend server fails and gets no requests for a while.
    ServerEjected = 70, Warn;
    /// This host stops giving requests to the new version of a move.
    RolloutStopped = 75, Warn;
    /// A step of a move was recorded.
    RolloutStep = 76, Info;
    /// A move was taken back.
    RolloutTakenBack = 77, Warn;
    /// A move is done.
    RolloutDone = 78, Info;
    /// A move will not be done by its declared time.
    RolloutLate = 79, Warn;
    /// A request is held back because backend servers died while they ran it.
    Quarantined = 85, Warn;
    /// A broken invariant was found; the part concerned stops serving.
    InvariantBroken = 90, Error;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

/// A log event with its free text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What happened.
    pub kind: Kind,
    /// The particulars.
    pub detail: String,
}

impl Event {
    /// An event of `kind` with its particulars.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Event { kind, detail: detail.into() }
    }
}
