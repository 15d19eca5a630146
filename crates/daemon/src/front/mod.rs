//! The HTTP front end for callers and operators.

mod admin;
pub mod backend;
mod headers;
mod lookup;
mod measure;
mod request;
pub mod steps;
mod stop;

use std::{net::SocketAddr, sync::Arc};

use jasminestage_core::result::Code;
use salvo::{
    Listener, Router, Server,
    conn::TcpListener,
    http::{HeaderValue, Response, StatusCode},
};
use tokio::sync::oneshot;

use self::measure::MeasureRequests;
use crate::{control::ControlSender, error::DaemonError, peer, shared::Shared};

/// Serves callers until a stop is requested, then stops gracefully. Without the control thread the
/// configuration and the view become outdated, so serving ends when the control thread ends.
pub fn run(
    shared: &Arc<Shared>,
    control: &ControlSender,
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

async fn serve(shared: &Arc<Shared>, control: &ControlSender) -> Result<(), DaemonError> {
    let callers = bind_listener(shared.cfg.caller_address).await?;
    let admin = bind_listener(shared.cfg.admin_address).await?;
    peer::stream::serve(Arc::clone(shared)).await?;
    let server = Server::new(callers);
    let handle = server.handle();
    let admin_server = Server::new(admin);
    tokio::spawn(admin_server.serve(admin::router(shared)));
    tokio::spawn(stop::stop_on_signal(Arc::clone(shared), control.clone(), handle));
    server.serve(caller_router(shared)).await;
    Ok(())
}

fn caller_router(shared: &Arc<Shared>) -> Router {
    let look_up = lookup::LookUpHandler { shared: Arc::clone(shared) };
    let request = request::RequestHandler { shared: Arc::clone(shared) };
    let close = stop::CloseConnections { shared: Arc::clone(shared) };
    let measured_path = |path: &'static str| {
        Router::with_path(path.trim_start_matches('/')).hoop(MeasureRequests::new(shared, path))
    };
    Router::new()
        .hoop(close)
        .push(measured_path(measure::LOOK_UP_PATH).get(look_up))
        .push(measured_path(measure::REQUEST_PATH).goal(request))
}

async fn bind_listener(address: SocketAddr) -> Result<impl salvo::conn::Acceptor, DaemonError> {
    TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|e| DaemonError::Bind { address, source: std::io::Error::other(e) })
}

/// Fills a response that carries only a result code.
fn refuse(res: &mut Response, code: Code) {
    res.status_code(StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY));
    set_result_headers(res, code);
    let body = serde_json::json!({
        "code": code.number(),
        "execution": headers::execution(code),
        "text": code.text(),
    });
    res.render(salvo::writing::Json(body));
}

/// Sets the headers for the result code.
fn set_result_headers(res: &mut Response, code: Code) {
    let headers = res.headers_mut();
    headers.insert(headers::RESULT_CODE, HeaderValue::from(code.number()));
    headers.insert(headers::EXECUTION, HeaderValue::from_static(headers::execution(code)));
}
