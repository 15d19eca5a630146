//! Sealing and opening of frames.
//!
//! A frame is a version byte, a 32-byte HMAC-SHA256 (RFC 2104) of all that follows, the sender's
//! incarnation and sequence number, and the postcard body.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use jasminestage_core::host::Incarnation;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;
use thiserror::Error;

/// Version of the frame format.
pub const VERSION: u8 = 1;
/// Largest frame in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Bytes of the keyed hash.
const MAC_BYTES: usize = 32;
/// Bytes before the sealed part.
const HEADER_BYTES: usize = 1 + MAC_BYTES;

/// Secret that all hosts of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey(Vec<u8>);

impl FleetKey {
    /// A key from the text of a settings file.
    pub fn new(secret: &str) -> Self {
        FleetKey(secret.as_bytes().to_vec())
    }

    /// A key for another purpose than frames, named by `label`.
    pub fn derive(&self, label: &str) -> [u8; 32] {
        self.mac().chain_update(label).finalize().into_bytes().into()
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.0).expect("HMAC takes keys of any length")
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

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
    /// The frame was seen before.
    #[error("The frame {sequence} of {sender} was seen before.")]
    Replayed {
        /// Life of the sending host.
        sender: Incarnation,
        /// Number of the frame.
        sequence: u64,
    },
}

#[derive(Serialize, Deserialize)]
struct Sealed<T> {
    sender: Incarnation,
    sequence: u64,
    msg: T,
}

/// A frame that was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<T> {
    /// Life of the sending host.
    pub sender: Incarnation,
    /// Number of the frame in that life.
    pub sequence: u64,
    /// The message.
    pub msg: T,
}

/// Seals a message.
pub fn seal<T: Serialize>(
    key: &FleetKey,
    sender: Incarnation,
    sequence: u64,
    msg: &T,
) -> Result<Vec<u8>, WireError> {
    let mut buf = vec![0; HEADER_BYTES];
    buf[0] = VERSION;
    let buf =
        postcard::to_extend(&Sealed { sender, sequence, msg }, buf).map_err(WireError::Body)?;
    let mac = key.mac().chain_update(&buf[HEADER_BYTES..]).finalize().into_bytes();
    let mut buf = buf;
    buf[1..HEADER_BYTES].copy_from_slice(&mac);
    Ok(buf)
}

/// Opens a frame; the keyed hash is checked before the body is decoded.
pub fn open<T: DeserializeOwned>(key: &FleetKey, frame: &[u8]) -> Result<Opened<T>, WireError> {
    if frame.len() <= HEADER_BYTES {
        return Err(WireError::Short(frame.len()));
    }
    if frame[0] != VERSION {
        return Err(WireError::Version(frame[0]));
    }
    let (header, body) = frame.split_at(HEADER_BYTES);
    key.mac().chain_update(body).verify_slice(&header[1..]).map_err(|_| WireError::Mac)?;
    let sealed: Sealed<T> = postcard::from_bytes(body).map_err(WireError::Body)?;
    Ok(Opened { sender: sealed.sender, sequence: sealed.sequence, msg: sealed.msg })
}
