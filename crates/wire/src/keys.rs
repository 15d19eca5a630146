//! Keys derived from the shared secret of a fleet, one per purpose.

use std::fmt;

use hkdf::Hkdf;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Salt of the key derivation: the name and version of the protocol.
const SALT: &[u8] = b"jasminestage fleet v1";
/// Length of a derived key and of a MAC, in bytes.
pub const KEY_BYTES: usize = 32;

/// What a derived key is used for. A MAC made for one purpose is invalid for every other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Datagrams between hosts.
    Datagram,
    /// Calls over a stream, sent by the host that opened the connection.
    StreamCall,
    /// Replies over a stream, sent by the host that accepted the connection.
    StreamReply,
    /// Request ids that hosts issue to callers.
    RequestId,
}

impl Purpose {
    const ALL: [Purpose; 4] =
        [Purpose::Datagram, Purpose::StreamCall, Purpose::StreamReply, Purpose::RequestId];

    fn label(self) -> &'static [u8] {
        match self {
            Purpose::Datagram => b"datagram",
            Purpose::StreamCall => b"stream call",
            Purpose::StreamReply => b"stream reply",
            Purpose::RequestId => b"request id",
        }
    }
}

type DerivedKeys = [[u8; KEY_BYTES]; Purpose::ALL.len()];

/// Keys of a fleet: those of its current secret and, while the secret is being rotated, those of
/// another secret that is accepted but never used to authenticate outgoing frames.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    current: DerivedKeys,
    old: Option<DerivedKeys>,
}

impl FleetKey {
    /// Derives the keys from the value of the setting `secret`.
    pub fn new(secret: &str) -> Self {
        FleetKey { current: derive(secret), old: None }
    }

    /// Replaces the secret that outgoing frames are authenticated with.
    pub fn set_secret(&mut self, secret: &str) {
        self.current = derive(secret);
    }

    /// Sets a second secret whose MACs are accepted as well.
    pub fn set_old_secret(&mut self, secret: &str) {
        self.old = Some(derive(secret));
    }

    /// The key of the current secret for a purpose.
    pub fn key(&self, purpose: Purpose) -> &[u8; KEY_BYTES] {
        &self.current[purpose as usize]
    }

    /// The key of the old secret for a purpose, if one is set.
    pub fn old_key(&self, purpose: Purpose) -> Option<&[u8; KEY_BYTES]> {
        self.old.as_ref().map(|keys| &keys[purpose as usize])
    }

    /// HMAC-SHA256 (RFC 2104) of the concatenated parts.
    pub fn mac(&self, purpose: Purpose, parts: &[&[u8]]) -> [u8; KEY_BYTES] {
        hmac(self.key(purpose), parts).finalize().into_bytes().into()
    }

    /// Whether `tag` is the MAC of the parts under the current or the old secret, compared in
    /// constant time.
    pub fn verify(&self, purpose: Purpose, parts: &[&[u8]], tag: &[u8]) -> bool {
        let keys = [Some(self.key(purpose)), self.old_key(purpose)];
        keys.into_iter().flatten().any(|key| hmac(key, parts).verify_slice(tag).is_ok())
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

fn hmac(key: &[u8; KEY_BYTES], parts: &[&[u8]]) -> Hmac<Sha256> {
    let hmac = Hmac::new_from_slice(key).expect("HMAC takes keys of any length");
    parts.iter().fold(hmac, |hmac, part| hmac.chain_update(part))
}

/// Derives one key per purpose with HKDF-SHA256 (RFC 5869).
fn derive(secret: &str) -> DerivedKeys {
    let hkdf = Hkdf::<Sha256>::new(Some(SALT), secret.as_bytes());
    Purpose::ALL.map(|purpose| {
        let mut key = [0; KEY_BYTES];
        hkdf.expand(purpose.label(), &mut key).expect("32 bytes are within the limit of HKDF");
        key
    })
}
