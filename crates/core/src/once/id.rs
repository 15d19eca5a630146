//! Request ids: those that a look-up gives out, and those that callers bring.

use std::{fmt, iter, str::FromStr, time::Duration};

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::Uuid;

use crate::{host::Incarnation, time::UnixMillis};

/// Time from the making of an id to its end.
pub const ID_LIFE: Duration = Duration::from_secs(120);
/// How far the time inside an id may lie ahead of this host's clock.
pub const MAX_AHEAD: Duration = Duration::from_secs(2);
/// Bytes of the keyed hash that an id carries.
const MAC_BYTES: usize = 16;

/// Secret with which the hosts of a fleet authenticate request ids.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct IdSecret {
    current: [u8; 32],
    old: Option<[u8; 32]>,
}

impl IdSecret {
    /// A secret that seals and opens ids.
    pub const fn new(secret: [u8; 32]) -> Self {
        IdSecret { current: secret, old: None }
    }

    /// The same secret; ids sealed with `old` are opened, too, so that an id given out before a
    /// change of the secret is not taken for one that this fleet never gave out.
    #[must_use]
    pub const fn with_old(self, old: Option<[u8; 32]>) -> Self {
        IdSecret { current: self.current, old }
    }
}

impl fmt::Debug for IdSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdSecret(..)")
    }
}

/// Id of a request, given out by a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The life of the host that may run the request.
    pub owner: Incarnation,
    /// Random number that tells requests of one owner apart.
    pub nonce: u64,
    /// When the owner may forget the id.
    pub end: UnixMillis,
}

/// Why a text is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// Neither an id of a look-up nor a UUID of version 7.
    #[error("'{0}' is neither an id of a look-up nor a UUID of version 7.")]
    Malformed(String),
    /// The keyed hash does not match.
    #[error("The request id '{0}' was not given out by this fleet.")]
    Forged(String),
    /// Made further ahead of this host's clock than is allowed.
    #[error("The request id is {} ms ahead of the clock; at most {} ms are allowed.", .0, MAX_AHEAD.as_millis())]
    Ahead(u64),
}

impl RequestId {
    /// The text that a caller gets, authenticated with HMAC-SHA256 (RFC 2104).
    pub fn seal(&self, secret: &IdSecret) -> String {
        let body = self.body();
        let mac = keyed(&secret.current, &body).finalize().into_bytes();
        format!("{body}-{}", hex::encode(&mac[..MAC_BYTES]))
    }

    /// Checks and reads the text of an id.
    pub fn open(text: &str, secret: &IdSecret) -> Result<RequestId, IdError> {
        let malformed = || IdError::Malformed(text.to_owned());
        let (body, mac) = text.rsplit_once('-').ok_or_else(malformed)?;
        let id: RequestId = body.parse().map_err(|()| malformed())?;
        let mac: [u8; MAC_BYTES] =
            hex::decode(mac).ok().and_then(|m| m.try_into().ok()).ok_or_else(malformed)?;
        let mut secrets = iter::once(&secret.current).chain(&secret.old);
        let is_ours = secrets.any(|s| keyed(s, &id.body()).verify_truncated_left(&mac).is_ok());
        if is_ours { Ok(id) } else { Err(IdError::Forged(text.to_owned())) }
    }

    fn body(&self) -> String {
        format!("{}-{:016x}-{:012x}", self.owner, self.nonce, self.end)
    }
}

impl FromStr for RequestId {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut numbers = text.split('-').map(|t| u64::from_str_radix(t, 16).map_err(drop));
        let mut next = || numbers.next().unwrap_or(Err(()));
        let id = RequestId { owner: Incarnation(next()?), nonce: next()?, end: next()? };
        if numbers.next().is_some() { Err(()) } else { Ok(id) }
    }
}

fn keyed(secret: &[u8; 32], body: &str) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.chain_update(body)
}

/// An id that a caller made: a UUID of version 7 (RFC 9562, section 5.7).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerId {
    /// When the caller made it, on the caller's clock.
    pub made: UnixMillis,
}

impl CallerId {
    /// When its owner may forget it.
    pub fn end(&self) -> UnixMillis {
        self.made.saturating_add(ID_LIFE.as_millis() as u64)
    }
}

/// A valid request id of either kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnyId {
    /// Given out by a look-up.
    Issued(RequestId),
    /// Made by a caller.
    Own(CallerId),
}

impl AnyId {
    /// Reads an id of either kind; `unix` is this host's clock.
    pub fn read(text: &str, secret: &IdSecret, unix: UnixMillis) -> Result<AnyId, IdError> {
        let (made, id) = match Uuid::try_parse(text) {
            Ok(uuid) if uuid.get_version_num() == 7 => {
                let made = (uuid.as_u128() >> 80) as UnixMillis;
                (made, AnyId::Own(CallerId { made }))
            }
            Ok(_) => return Err(IdError::Malformed(text.to_owned())),
            Err(_) => {
                let id = RequestId::open(text, secret)?;
                (id.end.saturating_sub(ID_LIFE.as_millis() as u64), AnyId::Issued(id))
            }
        };
        let ahead = made.saturating_sub(unix);
        if ahead > MAX_AHEAD.as_millis() as u64 { Err(IdError::Ahead(ahead)) } else { Ok(id) }
    }

    /// When its owner may forget it.
    pub fn end(&self) -> UnixMillis {
        match self {
            AnyId::Issued(id) => id.end,
            AnyId::Own(id) => id.end(),
        }
    }
}

/// What an id is remembered by: a hash of workspace, route and id, so that no two workspaces and
/// no two routes share an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(pub [u8; 16]);

impl RunKey {
    /// The key of an id that a workspace uses on a route.
    pub fn new(workspace: &str, route: &str, id: &str) -> Self {
        let hash = Sha256::new()
            .chain_update(workspace)
            .chain_update([0])
            .chain_update(route)
            .chain_update([0])
            .chain_update(id.to_ascii_lowercase())
            .finalize();
        let mut key = [0; 16];
        key.copy_from_slice(&hash[..16]);
        RunKey(key)
    }
}
