//! Configuration: revisions, the root record and the chunks that a declaration is stored in.

pub mod accept;
pub mod chunk;
pub mod held;
pub mod root;

pub use self::{
    accept::{Acceptance, Acks, DomainAck},
    chunk::{ChunkHash, SplitDeclaration, split},
    held::{Chunks, Held, resolve},
    root::{Declared, Root, SeatHolder},
};

/// Number of a revision: grows by one with every accepted write of the root record.
pub type Revision = u64;
