//! The HTTP server for scrapers.

use crate::Scrape;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// HTTP path of the metrics.
const PATH: &str = "/metrics";
/// Content type of the `OpenMetrics` text format.
const TEXT_FORMAT: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
/// Time-out for receiving a request head, and for idle connections.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(200);

/// Starts serving metrics at an address, if one is given. Must be called inside a `LocalSet`. If the process can't listen
/// on the address, it continues without metrics. `collect` is called for each scrape and adds the metrics.
pub fn start(address: Option<SocketAddr>, collect: impl Fn(&mut Scrape) + 'static) {
    let Some(address) = address else { return };
    spawn_local(async move {
        match TcpListener::bind(address).await {
            Ok(listener) => serve(listener, collect).await,
            Err(error) => tracing::error!(%address, %error, "failed to listen; metrics are not served"),
        }
    });
}

/// Serves metrics on a listener until the future is dropped. `collect` is called for each scrape and adds the metrics.
pub async fn serve(listener: TcpListener, collect: impl Fn(&mut Scrape) + 'static) {
    let collect = Rc::new(collect);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, Rc::clone(&collect)));
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, collect: Rc<impl Fn(&mut Scrape) + 'static>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = respond(&request, &*collect);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "scraper connection failed");
    }
}

fn respond(request: &Request<Incoming>, collect: &impl Fn(&mut Scrape)) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let mut scrape = Scrape::default();
    collect(&mut scrape);
    let Ok(text) = scrape.text() else { return empty(StatusCode::INTERNAL_SERVER_ERROR) };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    response.headers_mut().insert(CONTENT_TYPE, TEXT_FORMAT);
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
