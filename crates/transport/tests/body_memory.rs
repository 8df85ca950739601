//! Tests of the memory that sending a request's body takes. They count the bytes allocated by this process.

use bytes::Bytes;
use hyper::Request;
use opalrun_transport::{body::RequestBody, connection::Connection};
use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, which counts what is allocated.
struct CountingAllocator;

// SAFETY: all calls are passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let allocated = ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(allocated, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const BODY_BYTES: usize = 16 << 20;
/// Bytes that sending a body of any length may take.
const MAX_SENDING_BYTES: usize = 1 << 20;

/// Reads a request and answers it.
async fn answer_one_request(listener: TcpListener) {
    let (mut socket, _) = listener.accept().await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    let mut received = 0;
    while received < BODY_BYTES {
        received += socket.read(&mut buffer).await.unwrap();
    }
    socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    let _ = socket.read(&mut buffer).await;
}

/// Guards against a copy of the body in the write buffer of its connection, which keeps its size while the connection is
/// idle.
#[tokio::test]
async fn a_long_body_is_sent_without_a_copy_of_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(answer_one_request(listener));
    let mut connection = Connection::open(address, Duration::from_secs(5)).await.unwrap();
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);

    let before = ALLOCATED.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let mut request = Request::new(RequestBody::Complete(body.clone().into()));
    request.headers_mut().insert("host", "worker".parse().unwrap());
    connection.exchange(request).await.unwrap();
    let taken = PEAK.load(Ordering::Relaxed) - before;
    assert!(taken < MAX_SENDING_BYTES, "{taken} bytes were taken at most");
    assert!(connection.progress().written() > BODY_BYTES as u64);
    drop(connection);
    server.await.unwrap();
}
