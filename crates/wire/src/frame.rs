//! Encoding and decoding of authenticated frames.
//!
//! A frame is a version byte, a 32-byte HMAC of the version byte and the body, and the body: the
//! postcard encoding of a [`Header`] and a message. Frames are not encrypted.

use jasminestage_core::host::Incarnation;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::keys::{FleetKey, KEY_BYTES, Purpose};

/// Version of the frame format.
pub const VERSION: u8 = 2;
/// Largest frame in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Length of the version byte and the MAC, in bytes.
const PREFIX_BYTES: usize = 1 + KEY_BYTES;

/// A random number by which a host distinguishes recent frames addressed to it from recorded ones.
pub type Nonce = u64;

/// Why a frame was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Too short for a version byte, a MAC and a body.
    #[error("The frame of {0} bytes is too short.")]
    FrameTooShort(usize),
    /// Larger than the limit.
    #[error("The frame of {0} bytes is larger than the limit.")]
    FrameTooLarge(usize),
    /// Another version of the frame format.
    #[error("The frame has format version {0}; this host supports version {VERSION}.")]
    UnsupportedVersion(u8),
    /// The MAC does not match.
    #[error("The MAC of the frame does not match; check that all hosts have the same secret.")]
    MacMismatch,
    /// The body cannot be decoded.
    #[error("The body of the frame cannot be decoded: {0}.")]
    InvalidBody(postcard::Error),
    /// Bytes follow the message.
    #[error("The frame has {0} bytes after its message.")]
    TrailingBytes(usize),
    /// The frame does not echo the current or previous nonce of this host.
    #[error("The frame of {sender} was made for another host or too long ago.")]
    StaleNonce {
        /// Incarnation of the sending host.
        sender: Incarnation,
    },
    /// The frame was received before, is older than the replay window, or belongs to another
    /// connection.
    #[error("The frame {sequence} of {sender} is a replay or too old.")]
    Replayed {
        /// Incarnation of the sending host.
        sender: Incarnation,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The replay window has no room for another sender.
    #[error("The frame of a new sender is rejected: the limit of {0} senders is reached.")]
    TooManySenders(usize),
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Incarnation of the sending host.
    pub sender: Incarnation,
    /// Sequence number of the frame in that incarnation, or of the call on its connection.
    pub sequence: u64,
    /// The sender's own nonce, to be echoed by the receiver.
    pub nonce: Nonce,
    /// The receiver's nonce as last received by the sender, 0 if none was.
    pub echo: Nonce,
}

/// A frame that was authenticated and decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedFrame<T> {
    /// Header of the frame.
    pub header: Header,
    /// The message.
    pub msg: T,
}

/// Encodes a message as a frame with a MAC.
pub fn encode_frame<T: Serialize>(
    key: &FleetKey,
    purpose: Purpose,
    header: &Header,
    msg: &T,
) -> Result<Vec<u8>, WireError> {
    let mut buf = vec![0; PREFIX_BYTES];
    buf[0] = VERSION;
    let mut buf = postcard::to_extend(&(header, msg), buf).map_err(WireError::InvalidBody)?;
    let mac = key.mac(purpose, &[&[VERSION], &buf[PREFIX_BYTES..]]);
    buf[1..PREFIX_BYTES].copy_from_slice(&mac);
    Ok(buf)
}

/// Decodes a frame; the MAC is verified before anything is decoded.
pub fn decode_frame<T: DeserializeOwned>(
    key: &FleetKey,
    purpose: Purpose,
    frame: &[u8],
) -> Result<DecodedFrame<T>, WireError> {
    if frame.len() <= PREFIX_BYTES {
        return Err(WireError::FrameTooShort(frame.len()));
    }
    if frame[0] != VERSION {
        return Err(WireError::UnsupportedVersion(frame[0]));
    }
    let (prefix, body) = frame.split_at(PREFIX_BYTES);
    if !key.verify(purpose, &[&[VERSION], body], &prefix[1..]) {
        return Err(WireError::MacMismatch);
    }
    let ((header, msg), rest) = postcard::take_from_bytes(body).map_err(WireError::InvalidBody)?;
    if !rest.is_empty() {
        return Err(WireError::TrailingBytes(rest.len()));
    }
    Ok(DecodedFrame { header, msg })
}
