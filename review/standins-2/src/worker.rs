//! A worker: registers itself, beats, and serves one request at a time on a connection. What it does with a request is
//! decided by the case.

use crate::http::{self, Head};
use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as the worker received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

/// What becomes of the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
}

/// What a worker does with a request that is meant for it.
pub type Work = dyn Fn(&Received, &mut TcpStream) -> Then + Send + Sync;

/// A worker that runs in threads of this process.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    draining: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    controls: Vec<SocketAddr>,
    heartbeat: Arc<Mutex<Option<SocketAddr>>>,
}

impl Worker {
    /// Starts a worker: listens, and beats every 1.2 s from now on.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(
        id: &str,
        service: &str,
        ip: Ipv4Addr,
        zone: &str,
        capacity: u32,
        controls: &[SocketAddr],
        work: Arc<Work>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            capacity,
            draining: Arc::default(),
            silent: Arc::default(),
            sequence: Arc::default(),
            controls: controls.to_vec(),
            heartbeat: Arc::default(),
        });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, work) = (serving.clone(), work.clone());
                thread::spawn(move || worker.serve(stream, &*work));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                if !beating.silent.load(Ordering::Relaxed) {
                    beating.beat();
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
        Ok(worker)
    }

    /// Says `draining` until that is acknowledged, at most for `limit`; returns whether it was.
    pub fn drain(&self, limit: Duration) -> bool {
        self.draining.store(true, Ordering::Relaxed);
        crate::wait_until(limit, || self.beat())
    }

    /// Sends no beat from now on.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Sends one beat to one control process after the other until one acknowledges it.
    pub fn beat(&self) -> bool {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"generation\":\"v1\",\"capacity\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.capacity
        );
        let path = format!("/opalrun/instances/{}", self.id);
        let preferred = *self.heartbeat.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for control in preferred.iter().chain(&self.controls) {
            let sent = http::call(
                *control,
                "PUT",
                &path,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let mut heartbeat = self.heartbeat.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            match sent {
                Ok((200..=299, answer)) => {
                    if let Some(address) = heartbeat_address(&String::from_utf8_lossy(&answer)) {
                        *heartbeat = Some(address);
                    }
                    return true;
                }
                _ if *heartbeat == Some(*control) => *heartbeat = None,
                _ => {}
            }
        }
        false
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let mut body = Vec::new();
            if http::read_body(&mut reader, &head, |data| body.extend_from_slice(data)).is_err() {
                return;
            }
            let expected = head.get("expect-instance");
            if !expected.is_empty() && expected != self.id {
                let text = answer(421, &[("Request-Id", head.get("request-id")), ("Not-Executed", "1")], b"");
                if writer.write_all(&text).is_err() {
                    return;
                }
                continue;
            }
            if work(&Received { head, body }, &mut writer) == Then::Close {
                return;
            }
        }
    }
}

/// Takes the address from `{"heartbeat_url":"http://ADDRESS/..."}`.
fn heartbeat_address(answer: &str) -> Option<SocketAddr> {
    answer.split_once("http://")?.1.split('/').next()?.parse().ok()
}

/// Builds an answer with a body of known length.
#[must_use]
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes one piece of a chunked body; an empty piece ends it.
///
/// # Errors
/// The connection broke.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}
