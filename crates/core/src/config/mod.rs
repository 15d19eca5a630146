//! Configuration: revisions, the root record and the chunks of the declaration.

pub mod accept;
pub mod chunk;
pub mod local;
pub mod root;

pub use self::{
    accept::{Acceptance, Acks, DomainAck},
    chunk::{ChunkHash, SplitDeclaration, split},
    local::{Chunks, LocalConfig, resolve_chunks},
    root::{AppliedDeclaration, Root, SeatHolder},
};

/// Revision number of the root record; every successful write increments it by one.
pub type Revision = u64;
