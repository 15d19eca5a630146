//! At most once: the right to run a request belongs to one life of one host.

pub mod clock;
pub mod id;
pub mod owner;
pub mod table;

use serde::{Deserialize, Serialize};

pub use self::{
    clock::Clock,
    id::{AnyId, CallerId, ID_LIFE, IdError, IdSecret, RequestId, RunKey},
    owner::{Owner, Takeover},
    table::{Begin, Limits, Table},
};
use crate::{declaration::KeyDigest, host::Incarnation, result::Code, time::UnixMillis};

/// Messages between hosts about request ids; tries are passed on by calls, see [`PassedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMsg {}

/// A whole answer of a backend server, kept for resends.
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
    /// Memory that the answer takes, in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        size_of::<Answer>() + self.body.len() + headers.sum::<usize>()
    }
}

/// A request that an entry host passes to the owner of its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRequest {
    /// The life that owns the id.
    pub owner: Incarnation,
    /// Name of the route.
    pub route: String,
    /// Digest of the caller's key; the key itself stays on the entry host.
    pub key: Option<KeyDigest>,
    /// The request id.
    pub id: String,
    /// Time that is left for the answer, in milliseconds.
    pub deadline: UnixMillis,
    /// Method.
    pub method: String,
    /// Path after the route, with the query.
    pub path_and_query: String,
    /// Names and values of the headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// The owner's answer to a request that was passed to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PassedReply {
    /// Another life of the host, or a host that does not own the id.
    NotOwner,
    /// The request ended with this code; with `Code::Done` the answer goes along.
    Ended(Code, Option<Answer>),
}
