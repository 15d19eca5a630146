//! The service over HTTP: the etcd v3 JSON API and a Prometheus HTTP service discovery list.

use std::sync::Arc;

use futures_util::stream;
use jasminestage_store::api::{
    RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchEvent, WatchLine, WatchRequest,
    WatchResult,
};
use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait, handler::Handler, http::StatusCode,
    writing::Json,
};
use serde::de::DeserializeOwned;

use super::State;

/// The calls of the service.
#[derive(Clone, Copy)]
enum Call {
    Range,
    Txn,
    Watch,
    Hosts,
}

struct Endpoint {
    state: Arc<State>,
    call: Call,
}

pub(super) fn router(state: &Arc<State>) -> Router {
    let at = |path: &str, call| {
        Router::with_path(path).goal(Endpoint { state: Arc::clone(state), call })
    };
    Router::new()
        .push(at("v3/kv/range", Call::Range))
        .push(at("v3/kv/txn", Call::Txn))
        .push(at("v3/watch", Call::Watch))
        .push(at("hosts", Call::Hosts))
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (down, delay) = {
            let switches = self.state.switches();
            (switches.down, switches.delay)
        };
        tokio::time::sleep(delay).await;
        if down {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match self.call {
            Call::Range => self.range(req, res).await,
            Call::Txn => self.txn(req, res).await,
            Call::Watch => self.watch(req, res).await,
            Call::Hosts => self.hosts(res),
        }
    }
}

impl Endpoint {
    async fn range(&self, req: &mut Request, res: &mut Response) {
        self.state.switches().reads += 1;
        let Some(req) = body::<RangeRequest>(req, res).await else { return };
        res.render(Json(RangeResponse { kvs: self.state.store().range(&req) }));
    }

    async fn txn(&self, req: &mut Request, res: &mut Response) {
        self.state.switches().writes += 1;
        let Some(req) = body::<TxnRequest>(req, res).await else { return };
        let done = self.state.store().txn(&req);
        self.state.changed.notify_waiters();
        let lost = {
            let mut switches = self.state.switches();
            let prefix = switches.lose_prefix.as_bytes();
            let mut puts = req.success.iter().filter_map(|op| op.put.as_ref());
            let lost = switches.lose_answers > 0 && puts.any(|p| p.key.starts_with(prefix));
            if lost {
                switches.lose_answers -= 1;
            }
            lost
        };
        match done {
            _ if lost => {
                res.status_code(StatusCode::GATEWAY_TIMEOUT);
            }
            Ok(succeeded) => res.render(Json(TxnResponse { succeeded })),
            Err(text) => {
                res.status_code(StatusCode::BAD_REQUEST);
                res.render(text);
            }
        }
    }

    async fn watch(&self, req: &mut Request, res: &mut Response) {
        let Some(req) = body::<WatchRequest>(req, res).await else { return };
        let create = req.create_request;
        let from = match create.start_revision {
            0 => self.state.store().revision() + 1,
            revision => revision,
        };
        let watching = Watching::new(Arc::clone(&self.state));
        let lines = stream::unfold((watching, from), move |(watching, from)| {
            let (key, end) = (create.key.clone(), create.range_end.clone());
            async move {
                let (line, next) = next_line(&watching.state, &key, &end, from).await?;
                Some((Ok::<_, std::convert::Infallible>(line), (watching, next)))
            }
        });
        res.stream(lines);
    }

    /// The list in the form of Prometheus HTTP service discovery.
    fn hosts(&self, res: &mut Response) {
        let switches = self.state.switches();
        let groups = switches.hosts.iter().map(|h| {
            let state = if h.leaving { "leaving" } else { "live" };
            serde_json::json!({
                "targets": [h.address.to_string()],
                "labels": { "state": state },
            })
        });
        res.render(Json(groups.collect::<Vec<_>>()));
    }
}

/// Waits for changes of a range; returns them as one line with the next store revision to watch.
async fn next_line(state: &State, key: &[u8], end: &[u8], from: u64) -> Option<(Vec<u8>, u64)> {
    loop {
        let changed = state.changed.notified();
        if state.switches().down {
            return None;
        }
        let (found, next) = {
            let store = state.store();
            (store.since(key, end, from), store.revision() + 1)
        };
        if found.is_empty() {
            changed.await;
            continue;
        }
        let events = found.into_iter().map(|kv| WatchEvent { kv }).collect();
        let line = WatchLine { result: WatchResult { events } };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        return Some((text, next));
    }
}

/// Counts a waiting watch for as long as it lives.
struct Watching {
    state: Arc<State>,
}

impl Watching {
    fn new(state: Arc<State>) -> Self {
        state.switches().watches += 1;
        Watching { state }
    }
}

impl Drop for Watching {
    fn drop(&mut self) {
        self.state.switches().watches -= 1;
    }
}

async fn body<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let bytes = req.payload_with_max_size(8 * 1024 * 1024).await.ok()?;
    match serde_json::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(e) => {
            res.status_code(StatusCode::BAD_REQUEST);
            res.render(e.to_string());
            None
        }
    }
}
