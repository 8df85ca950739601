//! A new version under load: the process that serves hands over to one that is started beside it.
//!
//! Whoever serves listens at a Unix socket in `$TMPDIR`. A process that finds one there is given all that the
//! other knows, serves in its place, and says so. Both stay on the line until the old one has left.

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

/// Version of the format of the state, so that a version which writes it otherwise is not misread.
const FORMAT_VERSION: u32 = 1;
/// Time-out for the state that the other process hands over.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for the message that the process which takes over serves.
const SERVING_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two reports of what is in flight.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of one message at most.
const MAX_MESSAGE_BYTES: u64 = 8 << 20;

/// All that the process that takes over needs, a line of JSON. The names on the wire are those of the first version.
#[derive(Serialize, Deserialize)]
struct HandoverState {
    #[serde(rename = "form")]
    format_version: u32,
    state: State,
    /// Addresses of workers.
    #[serde(rename = "addrs")]
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// An operator has clients sent away.
    #[serde(rename = "away")]
    is_out_of_service: bool,
    /// Descriptors that this process may still hold.
    #[serde(rename = "held")]
    descriptors: usize,
    /// The version of its configuration; an older process does not name it.
    #[serde(default, rename = "version")]
    configuration_version: u64,
}

/// File name of the socket over which a process hands over to the next. It keeps its first name, as processes of earlier
/// versions listen there.
const HANDOVER_SOCKET: &str = "yardspur-handover.sock";

/// Where the processes of a gatekeeper meet. One whose listening socket is not inherited can have no other
/// beside it.
pub fn socket_path(inherits: bool) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| inherits && !f.is_empty())?;
    Some(Path::new(&folder).join(HANDOVER_SOCKET))
}

/// A line to the process that this one takes over from.
pub struct PredecessorLink {
    lines: BufReader<UnixStream>,
}

/// Takes over from the process that listens at `place`; `None`: there is none, or it can't be understood, and
/// this one starts anew.
pub async fn take_over(
    place: &Path,
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    configuration: &Configuration,
) -> Option<PredecessorLink> {
    match timeout(STATE_TIMEOUT, ask(place)).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
        Ok((state, link)) => {
            driver.take_over(state.state, &state.addresses);
            clients.set_out_of_service(state.is_out_of_service);
            set_descriptor_budgets(driver, clients, state.descriptors);
            configuration.continue_from_version(state.configuration_version);
            Some(link)
        }
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => None,
        Err(e) => {
            warn!("nothing is taken over: {e}");
            None
        }
    }
}

async fn ask(place: &Path) -> io::Result<(HandoverState, PredecessorLink)> {
    let mut lines = BufReader::new(UnixStream::connect(place).await?);
    let mut line = Vec::new();
    (&mut lines).take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await?;
    let state: HandoverState = serde_json::from_slice(&line)?;
    if state.format_version != FORMAT_VERSION {
        return Err(ErrorKind::InvalidData.into());
    }
    Ok((state, PredecessorLink { lines }))
}

impl PredecessorLink {
    /// Says that this process serves, and hears the old one until it has left.
    pub async fn run_until_exit(self, driver: Rc<Driver>, clients: Rc<Clients>) {
        let (reader, writer) = self.lines.into_inner().into_split();
        let messages = driver.subscribe_to_handover_messages();
        let said = tokio::task::spawn_local(write_messages(writer, messages, Some(HandoverMessage::Serving)));
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
        said.abort();
        driver.set_attempts_elsewhere(&[]);
        set_descriptor_budgets(&driver, &clients, 0);
        info!("the process before this one has left");
    }
}

