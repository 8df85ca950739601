//! Upgrade without downtime: the serving process hands over to a new process on the same listening socket.
//!
//! The serving process listens on a Unix socket in `$TMPDIR`. A new process that finds the socket connects, receives the
//! old process's state, starts to serve and confirms that it does. The connection stays open until the old process has
//! answered its last client and exits.

use crate::{
    clients::Clients, config::owner::Configuration, driver::Driver, handover_message::HandoverMessage,
};
use opalrun_gateway::{ServerId, State};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{UnixListener, UnixStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tracing::{info, warn};

/// Version of the format of the state; the state of another version is rejected.
const FORMAT_VERSION: u32 = 1;
/// Time-out for sending or receiving the state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for the new process's message that it serves.
const SERVING_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks whether what is in flight has changed and is to be reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of one message.
const MAX_MESSAGE_BYTES: u64 = 8 << 20;

/// All that the new process needs, sent as one line of JSON. The names on the wire are those of the first version.
#[derive(Serialize, Deserialize)]
struct HandoverState {
    #[serde(rename = "form")]
    format_version: u32,
    /// The gateway's decision state.
    state: State,
    /// Addresses of the workers.
    #[serde(rename = "addrs")]
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// Whether an operator has taken the gateway out of service.
    #[serde(rename = "away")]
    is_out_of_service: bool,
    /// Number of descriptors that the sending process may still hold.
    #[serde(rename = "held")]
    descriptors: usize,
    /// Version of the sending process's configuration; 0 if an older program sent the state, which has no such field.
    #[serde(default, rename = "version")]
    configuration_version: u64,
}

/// File name of the socket over which a process hands over to the next. It must not change, as processes of earlier versions
/// listen there.
const HANDOVER_SOCKET: &str = "yardspur-handover.sock";

/// Returns the path of the handover socket. `None` if `TMPDIR` is not set, or if the process has not inherited its listening
/// socket: then no other process can serve on that socket.
pub fn socket_path(has_inherited_listener: bool) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| has_inherited_listener && !f.is_empty())?;
    Some(Path::new(&folder).join(HANDOVER_SOCKET))
}

/// Connection to the process that this one takes over from.
pub struct PredecessorLink {
    stream: BufReader<UnixStream>,
}

/// Takes over from the process that listens at `socket_path`. `None` if there is none, or its state can't be used; this
/// process then starts without any state.
pub async fn take_over(
    socket_path: &Path,
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    configuration: &Configuration,
) -> Option<PredecessorLink> {
    match timeout(STATE_TIMEOUT, request_state(socket_path))
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    {
        Ok((state, link)) => {
            driver.take_over(state.state, &state.addresses);
            clients.set_out_of_service(state.is_out_of_service);
            set_descriptor_budgets(driver, clients, state.descriptors);
            configuration.continue_from_version(state.configuration_version);
            Some(link)
        }
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => None,
        Err(e) => {
            warn!("cannot take over from the running process: {e}");
            None
        }
    }
}

/// Connects to the serving process and receives its state.
async fn request_state(socket_path: &Path) -> io::Result<(HandoverState, PredecessorLink)> {
    let mut stream = BufReader::new(UnixStream::connect(socket_path).await?);
    let mut line = Vec::new();
    (&mut stream).take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await?;
    let state: HandoverState = serde_json::from_slice(&line)?;
    if state.format_version != FORMAT_VERSION {
        return Err(ErrorKind::InvalidData.into());
    }
    Ok((state, PredecessorLink { stream }))
}

impl PredecessorLink {
    /// Reports that this process serves, and handles the old process's messages until that process exits.
    pub async fn run_until_exit(self, driver: Rc<Driver>, clients: Rc<Clients>) {
        let (reader, writer) = self.stream.into_inner().into_split();
        let messages = driver.subscribe_to_handover_messages();
        let write_task =
            tokio::task::spawn_local(write_messages(writer, messages, Some(HandoverMessage::Serving)));
        let mut lines = BufReader::new(reader);
        while let Some(message) = read_message(&mut lines).await {
            match message {
                HandoverMessage::InFlight { attempts, descriptors } => {
                    driver.set_attempts_elsewhere(&attempts);
                    set_descriptor_budgets(&driver, &clients, descriptors);
                }
                HandoverMessage::WorkerSetOffline { id, is_offline } => {
                    driver.set_worker_offline(&id, is_offline);
                }
                HandoverMessage::Serving => {}
            }
        }
        write_task.abort();
        driver.set_attempts_elsewhere(&[]);
        set_descriptor_budgets(&driver, &clients, 0);
        info!("the previous process has exited");
    }
}

