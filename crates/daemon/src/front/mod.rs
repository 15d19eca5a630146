//! The HTTP front end for callers and the operators' supervisor.

mod admin;
pub mod backend;
mod headers;
mod lookup;
mod measure;
mod request;
pub mod run;
mod stop;

use std::{net::SocketAddr, sync::Arc};

use jasminestage_core::result::Code;
use salvo::{
    Listener, Router, Server,
    conn::TcpListener,
    http::{HeaderValue, Response, StatusCode},
};
use tokio::sync::oneshot;

use self::measure::Measure;
use crate::{control::ControlTx, error::DaemonError, peer, shared::Shared};

/// Serves callers until the process is asked to stop, then stops gracefully. Without a control
/// thread nothing can be trusted, so that serving ends with it.
pub fn run(
    shared: &Arc<Shared>,
    control: &ControlTx,
    control_ended: oneshot::Receiver<()>,
) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(shared.cfg.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(DaemonError::Thread)?;
    runtime.block_on(async {
        tokio::select! {
            served = serve(shared, control) => served,
            _ = control_ended => Ok(()),
        }
    })
}

async fn serve(shared: &Arc<Shared>, control: &ControlTx) -> Result<(), DaemonError> {
    let callers = bind(shared.cfg.caller_address).await?;
    let admin = bind(shared.cfg.admin_address).await?;
    peer::stream::serve(Arc::clone(shared)).await?;
    let server = Server::new(callers);
    let handle = server.handle();
    let admin_server = Server::new(admin);
    tokio::spawn(admin_server.serve(admin::router(shared)));
    tokio::spawn(stop::on_signal(Arc::clone(shared), control.clone(), handle));
    server.serve(caller_router(shared)).await;
    Ok(())
}

fn caller_router(shared: &Arc<Shared>) -> Router {
    let look_up = lookup::LookUp { shared: Arc::clone(shared) };
    let request = request::Forward { shared: Arc::clone(shared) };
    let close = stop::CloseConnections { shared: Arc::clone(shared) };
    let at = |path: &'static str| {
        Router::with_path(path.trim_start_matches('/')).hoop(Measure::new(shared, path))
    };
    Router::new()
        .hoop(close)
        .push(at(measure::LOOK_UP).get(look_up))
        .push(at(measure::REQUEST).goal(request))
}

async fn bind(address: SocketAddr) -> Result<impl salvo::conn::Acceptor, DaemonError> {
    TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|e| DaemonError::Bind { address, source: std::io::Error::other(e) })
}

/// Fills an answer that carries only a result code.
fn refuse(res: &mut Response, code: Code) {
    res.status_code(StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY));
    mark(res, code);
    let body = serde_json::json!({
        "code": code.number(),
        "execution": headers::execution(code),
        "text": code.text(),
    });
    res.render(salvo::writing::Json(body));
}

/// Puts the result code into the headers of an answer.
fn mark(res: &mut Response, code: Code) {
    let headers = res.headers_mut();
    headers.insert(headers::CODE, HeaderValue::from(code.number()));
    headers.insert(headers::EXECUTION, HeaderValue::from_static(headers::execution(code)));
}