/// Listens at `place` and hands over to whoever comes; again, should that one end.
pub async fn offer_handover(
    place: PathBuf,
    driver: Rc<Driver>,
    clients: Rc<Clients>,
    configuration: Rc<Configuration>,
) {
    loop {
        match comes(&place).await {
            Ok(socket) => {
                hand_over(socket, &driver, &clients, configuration.version()).await;
                driver.take_back();
                clients.resume_accepting();
                warn!("the process that took over has ended; this one takes clients again");
            }
            Err(e) => {
                warn!("no process can take over from this one: {e}");
                return std::future::pending().await;
            }
        }
    }
}

async fn comes(place: &Path) -> io::Result<UnixStream> {
    // What lies there is the address of a process that has handed over or ended.
    if let Err(e) = std::fs::remove_file(place)
        && e.kind() != ErrorKind::NotFound
    {
        return Err(e);
    }
    Ok(UnixListener::bind(place)?.accept().await?.0)
}

/// Descriptors that this process holds, or may still hold once it has handed over.
fn open_descriptors(driver: &Driver, clients: &Clients) -> usize {
    let connections = clients.connections();
    // A client's request may need a worker's connection.
    crate::PROCESS_DESCRIPTORS
        + crate::ADMIN_DESCRIPTORS
        + connections
        + driver.pools().open().max(connections)
}

/// Budgets for connections where the other process holds so many descriptors: this one has the rest.
fn set_descriptor_budgets(driver: &Driver, clients: &Clients, held_by_other: usize) {
    let budget = driver.descriptor_share().saturating_sub(held_by_other) / 2;
    driver.pools().set_budget(budget);
    clients.set_budget(budget);
}

/// Hands all over and stays on the line until it breaks.
async fn hand_over(socket: UnixStream, driver: &Rc<Driver>, clients: &Rc<Clients>, version: u64) {
    clients.stop_accepting();
    let (state, addresses) = driver.hand_over();
    let state = HandoverState {
        format_version: FORMAT_VERSION,
        state,
        addresses,
        is_out_of_service: clients.is_out_of_service(),
        descriptors: open_descriptors(driver, clients),
        configuration_version: version,
    };
    let (reader, mut writer) = socket.into_split();
    let Ok(mut line) = serde_json::to_vec(&state) else { return };
    line.push(b'\n');
    let sent = timeout(STATE_TIMEOUT, writer.write_all(&line)).await;
    drop(line);
    let mut lines = BufReader::new(reader);
    let serves = timeout(SERVING_TIMEOUT, read_message(&mut lines)).await;
    let (Ok(Ok(())), Ok(Some(HandoverMessage::Serving))) = (sent, serves) else { return };
    info!("another process has taken over; this one ends what it has");
    clients.drain();
    let messages = driver.subscribe_to_handover_messages();
    let said = tokio::task::spawn_local(write_messages(writer, messages, None));
    let tell = async {
        let mut before = None;
        loop {
            let now = (driver.attempts_in_flight(), open_descriptors(driver, clients));
            if before.as_ref() != Some(&now) {
                driver.send_to_other_process(HandoverMessage::InFlight {
                    attempts: now.0.clone(),
                    descriptors: now.1,
                });
                before = Some(now);
            }
            sleep(REPORT_INTERVAL).await;
        }
    };
    let hear = async {
        while let Some(message) = read_message(&mut lines).await {
            if let HandoverMessage::WorkerSetOffline { id, is_offline } = message {
                driver.set_worker_offline(&id, is_offline);
            }
        }
    };
    tokio::select! { () = tell => {}, () = hear => {} }
    said.abort();
}

/// The next message; `None`: the other process has gone.
async fn read_message(lines: &mut (impl AsyncBufReadExt + Unpin)) -> Option<HandoverMessage> {
    loop {
        let mut line = Vec::new();
        let read = lines.take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await;
        if read.ok().is_none_or(|n| n == 0) {
            return None;
        }
        // What can't be understood is passed over: the line itself is what counts.
        if let Ok(message) = serde_json::from_slice(&line) {
            return Some(message);
        }
    }
}

/// Writes messages, a line each, until the other process has gone.
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
