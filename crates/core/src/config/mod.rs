//! Configuration: revisions, the root record and the chunks that a declaration is stored in.

pub mod chunk;
pub mod root;

use serde::{Deserialize, Serialize};

pub use self::{
    chunk::{ChunkHash, join, split},
    root::{Root, SeatHolder},
};

/// Number of a revision: grows by one with every accepted write of the root record.
pub type Revision = u64;

/// Messages between hosts about the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMsg {
    /// Asks for the root record when it is newer than `than`.
    WantRoot {
        /// The revision that the asking host holds.
        than: Revision,
    },
}
