//! The web server of the HTTP interface.

use super::{handler::handle, message::PendingRequest, router::router};
use crate::process::ControlProcess;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::sleep,
};
use viz::{Responder, Tree};

/// Time-out for receiving a request's head, which also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of requests waiting for the control process.
const REQUEST_QUEUE_LENGTH: usize = 64;

/// A web server that is bound to its address but not serving yet.
pub struct BoundServer {
    listener: TcpListener,
}

/// Binds the listener for workers and the operator.
///
/// # Errors
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<BoundServer> {
    Ok(BoundServer { listener: TcpListener::bind(address).await? })
}

impl BoundServer {
    /// The bound address.
    ///
    /// # Errors
    /// If the operating system does not report it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves all connections.
    pub async fn serve(self, process: Rc<ControlProcess>) {
        let (sender, receiver) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        let tree = Arc::new(Tree::from(router(&sender)));
        tokio::task::spawn_local(handle_requests(process, receiver));
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    tokio::task::spawn_local(serve_connection(Arc::clone(&tree), stream, peer));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Executes requests concurrently until the web server and its connections have ended.
async fn handle_requests(process: Rc<ControlProcess>, mut requests: mpsc::Receiver<PendingRequest>) {
    while let Some(PendingRequest { request, answer_sender }) = requests.recv().await {
        let process = Rc::clone(&process);
        tokio::task::spawn_local(async move {
            // The caller may have disconnected.
            let _ = answer_sender.send(handle(&process, request).await);
        });
    }
}

async fn serve_connection(tree: Arc<Tree>, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(peer));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), responder);
    if let Err(error) = serving.await {
        tracing::debug!(%error, "serving a connection failed");
    }
}
