//! A simulated model worker: responds with streams of events from an engine.

use super::{
    ConnectionAction, Fault, Worker,
    engine::{Engine, EngineSpec, Prompt},
};
use crate::{
    http::Message,
    tier::{
        observation::{Observation, StreamEvent},
        peer::Peer,
    },
};
use serde_json::json;
use std::{
    collections::HashMap,
    io,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::{Notify, mpsc};

/// Priority class of a request without a `Priority` header.
const DEFAULT_PRIORITY: u8 = 5;
/// Maximum output tokens of a request without a `Token-Usage` header.
const DEFAULT_OUTPUT_TOKENS: u64 = 12;
/// Event id that must be passed before a reset in the middle of a stream; shorter streams are not reset.
const EVENTS_BEFORE_RESET: u64 = 1;

struct State {
    engine: Engine,
    /// Channel of each ticket for its tokens; the value states whether the token is the last.
    streams: HashMap<u64, mpsc::UnboundedSender<bool>>,
}

pub struct Model {
    spec: EngineSpec,
    state: Mutex<State>,
    admitted: Notify,
}

impl Model {
    pub fn new(spec: EngineSpec) -> Self {
        let state = Mutex::new(State { engine: Engine::new(spec), streams: HashMap::new() });
        Self { spec, state, admitted: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let load = self.state().engine.load();
        (load.running, load.waiting)
    }

    pub fn report(&self) -> String {
        let load = self.state().engine.load();
        json!({
            "phase": "both", "models": [{"name": "m", "generation": 1, "adapters": []}], "busy": false,
            "sequence": 0, "queued": load.waiting, "running": load.running, "kv_used": load.kv_used,
            "kv_total": self.spec.kv_capacity, "sessions": 0,
        })
        .to_string()
    }

    /// Runs the engine's steps; waits while it has no request.
    pub async fn drive(&self) {
        loop {
            let step_time = {
                let state = self.state();
                (!state.engine.is_idle()).then(|| state.engine.step_time())
            };
            let Some(step_time) = step_time else {
                self.admitted.notified().await;
                continue;
            };
            tokio::time::sleep(step_time).await;
            let mut state = self.state();
            for (ticket, last) in state.engine.step() {
                if let Some(stream) = state.streams.get(&ticket) {
                    // If the client has disconnected, the task that serves it removes the request.
                    let _ = stream.send(last);
                }
            }
        }
    }

    pub async fn answer(
        &self,
        worker: &Worker,
        peer: &mut Peer,
        message: &Message,
        request: &str,
    ) -> io::Result<ConnectionAction> {
        let Some(mut stream) = self.admit(message) else { return worker.reject(peer, request).await };
        let first = tokio::select! {
            token = stream.tokens.recv() => token,
            () = peer.closed() => return Ok(ConnectionAction::Close),
        };
        worker.log_run(message, request);
        let fault = worker.faults.take();
        let signature = worker.signature();
        match fault {
            Some(Fault::Silence) => {
                peer.closed().await;
                return Ok(ConnectionAction::Close);
            }
            Some(Fault::Garbage) => {
                peer.write(b"\x00\xfenothing that could be read\r\n\r\n").await?;
                return Ok(ConnectionAction::Close);
            }
            Some(Fault::Failure) => {
                worker.log_answer(request, 500, &signature, b"", true);
                let headers = format!("Request-Id: {request}\r\nServer-Signature: {signature}\r\n");
                return worker.write(peer, 500, &headers, b"").await;
            }
            _ => {}
        }
        let mut output = Output { worker, peer, request, signature: &signature, next: first_event(message) };
        output.write_head().await?;
        output.write_events(first, &mut stream, self.spec.chunk_tokens, fault).await
    }

    fn admit(&self, message: &Message) -> Option<Stream<'_>> {
        let prompt = prompt(message, self.spec.chunk_tokens);
        let mut state = self.state();
        let ticket = state.engine.admit(prompt).ok()?;
        let (sender, tokens) = mpsc::unbounded_channel();
        state.streams.insert(ticket, sender);
        drop(state);
        self.admitted.notify_one();
        Some(Stream { model: self, ticket, tokens })
    }
}

/// A request in the engine, removed from it on drop.
struct Stream<'a> {
    model: &'a Model,
    ticket: u64,
    tokens: mpsc::UnboundedReceiver<bool>,
}

impl Drop for Stream<'_> {
    fn drop(&mut self) {
        let mut state = self.model.state();
        state.engine.remove(self.ticket);
        state.streams.remove(&self.ticket);
    }
}