/// Listens at `socket_path` and hands over to the process that connects. If that process ends while this one still runs,
/// serves again and listens for the next.
pub async fn offer_handover(
    socket_path: PathBuf,
    driver: Rc<Driver>,
    clients: Rc<Clients>,
    configuration: Rc<Configuration>,
) {
    loop {
        match accept_successor(&socket_path).await {
            Ok(socket) => {
                hand_over(socket, &driver, &clients, configuration.version()).await;
                driver.take_back();
                clients.resume_accepting();
                warn!("the process that took over has ended; this one accepts clients again");
            }
            Err(e) => {
                warn!("cannot listen for a process that takes over: {e}");
                return std::future::pending().await;
            }
        }
    }
}

/// Waits for a new process to connect.
async fn accept_successor(socket_path: &Path) -> io::Result<UnixStream> {
    // A file left there is the socket of a process that has handed over or ended.
    if let Err(e) = std::fs::remove_file(socket_path)
        && e.kind() != ErrorKind::NotFound
    {
        return Err(e);
    }
    Ok(UnixListener::bind(socket_path)?.accept().await?.0)
}

/// Returns the number of descriptors that this process holds, or may still open for its clients after it has handed over.
fn open_descriptors(driver: &Driver, clients: &Clients) -> usize {
    let connections = clients.connections();
    // Each client's request may need a connection to a worker.
    crate::PROCESS_DESCRIPTORS
        + crate::ADMIN_DESCRIPTORS
        + connections
        + driver.pools().open().max(connections)
}

/// Sets the budgets for client and worker connections to what remains of the descriptor limit when the other process holds
/// `other_descriptors` descriptors.
fn set_descriptor_budgets(driver: &Driver, clients: &Clients, other_descriptors: usize) {
    let budget = driver.descriptor_share().saturating_sub(other_descriptors) / 2;
    driver.pools().set_budget(budget);
    clients.set_budget(budget);
}

/// Sends the state to the new process, then reports what is still in flight until the connection breaks.
async fn hand_over(
    socket: UnixStream,
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    configuration_version: u64,
) {
    clients.stop_accepting();
    let (state, addresses) = driver.hand_over();
    let state = HandoverState {
        format_version: FORMAT_VERSION,
        state,
        addresses,
        is_out_of_service: clients.is_out_of_service(),
        descriptors: open_descriptors(driver, clients),
        configuration_version,
    };
    let (reader, mut writer) = socket.into_split();
    let Ok(mut line) = serde_json::to_vec(&state) else { return };
    line.push(b'\n');
    let sent = timeout(STATE_TIMEOUT, writer.write_all(&line)).await;
    drop(line);
    let mut lines = BufReader::new(reader);
    let serving = timeout(SERVING_TIMEOUT, read_message(&mut lines)).await;
    let (Ok(Ok(())), Ok(Some(HandoverMessage::Serving))) = (sent, serving) else { return };
    info!("another process has taken over; this one completes its open requests");
    clients.drain();
    let messages = driver.subscribe_to_handover_messages();
    let write_task = tokio::task::spawn_local(write_messages(writer, messages, None));
    let report_in_flight = async {
        let mut last_report = None;
        loop {
            let report = (driver.attempts_in_flight(), open_descriptors(driver, clients));
            if last_report.as_ref() != Some(&report) {
                driver.send_to_other_process(HandoverMessage::InFlight {
                    attempts: report.0.clone(),
                    descriptors: report.1,
                });
                last_report = Some(report);
            }
            sleep(REPORT_INTERVAL).await;
        }
    };
    let handle_messages = async {
        while let Some(message) = read_message(&mut lines).await {
            if let HandoverMessage::WorkerSetOffline { id, is_offline } = message {
                driver.set_worker_offline(&id, is_offline);
            }
        }
    };
    tokio::select! { () = report_in_flight => {}, () = handle_messages => {} }
    write_task.abort();
}

/// Reads the next message; `None` once the other process has closed the connection.
async fn read_message(lines: &mut (impl AsyncBufReadExt + Unpin)) -> Option<HandoverMessage> {
    loop {
        let mut line = Vec::new();
        let read = lines.take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await;
        if read.ok().is_none_or(|n| n == 0) {
            return None;
        }
        // Messages of an unknown kind, from another version, are ignored; the connection stays up.
        if let Ok(message) = serde_json::from_slice(&line) {
            return Some(message);
        }
    }
}

/// Writes `first` and then the messages of the channel, one a line, until the connection breaks or the channel closes.
async fn write_messages(
    mut writer: impl AsyncWriteExt + Unpin,
    mut messages: mpsc::UnboundedReceiver<HandoverMessage>,
    first: Option<HandoverMessage>,
) {
    let mut message = first;
    loop {
        if let Some(mut line) = message.and_then(|message| serde_json::to_vec(&message).ok()) {
            line.push(b'\n');
            if writer.write_all(&line).await.is_err() {
                return;
            }
        }
        message = messages.recv().await;
        if message.is_none() {
            return;
        }
    }
}

#[cfg(test)]
mod golden_tests;
