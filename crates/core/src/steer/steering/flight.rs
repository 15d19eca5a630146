//! A request on its way and what is decided about it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    steer::{
        catalog::{Route, Workspace},
        refusal::{Reason, Refusal},
        server::{ServerEntry, ServerKey},
    },
    time::Instant,
};

/// What the front end knows of a request when its head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Id that the caller gave the request.
    pub id: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key of the caller.
    pub key: Option<&'a str>,
    /// Key of the object that the request concerns.
    pub object: Option<&'a str>,
    /// Time that the caller waits, when it says so.
    pub patience: Option<Duration>,
}

/// A try in progress.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) server: ServerKey,
    pub(super) sent: Instant,
    pub(super) multiple: f64,
    pub(super) queueing: f64,
    pub(super) is_warm: bool,
    pub(super) version: String,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Its route.
    pub route: Arc<Route>,
    /// The workspace of its key.
    pub workspace: Option<Arc<Workspace>>,
    /// The service that runs it.
    pub service: String,
    /// When its final answer is due.
    pub deadline: Instant,
    /// Hash of what identifies the request, for requests that crash servers.
    pub fingerprint: u64,
    pub(super) object: Option<u64>,
    pub(super) position: f64,
    pub(super) lane: f64,
    pub(super) tried: Vec<ServerKey>,
    pub(super) connect_failures: usize,
    /// Why it is not known whether an earlier try ran.
    pub(super) unknown: Option<Reason>,
    /// Whether a further try has been paid for.
    pub(super) is_prepaid: bool,
    pub(super) current: Option<Try>,
}

impl Flight {
    /// Whether a try is in progress.
    pub fn is_at_server(&self) -> bool {
        self.current.is_some()
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Send {
    /// The server's announcement.
    pub server: Arc<ServerEntry>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time after which the try is given up.
    pub timeout: Duration,
    /// Time after which another server may be tried instead, if the budget allows it.
    pub patience: Duration,
    /// Expected latency.
    pub expected: Duration,
    /// Requests that it runs or queues, by the estimate behind the choice.
    pub load: f64,
    /// Age of the server's own report of its load.
    pub load_age: Option<Duration>,
}

/// What follows after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The answer goes to the caller.
    Deliver,
    /// The request may go to another server.
    Again,
    /// The caller is refused or told that the outcome is unknown.
    Refuse(Refusal),
}