/// A response that is being written.
struct Output<'a> {
    worker: &'a Worker,
    peer: &'a mut Peer,
    request: &'a str,
    signature: &'a str,
    /// Id of the next event.
    next: u64,
}

impl Output<'_> {
    async fn write_head(&mut self) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {}\r\nServer-Signature: {}\r\n\
             Server-Load: {}\r\nVersions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.request,
            self.signature,
            self.worker.server_load()
        );
        self.worker.log.record(Observation::AnswerBegun {
            request: self.request.to_owned(),
            status: 200,
            signature: self.signature.to_owned(),
        });
        self.peer.write(head.as_bytes()).await
    }

    async fn write_events(
        &mut self,
        first: Option<bool>,
        stream: &mut Stream<'_>,
        chunk_tokens: u64,
        fault: Option<Fault>,
    ) -> io::Result<ConnectionAction> {
        let (mut token, mut pending_tokens) = (first, 0);
        while let Some(last) = token {
            pending_tokens += 1;
            if pending_tokens == chunk_tokens || last {
                pending_tokens = 0;
                self.write_event(!last || fault != Some(Fault::LoseAnswer)).await?;
            }
            if last {
                return self.finish(fault).await;
            }
            if fault == Some(Fault::ResetMidAnswer) && pending_tokens == 0 && self.next > EVENTS_BEFORE_RESET
            {
                self.worker.log_answer(self.request, 200, self.signature, b"", false);
                return Ok(ConnectionAction::Reset);
            }
            token = tokio::select! {
                token = stream.tokens.recv() => token,
                () = self.peer.closed() => return Ok(ConnectionAction::Close),
            };
        }
        Ok(ConnectionAction::Close)
    }

    /// Produces and records the next event, and sends it if `send` is set.
    async fn write_event(&mut self, send: bool) -> io::Result<()> {
        let data = format!("{} {} of {}", self.signature, self.next, self.request);
        let text = format!("id: {}\ndata: {data}\n\n", self.next);
        self.worker.log.record(Observation::EventMade {
            request: self.request.to_owned(),
            worker: self.worker.id.clone(),
            event: StreamEvent { id: self.next, data: data.into_bytes() },
        });
        self.next += 1;
        if send {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            self.peer.write(chunk.as_bytes()).await?;
        }
        Ok(())
    }

    async fn finish(&mut self, fault: Option<Fault>) -> io::Result<ConnectionAction> {
        let is_complete = fault != Some(Fault::LoseAnswer);
        self.worker.log_answer(self.request, 200, self.signature, b"", is_complete);
        if !is_complete {
            return Ok(ConnectionAction::Close);
        }
        self.peer.write(b"0\r\n\r\n").await?;
        if fault == Some(Fault::SecondAnswer) {
            let headers = format!("Request-Id: surplus-{}\r\n", self.request);
            self.peer.write(&crate::http::answer(200, &headers, b"surplus")).await?;
        }
        Ok(ConnectionAction::KeepOpen)
    }
}

/// Returns the id of the first event: the one after `Last-Event-Id`, or 1.
fn first_event(message: &Message) -> u64 {
    message.header("last-event-id").and_then(|id| id.parse::<u64>().ok()).map_or(1, |id| id + 1)
}

/// Derives the engine request from the headers. The output length follows from the request id, up to the maximum in the
/// `Token-Usage` header.
fn prompt(message: &Message, chunk_tokens: u64) -> Prompt {
    let parts = message.header("prompt-prefix").unwrap_or_default().split(',');
    let parts = parts.filter_map(|part| {
        let (id, tokens) = part.split_once(':')?;
        Some((id.to_owned(), tokens.parse().ok()?))
    });
    let max_output_tokens =
        message.header("token-usage").and_then(|usage| usage.split_once(',')?.1.trim().parse().ok());
    let max_output_tokens = max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1);
    let done = (first_event(message) - 1) * chunk_tokens;
    let priority = message.header("priority").and_then(|p| p.parse().ok()).unwrap_or(DEFAULT_PRIORITY);
    let out = output_tokens(message.header("request-id").unwrap_or_default(), max_output_tokens);
    Prompt { parts: parts.collect(), output_tokens: out.saturating_sub(done).max(1), priority }
}

/// Returns the number of tokens that a request emits: from half of its maximum to the maximum.
fn output_tokens(request: &str, max_output_tokens: u64) -> u64 {
    let fold = request.bytes().fold(7_u64, |sum, byte| (sum * 31 + u64::from(byte)) % 1009);
    max_output_tokens - (max_output_tokens / 2) * (fold % 3) / 2
}
