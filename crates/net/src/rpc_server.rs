//! The server of remote procedure calls.

use crate::{
    connection::{Connection, Listener},
    error::NetError,
    message::{Decode, Encode, split_call},
    writer::FrameWriter,
};
use std::{future::poll_fn, pin::Pin, rc::Rc, sync::Arc, task::Poll, time::Duration};
use tokio::sync::Semaphore;

/// Maximum number of concurrent calls of one connection. Further calls are not executed until one ends.
const MAX_CONCURRENT_CALLS: usize = 256;
/// Backoff after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves the calls of all connections concurrently. Responses are sent as the calls end, in any order. Runs until it is dropped.
pub async fn serve_rpc<Q, R, F, Fut>(listener: Listener, handler: F)
where
    Q: Decode + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + 'static,
    Fut: Future<Output = R> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok(connection) => {
                tokio::task::spawn_local(serve_logged(connection, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_logged<Q, R, F, Fut>(connection: Connection, handler: Rc<F>)
where
    Q: Decode + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + 'static,
    Fut: Future<Output = R> + 'static,
{
    let peer = connection.peer();
    if let Err(error) = serve_connection(connection, handler).await {
        tracing::debug!(%error, %peer, "RPC connection failed");
    }
}

/// Serves the calls of one connection until it ends.
///
/// A call whose handler answers at once is answered before the next call is read. So a caller that asks for more than it reads
/// is not read from until it does, and no more than a few responses are in memory.
///
/// # Errors
/// The connection fails, or carries something other than a call with a request of type `Q`.
pub async fn serve_connection<Q, R, F, Fut>(connection: Connection, handler: Rc<F>) -> Result<(), NetError>
where
    Q: Decode + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + 'static,
    Fut: Future<Output = R> + 'static,
{
    let (mut reader, writer) = connection.split();
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    while let Some(body) = reader.next_body().await? {
        let call =
            split_call(&body).and_then(|(call_number, message)| Ok((call_number, Q::decode(message)?)));
        let (call_number, request) = call.map_err(|source| NetError::Frame { source })?;
        drop(body);
        let Ok(permit) = permits.clone().acquire_owned().await else { return Ok(()) };
        let mut response = Box::pin(handler(request));
        if let Poll::Ready(response) = poll_once(response.as_mut()).await {
            respond(&writer, call_number, &response).await;
            continue;
        }
        let writer = writer.clone();
        tokio::task::spawn_local(async move {
            respond(&writer, call_number, &response.await).await;
            drop(permit);
        });
    }
    Ok(())
}

/// Polls a future once.
async fn poll_once<T>(mut future: Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await
}

/// Sends the response of a call, and closes the connection if that fails.
async fn respond<R: Encode>(writer: &FrameWriter, call_number: u64, response: &R) {
    if writer.send_response(call_number, response).await.is_err() {
        writer.close();
    }
}
