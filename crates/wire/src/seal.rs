//! Sealing and opening of frames.
//!
//! A frame is a version byte, a 32-byte keyed hash of the version and all that follows, and the
//! postcard encoding of a [`Header`] and a message.

use jasminestage_core::host::Incarnation;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::keys::{FleetKey, KEY_BYTES, Purpose};

/// Version of the frame format.
pub const VERSION: u8 = 2;
/// Largest frame in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Bytes before the encoded part.
const PREFIX_BYTES: usize = 1 + KEY_BYTES;

/// A random number that a host draws to tell frames made for it lately from recorded ones.
pub type Nonce = u64;

/// Why a frame was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Too short for a header.
    #[error("The frame of {0} bytes is too short.")]
    Short(usize),
    /// Larger than the limit.
    #[error("The frame of {0} bytes is larger than the limit.")]
    Large(usize),
    /// Another version of the format.
    #[error("The frame has version {0}; this host speaks version {VERSION}.")]
    Version(u8),
    /// The keyed hash does not match.
    #[error("The frame's keyed hash does not match.")]
    Mac,
    /// The body cannot be decoded.
    #[error("The frame's body is damaged: {0}.")]
    Body(postcard::Error),
    /// Bytes follow the message.
    #[error("The frame holds {0} bytes after its message.")]
    Trailing(usize),
    /// The frame names no nonce of this host that is still good.
    #[error("The frame of {sender} was made for another host or too long ago.")]
    Stale {
        /// Life of the sending host.
        sender: Incarnation,
    },
    /// The frame was seen before.
    #[error("The frame {sequence} of {sender} was seen before.")]
    Replayed {
        /// Life of the sending host.
        sender: Incarnation,
        /// Number of the frame.
        sequence: u64,
    },
    /// There are too many senders to remember them all.
    #[error("Frames of {0} senders are remembered; the frame of another one is not taken.")]
    Senders(usize),
}

/// What a frame says besides its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Life of the sending host.
    pub sender: Incarnation,
    /// Number of the frame in that life, or of the call on its stream.
    pub sequence: u64,
    /// The sender's own nonce, to be echoed by the receiver.
    pub nonce: Nonce,
    /// The receiver's nonce, 0 when the sender knows none.
    pub echo: Nonce,
}

/// A frame that was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<T> {
    /// What the frame says besides its message.
    pub header: Header,
    /// The message.
    pub msg: T,
}

/// Seals a message.
pub fn seal<T: Serialize>(
    key: &FleetKey,
    purpose: Purpose,
    header: &Header,
    msg: &T,
) -> Result<Vec<u8>, WireError> {
    let mut buf = vec![0; PREFIX_BYTES];
    buf[0] = VERSION;
    let mut buf = postcard::to_extend(&(header, msg), buf).map_err(WireError::Body)?;
    let mac = key.mac(purpose, &[&[VERSION], &buf[PREFIX_BYTES..]]);
    buf[1..PREFIX_BYTES].copy_from_slice(&mac);
    Ok(buf)
}

/// Opens a frame; the keyed hash is checked before anything is decoded.
pub fn open<T: DeserializeOwned>(
    key: &FleetKey,
    purpose: Purpose,
    frame: &[u8],
) -> Result<Opened<T>, WireError> {
    if frame.len() <= PREFIX_BYTES {
        return Err(WireError::Short(frame.len()));
    }
    if frame[0] != VERSION {
        return Err(WireError::Version(frame[0]));
    }
    let (prefix, body) = frame.split_at(PREFIX_BYTES);
    if !key.verify(purpose, &[&[VERSION], body], &prefix[1..]) {
        return Err(WireError::Mac);
    }
    let ((header, msg), rest) = postcard::take_from_bytes(body).map_err(WireError::Body)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    Ok(Opened { header, msg })
}
