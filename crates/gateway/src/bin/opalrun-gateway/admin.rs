//! The admin API on the gateway's second address: operators' calls, one per connection.

use crate::{
    clients::Clients,
    config::{history::Cause, owner::Configuration},
    driver::Driver,
    handover_message::HandoverMessage,
};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, header::HeaderValue,
    server::conn::http1::Builder, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use std::{cell::RefCell, collections::VecDeque, convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::AbortHandle,
};
use tracing::{info, warn};

/// Largest number of open connections. Beyond it the oldest is closed: a call takes milliseconds, so the oldest
/// connection is one that does not complete its call.
pub const MAX_CONNECTIONS: usize = 8;
/// Time-out of a connection, from accepting it until its answer is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest head in bytes; hyper accepts no smaller limit.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, such as when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The server of the admin API.
pub struct Admin {
    driver: Rc<Driver>,
    clients: Rc<Clients>,
    configuration: Rc<Configuration>,
}

impl Admin {
    pub fn new(driver: Rc<Driver>, clients: Rc<Clients>, configuration: Rc<Configuration>) -> Rc<Self> {
        Rc::new(Self { driver, clients, configuration })
    }

    /// Accepts connections; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let connections: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let mut connections = connections.borrow_mut();
                    connections.retain(|s| !s.is_finished());
                    if connections.len() >= MAX_CONNECTIONS {
                        connections.pop_front().iter().for_each(AbortHandle::abort);
                    }
                    let connection = tokio::time::timeout(CALL_TIMEOUT, self.clone().connection(socket));
                    connections.push_back(tokio::task::spawn_local(connection).abort_handle());
                }
                Err(e) => {
                    warn!("admin API: can't accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let service = service_fn(|request: Request<Incoming>| {
            let (status, body) = self.call(request.method(), request.uri().path());
            let mut response = Response::new(body);
            if !response.body().is_empty() {
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(header::CONTENT_TYPE, json);
            }
            *response.status_mut() = status;
            std::future::ready(Ok::<_, Infallible>(response))
        });
        let mut builder = Builder::new();
        builder.timer(TokioTimer::new()).keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        // An error here means that the caller has disconnected, which needs no handling.
        let _ = builder.serve_connection(TokioIo::new(socket), service).await;
    }

    /// Executes one call. Returns the status and the body, which is JSON or empty.
    fn call(&self, method: &Method, path: &str) -> (StatusCode, String) {
        let empty = |status| (status, String::new());
        let Some(call) = path.strip_prefix("/control/") else { return empty(StatusCode::NOT_FOUND) };
        let is_query = matches!(call, "ready" | "pools" | "zones" | "config" | "fleet" | "recovery");
        let expected = if is_query { Method::GET } else { Method::POST };
        if call.starts_with("workers/") {
            return empty(self.worker(method, call));
        }
        let known =
            is_query || matches!(call, "out-of-service" | "in-service" | "config/check" | "config/rollback");
        if !known {
            return empty(StatusCode::NOT_FOUND);
        }
        if *method != expected {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        let ok_or_conflict = |ok| if ok { StatusCode::OK } else { StatusCode::CONFLICT };
        match call {
            "ready" if !self.clients.is_accepting() => empty(StatusCode::SERVICE_UNAVAILABLE),
            "pools" => (StatusCode::OK, self.driver.pools().report()),
            "zones" => (StatusCode::OK, self.driver.zones()),
            "fleet" => match self.driver.fleet() {
                Some(fleet) => (StatusCode::OK, fleet.report()),
                None => empty(StatusCode::NOT_FOUND),
            },
            "recovery" => match self.driver.recovery() {
                Some(recovery) => (StatusCode::OK, recovery.report()),
                None => empty(StatusCode::NOT_FOUND),
            },
            "config" => (StatusCode::OK, self.configuration.report()),
            "config/check" => {
                let (is_accepted, body) = self.configuration.check_file();
                (ok_or_conflict(is_accepted), body)
            }
            "config/rollback" => {
                let result = self.configuration.roll_back(Cause::WayBack);
                (ok_or_conflict(result.is_ok()), self.configuration.report())
            }
            "out-of-service" | "in-service" => {
                let is_out_of_service = call == "out-of-service";
                info!("gateway set {}", if is_out_of_service { "out of service" } else { "in service" });
                self.clients.set_out_of_service(is_out_of_service);
                empty(StatusCode::OK)
            }
            _ => empty(StatusCode::OK),
        }
    }

    /// Executes `workers/ID/offline` and `workers/ID/online`.
    fn worker(&self, method: &Method, path: &str) -> StatusCode {
        let call = path.strip_prefix("workers/").and_then(|rest| rest.rsplit_once('/'));
        let (id, is_offline) = match call {
            Some((id, "offline")) => (id, true),
            Some((id, "online")) => (id, false),
            _ => return StatusCode::NOT_FOUND,
        };
        if method != Method::POST {
            return StatusCode::METHOD_NOT_ALLOWED;
        }
        let known = percent_decode_str(id).decode_utf8().is_ok_and(|id| {
            let known = self.driver.set_worker_offline(&id, is_offline);
            if known {
                let message = HandoverMessage::WorkerSetOffline { id: id.into_owned(), is_offline };
                self.driver.send_to_other_process(message);
            }
            known
        });
        if known { StatusCode::OK } else { StatusCode::NOT_FOUND }
    }
}
