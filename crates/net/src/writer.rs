//! Writing of frames. Senders append them to a queue without waiting, and a separate task writes the queue to the
//! socket.

use crate::{
    error::NetError,
    message::{Encode, append_frame},
};
use opalrun_wire::frame::{FrameError, HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::tcp::OwnedWriteHalf,
    sync::Notify,
    time::{Instant, timeout},
};

/// Length in bytes above which a frame is long: its transfer may take longer than the time-out of a call.
pub(crate) const LONG_FRAME_BYTES: usize = 64 << 10;
/// Maximum length of the send queue in bytes. The longest frame fits into an empty queue.
const QUEUE_LIMIT_BYTES: usize = MAX_FRAME_BYTES + (4 << 20);
/// Length of the send queue in bytes up to which responses are added to it. A longer response is added to an empty queue.
const RESPONSE_QUEUE_BYTES: usize = 1 << 20;
/// Number of bytes that are passed to the socket at once.
const WRITE_SIZE_BYTES: usize = 64 << 10;
/// Time-out for writing the rest of the queue after the last writer was dropped.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The sending direction of a connection.
#[derive(Clone)]
pub struct FrameWriter {
    handle: Rc<Handle>,
}

impl FrameWriter {
    /// Starts the task that writes the queue.
    pub(crate) fn start(write_half: OwnedWriteHalf) -> Self {
        let state = Rc::new(WriterState::new());
        tokio::task::spawn_local(write_queue(write_half, state.clone()));
        Self { handle: Rc::new(Handle { state }) }
    }

    /// Queues a message.
    ///
    /// # Errors
    /// [`NetError::QueueFull`] if the other side does not read, [`NetError::Closed`] after the connection's end,
    /// [`NetError::Frame`] if the message is too long.
    pub fn send<T: Encode>(&self, message: &T) -> Result<(), NetError> {
        self.handle.state.queue(&[], &message.encode())
    }

    /// Queues the request of the call with this number.
    pub(crate) fn send_call<T: Encode>(&self, call_number: u64, message: &T) -> Result<(), NetError> {
        self.handle.state.queue(&call_number.to_le_bytes(), &message.encode())
    }

    /// Queues the response of the call with this number, once the queue has room for it.
    pub(crate) async fn send_response<T: Encode>(
        &self,
        call_number: u64,
        message: &T,
    ) -> Result<(), NetError> {
        let (state, body) = (&self.handle.state, message.encode());
        state.response_room(body.len()).await;
        state.queue(&call_number.to_le_bytes(), &body)
    }

    /// Ends the connection at once and discards the queue.
    pub fn close(&self) {
        self.handle.state.close();
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.handle.state.is_closed()
    }

    /// Waits for the connection's end.
    pub async fn closed(&self) {
        self.handle.state.closed().await;
    }

    pub(crate) fn state(&self) -> Rc<WriterState> {
        self.handle.state.clone()
    }
}

/// Dropped with the last clone of a writer. The rest of the queue is still written, then the connection ends.
struct Handle {
    state: Rc<WriterState>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.state.finished.set(true);
        self.state.work_available.notify_one();
    }
}

/// State shared by a connection's reader, its writers and the task that writes the queue.
pub(crate) struct WriterState {
    /// Encoded frames that have not been passed to the socket.
    queue: RefCell<Vec<u8>>,
    /// All writers were dropped: nothing is added to the queue.
    finished: Cell<bool>,
    /// The connection has ended.
    closed: Cell<bool>,
    /// Notified when the queue, `finished` or `closed` has changed.
    work_available: Notify,
    /// Notified when the queue was taken, or the connection ends.
    queue_taken: Notify,
    /// Notified when the connection ends.
    closed_notify: Notify,
    /// When bytes of a long frame were last received or accepted by the socket.
    long_frame_progress: Cell<Option<Instant>>,
}

