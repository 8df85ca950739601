//! Reading of frames.

use crate::{
    error::{FrameSnafu, IoSnafu, NetError},
    message::Decode,
    writer::{LONG_FRAME_BYTES, WriterState},
};
use bytes::{Buf, Bytes, BytesMut};
use opalrun_wire::frame::{self, FrameError, HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use snafu::ResultExt;
use std::rc::Rc;
use tokio::{io::AsyncReadExt, net::tcp::OwnedReadHalf};

/// Buffer capacity that is reserved before each read, in bytes.
const READ_SIZE_BYTES: usize = 8 << 10;
/// Frame length, in bytes, above which the buffer is replaced after the frame, so that no large buffer is retained.
const MAX_RETAINED_BUFFER_BYTES: usize = 64 << 10;
/// Length in bytes of the protocol version, with which each direction of a connection begins.
const VERSION_BYTES: usize = 4;

/// The receiving direction of a connection.
pub struct FrameReader {
    read_half: OwnedReadHalf,
    buffer: BytesMut,
    /// Length of the frame at the start of the buffer, with its header; 0 until the header was received.
    awaited_bytes: usize,
    version_checked: bool,
    writer: Rc<WriterState>,
}

impl FrameReader {
    pub(crate) fn new(read_half: OwnedReadHalf, writer: Rc<WriterState>) -> Self {
        Self { read_half, buffer: BytesMut::new(), awaited_bytes: 0, version_checked: false, writer }
    }

    /// Waits for the next message; `None` if the other side has ended the connection between frames, or this side has
    /// closed it. Cancellation safe: if the future is dropped while it waits, no bytes are lost.
    ///
    /// # Errors
    /// The connection fails, or carries something other than a message of this type. It is closed in either case.
    pub async fn next<T: Decode>(&mut self) -> Result<Option<T>, NetError> {
        let Some(body) = self.next_body().await? else { return Ok(None) };
        match T::decode(&body) {
            Ok(message) => Ok(Some(message)),
            Err(source) => {
                self.writer.close();
                Err(NetError::Frame { source })
            }
        }
    }

    /// Waits for the next frame and returns its body, after verifying the checksum.
    ///
    /// # Errors
    /// As [`FrameReader::next`].
    pub async fn next_body(&mut self) -> Result<Option<Bytes>, NetError> {
        let body = self.read_body().await;
        if !matches!(body, Ok(Some(_))) {
            self.writer.close();
        }
        body
    }

    async fn read_body(&mut self) -> Result<Option<Bytes>, NetError> {
        loop {
            if let Some(body) = self.take_frame()? {
                return Ok(Some(body));
            }
            if self.writer.is_closed() {
                return Ok(None);
            }
            self.buffer.reserve(READ_SIZE_BYTES);
            let writer = self.writer.clone();
            let read = tokio::select! {
                read = self.read_half.read_buf(&mut self.buffer) => read.context(IoSnafu)?,
                () = writer.closed() => return Ok(None),
            };
            if self.awaited_bytes > LONG_FRAME_BYTES && read > 0 {
                self.writer.record_long_frame_progress();
            }
            if read == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(NetError::Truncated) };
            }
        }
    }

    /// Removes a complete frame from the buffer and returns its body; `None` if no frame is complete.
    fn take_frame(&mut self) -> Result<Option<Bytes>, NetError> {
        if !self.version_checked && !self.take_version()? {
            return Ok(None);
        }
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let (length, checksum) = frame::parse_header(*header);
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { bytes: length }).context(FrameSnafu);
        }
        self.awaited_bytes = HEADER_BYTES + length;
        if self.buffer.len() < self.awaited_bytes {
            self.buffer.reserve(self.awaited_bytes - self.buffer.len());
            return Ok(None);
        }
        self.awaited_bytes = 0;
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length).freeze();
        frame::check(&body, checksum).context(FrameSnafu)?;
        if length > MAX_RETAINED_BUFFER_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        Ok(Some(body))
    }

    /// Removes the protocol version from the buffer and checks it. Returns `false` if it has not been received yet.
    fn take_version(&mut self) -> Result<bool, NetError> {
        if self.buffer.len() < VERSION_BYTES {
            return Ok(false);
        }
        let version = self.buffer.get_u32_le();
        if version != PROTOCOL_VERSION {
            return Err(NetError::Version { version });
        }
        self.version_checked = true;
        Ok(true)
    }
}
