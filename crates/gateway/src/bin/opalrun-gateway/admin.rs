//! The second address: the operators' calls, one a connection.

use crate::{
    clients::Clients,
    config::{history::By, owner::Configuration},
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

/// Connections at most. At the edge the one that has been open longest goes: a call takes milliseconds, so
/// that is one that completes none.
pub const SEATS: usize = 8;
/// Longest time for a call to come, and for its answer to be read.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longest head, in bytes: hyper's least.
const MAX_HEAD: usize = 8 * 1024;
/// Pause after the system had no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);

pub struct Admin {
    driver: Rc<Driver>,
    clients: Rc<Clients>,
    configuration: Rc<Configuration>,
}

impl Admin {
    pub fn new(driver: Rc<Driver>, clients: Rc<Clients>, configuration: Rc<Configuration>) -> Rc<Self> {
        Rc::new(Self { driver, clients, configuration })
    }

    /// Takes calls for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let seats: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let mut seats = seats.borrow_mut();
                    seats.retain(|s| !s.is_finished());
                    if seats.len() >= SEATS {
                        seats.pop_front().iter().for_each(AbortHandle::abort);
                    }
                    let connection = tokio::time::timeout(PATIENCE, self.clone().connection(socket));
                    seats.push_back(tokio::task::spawn_local(connection).abort_handle());
                }
                Err(e) => {
                    warn!("second address: {e}");
                    tokio::time::sleep(PAUSE).await;
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
        builder.timer(TokioTimer::new()).keep_alive(false).max_buf_size(MAX_HEAD);
        // How a caller goes is its own affair.
        let _ = builder.serve_connection(TokioIo::new(socket), service).await;
    }

    /// The answer to one call; its body, if any, is JSON.
    fn call(&self, method: &Method, path: &str) -> (StatusCode, String) {
        let nothing = |status| (status, String::new());
        let Some(call) = path.strip_prefix("/control/") else { return nothing(StatusCode::NOT_FOUND) };
        let reads = matches!(call, "ready" | "pools" | "zones" | "config" | "fleet" | "recovery");
        let wanted = if reads { Method::GET } else { Method::POST };
        if call.starts_with("workers/") {
            return nothing(self.worker(method, call));
        }
        let known =
            reads || matches!(call, "out-of-service" | "in-service" | "config/check" | "config/rollback");
        if !known {
            return nothing(StatusCode::NOT_FOUND);
        }
        if *method != wanted {
            return nothing(StatusCode::METHOD_NOT_ALLOWED);
        }
        let is = |good| if good { StatusCode::OK } else { StatusCode::CONFLICT };
        match call {
            "ready" if !self.clients.ready() => nothing(StatusCode::SERVICE_UNAVAILABLE),
            "pools" => (StatusCode::OK, self.driver.pools().report()),
            "zones" => (StatusCode::OK, self.driver.zones()),
            "fleet" => match self.driver.fleet() {
                Some(fleet) => (StatusCode::OK, fleet.report()),
                None => nothing(StatusCode::NOT_FOUND),
            },
            "recovery" => match self.driver.recovery() {
                Some(recovery) => (StatusCode::OK, recovery.report()),
                None => nothing(StatusCode::NOT_FOUND),
            },
            "config" => (StatusCode::OK, self.configuration.report()),
            "config/check" => {
                let (good, body) = self.configuration.check_file();
                (is(good), body)
            }
            "config/rollback" => {
                let back = self.configuration.way_back(By::WayBack);
                (is(back.is_ok()), self.configuration.report())
            }
            "out-of-service" | "in-service" => {
                let away = call == "out-of-service";
                info!("clients are {}", if away { "sent away" } else { "taken again" });
                self.clients.send_away(away);
                nothing(StatusCode::OK)
            }
            _ => nothing(StatusCode::OK),
        }
    }

    /// `workers/ID/offline` and `workers/ID/online`.
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