impl WriterState {
    fn new() -> Self {
        Self {
            queue: RefCell::new(PROTOCOL_VERSION.to_le_bytes().to_vec()),
            finished: Cell::new(false),
            closed: Cell::new(false),
            work_available: Notify::new(),
            queue_taken: Notify::new(),
            closed_notify: Notify::new(),
            long_frame_progress: Cell::new(None),
        }
    }

    fn queue(&self, prefix: &[u8], body: &[u8]) -> Result<(), NetError> {
        if self.closed.get() {
            return Err(NetError::Closed);
        }
        let bytes = prefix.len() + body.len();
        if bytes > MAX_FRAME_BYTES {
            return Err(NetError::Frame { source: FrameError::TooLong { bytes } });
        }
        let mut queue = self.queue.borrow_mut();
        if queue.len() + HEADER_BYTES + bytes > QUEUE_LIMIT_BYTES {
            return Err(NetError::QueueFull);
        }
        append_frame(&mut queue, prefix, body);
        self.work_available.notify_one();
        Ok(())
    }

    /// Waits until a response of `bytes` may be queued, or the connection has ended.
    async fn response_room(&self, bytes: usize) {
        loop {
            let taken = self.queue_taken.notified();
            let queued = self.queue.borrow().len();
            if queued == 0 || queued + bytes <= RESPONSE_QUEUE_BYTES || self.is_closed() {
                return;
            }
            taken.await;
        }
    }

    fn take_queue(&self) -> Vec<u8> {
        let batch = self.queue.take();
        self.queue_taken.notify_waiters();
        batch
    }

    /// Records that bytes of a frame of more than [`LONG_FRAME_BYTES`] were transferred just now.
    pub(crate) fn record_long_frame_progress(&self) {
        self.long_frame_progress.set(Some(Instant::now()));
    }

    /// Returns when bytes of a long frame were last transferred in either direction; `None` if none were.
    pub(crate) fn long_frame_progress(&self) -> Option<Instant> {
        self.long_frame_progress.get()
    }

    pub(crate) fn close(&self) {
        if !self.closed.replace(true) {
            self.queue.take();
            self.work_available.notify_one();
            self.queue_taken.notify_waiters();
            self.closed_notify.notify_waiters();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    pub(crate) async fn closed(&self) {
        let closed_notify = self.closed_notify.notified();
        if !self.is_closed() {
            closed_notify.await;
        }
    }
}

/// Writes the queue to the socket until the connection ends.
async fn write_queue(mut write_half: OwnedWriteHalf, state: Rc<WriterState>) {
    while !state.is_closed() {
        let batch = state.take_queue();
        if !batch.is_empty() {
            let is_written = tokio::select! {
                is_written = write_batch(&mut write_half, &batch, &state) => is_written,
                () = state.closed() => false,
            };
            if !is_written {
                break;
            }
        } else if state.finished.get() {
            break;
        } else {
            state.work_available.notified().await;
        }
    }
    state.close();
}

/// Writes a batch. Returns `false` if writing fails, or exceeds [`FLUSH_TIMEOUT`] after the last writer was dropped.
async fn write_batch(write_half: &mut OwnedWriteHalf, batch: &[u8], state: &WriterState) -> bool {
    let write = write_in_steps(write_half, batch, state);
    if state.finished.get() {
        return matches!(timeout(FLUSH_TIMEOUT, write).await, Ok(Ok(())));
    }
    write.await.is_ok()
}

/// Writes a batch in steps, each of which is recorded if the batch is long.
async fn write_in_steps(
    write_half: &mut OwnedWriteHalf,
    batch: &[u8],
    state: &WriterState,
) -> std::io::Result<()> {
    for step in batch.chunks(WRITE_SIZE_BYTES) {
        write_half.write_all(step).await?;
        if batch.len() > LONG_FRAME_BYTES {
            state.record_long_frame_progress();
        }
    }
    Ok(())
}
