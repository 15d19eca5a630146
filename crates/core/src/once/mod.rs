//! At-most-once execution: only one incarnation of one host, the owner of its id, may run a request.

pub mod clock;
pub mod id;
pub mod owner;
pub mod table;

use serde::{Deserialize, Serialize};

pub use self::{
    clock::WallClock,
    id::{AnyId, CallerId, DedupKey, ID_LIFETIME, IdError, IdSecret, RequestId},
    owner::{Owner, SeatTakeover},
    table::{BeginOutcome, DedupLimits, DedupTable},
};
use crate::{host::Incarnation, result::Code, time::UnixMillis, world::KeyDigest};

/// Messages between hosts about request ids. There are none: requests are forwarded by calls, see
/// [`ForwardedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMsg {}

/// Complete answer of a backend server, stored for resends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Approximate memory use, in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        size_of::<Answer>() + self.body.len() + headers.sum::<usize>()
    }
}

/// Request that an entry host forwards to the owner of its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Incarnation of the host that owns the id.
    pub owner: Incarnation,
    /// Name of the route.
    pub route: String,
    /// Digest of the caller's key; the key itself is not sent.
    pub key: Option<KeyDigest>,
    /// The request id.
    pub id: String,
    /// Time left for the answer, in milliseconds.
    pub timeout_ms: UnixMillis,
    /// Method.
    pub method: String,
    /// Path after the route, with the query.
    pub path_and_query: String,
    /// Names and values of the forwarded headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Reply of the owner to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedReply {
    /// The replying host has another incarnation or does not own the id.
    NotOwner,
    /// The request ended with this code; the answer is present with `Code::Done`.
    Ended(Code, Option<Answer>),
}
