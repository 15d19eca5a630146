//! Calls between hosts: one question, one answer.

use serde::{Deserialize, Serialize};

use crate::{
    config::{ChunkHash, Revision, Root, chunk::Chunk},
    once::{ForwardedReply, ForwardedRequest},
};

/// A question to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// The root record, when it is newer than this revision.
    Root(Revision),
    /// Chunks of the declaration.
    Chunks(Vec<ChunkHash>),
    /// A request whose id the other host owns.
    Run(Box<ForwardedRequest>),
}

/// An answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The root record, when there is a newer one.
    Root(Option<Root>),
    /// The chunks that the host has.
    Chunks(Vec<Chunk>),
    /// How the request ended.
    Run(ForwardedReply),
    /// The host cannot answer.
    Refused,
}
