//! The web server of the HTTP interface.

use super::{answer::answer, request::router};
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

/// How long a request's head may take to arrive, and a connection may rest.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Requests on their way to the process.
const HANDOVER_PLACES: usize = 64;

/// A web server that listens and does not serve yet.
pub struct Bound {
    listener: TcpListener,
}

/// Listens for workers and the operator.
///
/// # Errors
/// Where the address can't be listened on.
pub async fn bind(address: SocketAddr) -> io::Result<Bound> {
    Ok(Bound { listener: TcpListener::bind(address).await? })
}

impl Bound {
    /// Where it listens.
    ///
    /// # Errors
    /// Where the system can't tell.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves all callers.
    pub async fn serve(self, process: Rc<ControlProcess>) {
        let (sender, mut receiver) = mpsc::channel(HANDOVER_PLACES);
        let tree = Arc::new(Tree::from(router(&sender)));
        tokio::task::spawn_local(async move {
            while let Some((request, reply)) = receiver.recv().await {
                let process = Rc::clone(&process);
                tokio::task::spawn_local(async move {
                    let _ = reply.send(answer(&process, request).await);
                });
            }
        });
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    tokio::task::spawn_local(serve_connection(Arc::clone(&tree), stream, peer));
                }
                Err(error) => {
                    tracing::warn!(%error, "a caller was not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection(tree: Arc<Tree>, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(peer));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), responder);
    if let Err(error) = serving.await {
        tracing::debug!(%error, "a caller's connection failed");
    }
}
