//! Tests of frames over loopback.

use opalrun_net::{Connection, Listener, NetError, connect};
use opalrun_wire::{
    feed::Position,
    frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION},
    ids::{FeedOffset, Shard},
};
use std::{future::Future, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::LocalSet,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a test on one thread.
fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

async fn listener() -> Listener {
    Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap()
}

async fn pair() -> (Connection, Connection) {
    let listener = listener().await;
    let near = connect(listener.local_address(), TEST_TIMEOUT).await.unwrap();
    (near, listener.accept().await.unwrap())
}

fn position(offset: u64) -> Position {
    Position { shard: Shard(3), offset: FeedOffset(offset) }
}

#[test]
fn messages_arrive_in_order_and_the_connection_ends_without_error() {
    run(async {
        let (near, far) = pair().await;
        let (_, near_writer) = near.split();
        let (mut far_reader, _far_writer) = far.split();
        for offset in 0..2000 {
            near_writer.send(&position(offset)).unwrap();
        }
        drop(near_writer);
        for offset in 0..2000 {
            assert_eq!(far_reader.next::<Position>().await.unwrap(), Some(position(offset)));
        }
        assert_eq!(far_reader.next::<Position>().await.unwrap(), None);
    });
}

#[test]
fn both_sides_may_send_first() {
    run(async {
        let (near, far) = pair().await;
        let (mut near_reader, near_writer) = near.split();
        let (mut far_reader, far_writer) = far.split();
        near_writer.send(&position(1)).unwrap();
        far_writer.send(&position(2)).unwrap();
        assert_eq!(near_reader.next::<Position>().await.unwrap(), Some(position(2)));
        assert_eq!(far_reader.next::<Position>().await.unwrap(), Some(position(1)));
    });
}

#[test]
fn cancelling_a_read_loses_no_message() {
    run(async {
        let (near, far) = pair().await;
        let (_, near_writer) = near.split();
        let (mut far_reader, _far_writer) = far.split();
        tokio::select! {
            biased;
            _ = far_reader.next::<Position>() => unreachable!("nothing was sent"),
            () = tokio::task::yield_now() => {}
        }
        near_writer.send(&position(7)).unwrap();
        assert_eq!(far_reader.next::<Position>().await.unwrap(), Some(position(7)));
    });
}

#[test]
fn long_frames_are_delivered_and_too_long_ones_rejected() {
    run(async {
        let (near, far) = pair().await;
        let (_, near_writer) = near.split();
        let (mut far_reader, _far_writer) = far.split();
        let long = vec![5_u8; 6 << 20];
        near_writer.send(&long).unwrap();
        assert_eq!(far_reader.next::<Vec<u8>>().await.unwrap(), Some(long));
        let too_long = vec![5_u8; MAX_FRAME_BYTES];
        assert!(matches!(near_writer.send(&too_long), Err(NetError::Frame { .. })));
    });
}

#[test]
fn the_send_queue_is_bounded_if_the_other_side_does_not_read() {
    run(async {
        let (near, far) = pair().await;
        let (_, near_writer) = near.split();
        let (_far_reader, _far_writer) = far.split();
        let message = vec![1_u8; 4 << 20];
        let sent = (0..100).take_while(|_| near_writer.send(&message).is_ok()).count();
        assert!((4..8).contains(&sent), "{sent} messages were queued");
        assert!(matches!(near_writer.send(&message), Err(NetError::QueueFull)));
    });
}

#[test]
fn closing_ends_both_directions_at_once() {
    run(async {
        let (near, far) = pair().await;
        let (mut near_reader, near_writer) = near.split();
        let (mut far_reader, far_writer) = far.split();
        near_writer.close();
        assert_eq!(near_reader.next::<Position>().await.unwrap(), None);
        assert!(matches!(near_writer.send(&position(1)), Err(NetError::Closed)));
        assert_eq!(far_reader.next::<Position>().await.unwrap(), None);
        far_writer.closed().await;
    });
}

/// Returns the error of a reader whose peer has sent `bytes` and ended the connection.
async fn after_raw_bytes(bytes: &[u8]) -> NetError {
    let listener = listener().await;
    let mut raw = TcpStream::connect(listener.local_address()).await.unwrap();
    raw.write_all(bytes).await.unwrap();
    raw.shutdown().await.unwrap();
    let (mut reader, writer) = listener.accept().await.unwrap().split();
    let error = reader.next::<Position>().await.unwrap_err();
    writer.closed().await;
    let mut rest = Vec::new();
    let _ = raw.read_to_end(&mut rest).await;
    error
}

#[test]
fn another_protocol_version_is_rejected() {
    run(async {
        let error = after_raw_bytes(&99_u32.to_le_bytes()).await;
        assert!(matches!(error, NetError::Version { version: 99 }));
        assert!(error.to_string().starts_with("E104"));
    });
}

#[test]
fn invalid_frames_are_rejected() {
    run(async {
        let mut corrupt = PROTOCOL_VERSION.to_le_bytes().to_vec();
        corrupt.extend([3, 0, 0, 0, 1, 2, 3, 4, 9, 9, 9]);
        assert!(after_raw_bytes(&corrupt).await.to_string().starts_with("E102"));
        let mut too_long = PROTOCOL_VERSION.to_le_bytes().to_vec();
        too_long.extend([255; 8]);
        assert!(after_raw_bytes(&too_long).await.to_string().starts_with("E101"));
        let mut truncated = PROTOCOL_VERSION.to_le_bytes().to_vec();
        truncated.extend([3, 0, 0]);
        assert!(matches!(after_raw_bytes(&truncated).await, NetError::Truncated));
    });
}

#[test]
fn a_message_of_another_type_is_rejected() {
    run(async {
        let (near, far) = pair().await;
        let (_, near_writer) = near.split();
        let (mut far_reader, _far_writer) = far.split();
        near_writer.send(&1_u8).unwrap();
        let error = far_reader.next::<Position>().await.unwrap_err();
        assert!(error.to_string().starts_with("E103"));
    });
}
