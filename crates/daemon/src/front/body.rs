//! Reading of the bodies of requests within limits on memory and time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use jasminestage_core::result::Code;
use salvo::http::{ReqBody, body::Body};
use thiserror::Error;

use crate::{
    intake::{MemoryExhausted, Port, Reserved, Transfer, TransferTooSlow, transfer_rate},
    shared::Shared,
};

/// Time between two tries to get memory after a stalled body was closed.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is longer than a single one may be.
    #[error("The body has more than {max_bytes} bytes.")]
    TooLong {
        /// Largest body.
        max_bytes: usize,
    },
    /// All bodies together need too much memory.
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
    /// The body arrives too slowly.
    #[error(transparent)]
    TooSlow(#[from] TransferTooSlow),
    /// The connection has failed, or the body is not valid HTTP.
    #[error("The body is incomplete: {0}.")]
    Incomplete(#[from] std::io::Error),
}

impl ReadBodyError {
    /// Result code of the request, of which no byte was sent on.
    pub fn code(&self) -> Code {
        match self {
            ReadBodyError::TooLong { .. } => Code::TooLarge,
            ReadBodyError::MemoryExhausted(_) => Code::QueueFull,
            ReadBodyError::TooSlow(_) => Code::DeadlineBeforeStart,
            ReadBodyError::Incomplete(_) => Code::Malformed,
        }
    }

    /// Label of the limit on all clients that was reached; `None` for a fault of this one.
    pub fn limit(&self) -> Option<&'static str> {
        match self {
            ReadBodyError::MemoryExhausted(_) => Some("body memory"),
            ReadBodyError::TooSlow(_) => Some("body rate"),
            ReadBodyError::TooLong { .. } | ReadBodyError::Incomplete(_) => None,
        }
    }
}

/// Reads a whole body. Its bytes count towards the memory for bodies until the last reference to them is
/// dropped.
pub async fn read_body(
    shared: &Shared,
    port: &Arc<Port>,
    mut incoming: ReqBody,
) -> Result<Bytes, ReadBodyError> {
    let max_bytes = shared.cfg.traffic.max_body_bytes;
    if incoming.size_hint().lower() > max_bytes as u64 {
        return Err(ReadBodyError::TooLong { max_bytes });
    }
    let mut body = Reserved::new(&shared.body_memory);
    let mut transfer = Transfer::start(transfer_rate(&shared.cfg.limits));
    while let Some(frame) = transfer.next(incoming.next()).await? {
        let Ok(part) = frame?.into_data() else { continue };
        transfer.record(part.len());
        if body.len() + part.len() > max_bytes {
            return Err(ReadBodyError::TooLong { max_bytes });
        }
        while let Err(e) = body.append(&part, max_bytes) {
            if !port.close_stalled() {
                return Err(e.into());
            }
            // The memory is free once the task of the closed connection has ended.
            tokio::time::sleep(MEMORY_RETRY_DELAY).await;
        }
    }
    Ok(Bytes::from_owner(body))
}
