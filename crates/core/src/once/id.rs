//! Request ids: issued by a lookup, or made by callers.

use std::{fmt, iter, str::FromStr, time::Duration};

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::Uuid;

use crate::{host::Incarnation, time::UnixMillis};

/// Time from the creation of an id to its expiry.
pub const ID_LIFETIME: Duration = Duration::from_secs(120);
/// How far the creation time of an id may be ahead of this host's clock.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(2);
/// Length of the truncated HMAC in an id, in bytes.
const MAC_BYTES: usize = 16;

/// Secret that the hosts of a fleet share to authenticate request ids.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct IdSecret {
    current: [u8; 32],
    old: Option<[u8; 32]>,
}

impl IdSecret {
    /// A secret that signs and verifies ids.
    pub const fn new(secret: [u8; 32]) -> Self {
        IdSecret { current: secret, old: None }
    }

    /// Also accepts ids signed with `old`, so that ids issued before a change of the secret stay
    /// valid.
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

/// Request id issued by a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Incarnation of the host that may run the request.
    pub owner: Incarnation,
    /// Random number that distinguishes the requests of one owner.
    pub nonce: u64,
    /// When the id expires and the owner may remove it.
    pub expires_at: UnixMillis,
}

/// Reason for which a request id is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// Neither an issued id nor a UUID of version 7.
    #[error("'{0}' is neither an issued request id nor a UUID of version 7; use one of these.")]
    Malformed(String),
    /// The HMAC does not match.
    #[error("The request id '{0}' was not issued by this fleet; get a new one by a lookup.")]
    Forged(String),
    /// The creation time, in milliseconds ahead of this host's clock.
    #[error("The request id is {} ms ahead of the clock, and {} ms are allowed; check the caller's clock.", .0, MAX_CLOCK_LEAD.as_millis())]
    TooFarAhead(u64),
}

impl RequestId {
    /// The text that a caller receives, authenticated with HMAC-SHA256 (RFC 2104).
    pub fn sign(&self, secret: &IdSecret) -> String {
        let unsigned = self.unsigned_text();
        let mac = hmac_of(&secret.current, &unsigned).finalize().into_bytes();
        format!("{unsigned}-{}", hex::encode(&mac[..MAC_BYTES]))
    }

    /// Parses an issued id and verifies its HMAC.
    pub fn verify(text: &str, secret: &IdSecret) -> Result<RequestId, IdError> {
        let malformed = || IdError::Malformed(text.to_owned());
        let (unsigned, mac) = text.rsplit_once('-').ok_or_else(malformed)?;
        let id: RequestId = unsigned.parse().map_err(|()| malformed())?;
        let mac: [u8; MAC_BYTES] =
            hex::decode(mac).ok().and_then(|m| m.try_into().ok()).ok_or_else(malformed)?;
        let mut secrets = iter::once(&secret.current).chain(&secret.old);
        let is_authentic =
            secrets.any(|s| hmac_of(s, &id.unsigned_text()).verify_truncated_left(&mac).is_ok());
        if is_authentic { Ok(id) } else { Err(IdError::Forged(text.to_owned())) }
    }

    /// Text of the id without its HMAC.
    fn unsigned_text(&self) -> String {
        format!("{}-{:016x}-{:012x}", self.owner, self.nonce, self.expires_at)
    }
}

impl FromStr for RequestId {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut numbers = text.split('-').map(|t| u64::from_str_radix(t, 16).map_err(drop));
        let mut next = || numbers.next().unwrap_or(Err(()));
        let id = RequestId { owner: Incarnation(next()?), nonce: next()?, expires_at: next()? };
        if numbers.next().is_some() { Err(()) } else { Ok(id) }
    }
}

fn hmac_of(secret: &[u8; 32], text: &str) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.chain_update(text)
}

/// Request id made by a caller: a UUID of version 7 (RFC 9562, section 5.7).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerId {
    /// Creation time, on the caller's clock.
    pub created_at: UnixMillis,
}

impl CallerId {
    /// When the id expires and its owner may remove it.
    pub fn expires_at(&self) -> UnixMillis {
        self.created_at.saturating_add(ID_LIFETIME.as_millis() as u64)
    }
}

/// A valid request id of either kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnyId {
    /// Issued by a lookup.
    Issued(RequestId),
    /// Made by a caller.
    CallerMade(CallerId),
}

impl AnyId {
    /// Parses and verifies an id of either kind; `unix` is this host's wall-clock time.
    pub fn from_text(text: &str, secret: &IdSecret, unix: UnixMillis) -> Result<AnyId, IdError> {
        let (created_at, id) = match Uuid::try_parse(text) {
            Ok(uuid) if uuid.get_version_num() == 7 => {
                let created_at = (uuid.as_u128() >> 80) as UnixMillis;
                (created_at, AnyId::CallerMade(CallerId { created_at }))
            }
            Ok(_) => return Err(IdError::Malformed(text.to_owned())),
            Err(_) => {
                let id = RequestId::verify(text, secret)?;
                (id.expires_at.saturating_sub(ID_LIFETIME.as_millis() as u64), AnyId::Issued(id))
            }
        };
        let lead = created_at.saturating_sub(unix);
        if lead > MAX_CLOCK_LEAD.as_millis() as u64 {
            Err(IdError::TooFarAhead(lead))
        } else {
            Ok(id)
        }
    }

    /// When the id expires and its owner may remove it.
    pub fn expires_at(&self) -> UnixMillis {
        match self {
            AnyId::Issued(id) => id.expires_at,
            AnyId::CallerMade(id) => id.expires_at(),
        }
    }
}

/// Key of a request in the deduplication table: a hash of workspace, route and id, so that
/// workspaces and routes do not share stored answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DedupKey(pub [u8; 16]);

impl DedupKey {
    /// The key for an id that a workspace uses on a route.
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
        DedupKey(key)
    }
}
