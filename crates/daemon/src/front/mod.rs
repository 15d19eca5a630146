//! The HTTP front end for callers and operators.

mod admin;
pub mod backend;
mod body;
mod headers;
mod lookup;
mod measure;
mod request;
pub mod steps;
mod stop;

use std::{net::SocketAddr, sync::Arc};

use jasminestage_core::result::Code;
use salvo::{
    Listener, Router, Server, Service,
    conn::TcpListener,
    http::{HeaderValue, Response, StatusCode},
};
use tokio::sync::oneshot;

use self::measure::MeasureRequests;
use crate::{
    control::ControlSender,
    error::DaemonError,
    intake::{Port, PortPolicy, TrackRequests, connection_limits},
    peer,
    shared::Shared,
    timer::Timers,
};

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
    let timers = Timers::start();
    let caller_port = http_port(shared, "callers", shared.budget.caller_connections);
    let admin_port = http_port(shared, "operators", shared.budget.admin_connections);
    for port in [&caller_port, &admin_port] {
        tokio::spawn(Arc::clone(port).check_transfers(timers.clone()));
    }
    let server = limited_server(shared, callers, &caller_port);
    let handle = server.handle();
    let admin_server = limited_server(shared, admin, &admin_port);
    let admin_service = Service::new(admin::router(shared)).hoop(TrackRequests(admin_port));
    tokio::spawn(admin_server.serve(admin_service));
    tokio::spawn(stop::stop_on_signal(Arc::clone(shared), control.clone(), handle));
    let caller_service = Service::new(caller_router(shared, &caller_port));
    server.serve(caller_service.hoop(TrackRequests(caller_port))).await;
    Ok(())
}

fn http_port(shared: &Shared, name: &'static str, max_connections: usize) -> Arc<Port> {
    let limits = &shared.cfg.limits;
    let connection_limits = connection_limits(limits, &shared.budget, max_connections);
    Port::new(name, connection_limits, limits.header_timeout, Arc::clone(&shared.metrics))
}

/// A server whose connections are limited.
fn limited_server<A: salvo::conn::Acceptor + Send>(
    shared: &Shared,
    acceptor: A,
    port: &Arc<Port>,
) -> Server<A> {
    let mut server = Server::new(acceptor).fuse_policy(PortPolicy(Arc::clone(port)));
    server.http1_mut().max_buf_size(shared.cfg.limits.max_header_bytes);
    server
}

fn caller_router(shared: &Arc<Shared>, port: &Arc<Port>) -> Router {
    let look_up = lookup::LookUpHandler { shared: Arc::clone(shared) };
    let request = request::RequestHandler { shared: Arc::clone(shared), port: Arc::clone(port) };
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
