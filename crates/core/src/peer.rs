//! Calls between hosts: one request and one reply.

use serde::{Deserialize, Serialize};

use crate::{
    config::{ChunkHash, Revision, Root, chunk::Chunk},
    once::{ForwardedReply, ForwardedRequest},
};

/// A call to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Requests the root record, if it is newer than this revision.
    Root(Revision),
    /// Requests chunks of the declaration.
    Chunks(Vec<ChunkHash>),
    /// Forwards a caller's request whose request id the other host owns.
    Run(Box<ForwardedRequest>),
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The root record, if there is a newer one.
    Root(Option<Root>),
    /// The chunks that the host has.
    Chunks(Vec<Chunk>),
    /// Result of the forwarded request.
    Run(ForwardedReply),
    /// The host cannot process the call.
    Refused,
}
