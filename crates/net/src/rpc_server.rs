//! The server of remote procedure calls.

use crate::{
    connection::{Connection, Listener},
    error::NetError,
    message::{Decode, Encode, split_call},
};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::sync::Semaphore;

/// Maximum number of concurrent calls of one connection. Further calls are not executed until one ends.
const MAX_CONCURRENT_CALLS: usize = 256;
/// Backoff after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves the calls of all connections, each call in a task of its own. Responses are sent as the calls end, in any
/// order. Runs until it is dropped.
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
        let Ok(permit) = permits.clone().acquire_owned().await else { return Ok(()) };
        let (handler, writer) = (handler.clone(), writer.clone());
        tokio::task::spawn_local(async move {
            let response = handler(request).await;
            if writer.send_call(call_number, &response).is_err() {
                writer.close();
            }
            drop(permit);
        });
    }
    Ok(())
}
