//! Tests of the client of the change feed against servers on loopback. Each server has its own address in 127.0.0.0/8,
//! since all servers use the same port.

use opalrun_net::{
    FrameReader, FrameWriter, Listener,
    feed_client::{FeedClient, FeedOptions},
};
use opalrun_wire::{
    feed::{Change, ControlNode, FeedRequest, FeedUpdate, Position, Subscriber},
    ids::{Epoch, FeedOffset, Generation, NodeIdentity, Partition, Shard},
};
use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::LocalSet,
};

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Returns listeners at different addresses with the same free port.
async fn listeners<const N: usize>() -> [Listener; N] {
    'ports: loop {
        let first = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let port = first.local_address().port();
        let mut listeners = vec![first];
        for host in 2..=N as u8 {
            let address = SocketAddr::new(Ipv4Addr::new(127, 0, 0, host).into(), port);
            match Listener::bind(address).await {
                Ok(listener) => listeners.push(listener),
                Err(_) => continue 'ports,
            }
        }
        return listeners.try_into().unwrap_or_else(|_| unreachable!());
    }
}

/// Starts a client of shards 0 and 1. Returns it with the receiver of the updates that it delivers.
fn subscribe(seeds: &[&Listener], only_seeds: bool) -> (FeedClient, UnboundedReceiver<FeedUpdate>) {
    let (sender, events) = unbounded_channel();
    let options = FeedOptions {
        subscriber: Subscriber::Proxy,
        shards: vec![Shard(0), Shard(1)],
        seeds: seeds.iter().map(|listener| listener.local_address()).collect(),
        feed_port: seeds[0].local_address().port(),
        zone: "near".to_owned(),
        only_seeds,
    };
    (FeedClient::start(options, move |event| drop(sender.send(event))), events)
}

/// The server's side of a subscription.
struct Session {
    reader: FrameReader,
    writer: FrameWriter,
    /// Offsets from which the client has subscribed, by shard.
    positions: Vec<u64>,
}

async fn accept(listener: &Listener) -> Session {
    let (mut reader, writer) = listener.accept().await.unwrap().split();
    let Ok(Some(FeedRequest::Subscribe { positions, .. })) = reader.next().await else {
        panic!("a subscription begins with Subscribe")
    };
    let positions = positions.iter().map(|Position { offset, .. }| offset.0).collect();
    Session { reader, writer, positions }
}

fn snapshot(shard: u16, offset: u64) -> FeedUpdate {
    FeedUpdate::Snapshot { shard: Shard(shard), offset: FeedOffset(offset), changes: vec![] }
}

fn changes(shard: u16, offset: u64) -> FeedUpdate {
    FeedUpdate::Changes { shard: Shard(shard), offset: FeedOffset(offset), changes: vec![] }
}

/// Returns the shard and offset of a snapshot or of changes; `None` for other updates.
fn shard_and_offset(event: &FeedUpdate) -> Option<(u16, u64)> {
    match event {
        FeedUpdate::Snapshot { shard, offset, .. } | FeedUpdate::Changes { shard, offset, .. } => {
            Some((shard.0, offset.0))
        }
        FeedUpdate::Fresh { .. }
        | FeedUpdate::Suspects(_)
        | FeedUpdate::Unavailable
        | FeedUpdate::ShutdownDecision { .. } => None,
    }
}

#[test]
fn a_subscription_delivers_in_order_and_sends_heartbeats() {
    run(async {
        let [server] = listeners().await;
        let (client, mut events) = subscribe(&[&server], false);
        let mut session = accept(&server).await;
        assert_eq!(session.positions, [0, 0]);
        session.writer.send(&snapshot(0, 4)).unwrap();
        session.writer.send(&changes(0, 5)).unwrap();
        session.writer.send(&FeedUpdate::Fresh { gatekeepers: 6 }).unwrap();
        assert_eq!(shard_and_offset(&events.recv().await.unwrap()), Some((0, 4)));
        assert_eq!(shard_and_offset(&events.recv().await.unwrap()), Some((0, 5)));
        assert_eq!(events.recv().await.unwrap(), FeedUpdate::Fresh { gatekeepers: 6 });
        client.report_generation(Generation(9));
        loop {
            let Some(FeedRequest::Heartbeat { positions, generation }) = session.reader.next().await.unwrap()
            else {
                panic!("only heartbeats follow")
            };
            if generation == Generation(9) {
                assert_eq!(positions[0], Position { shard: Shard(0), offset: FeedOffset(5) });
                break;
            }
        }
    });
}

#[test]
fn updates_that_are_not_newer_are_not_delivered() {
    run(async {
        let [server] = listeners().await;
        let (_client, mut events) = subscribe(&[&server], false);
        let session = accept(&server).await;
        for update in
            [snapshot(0, 7), snapshot(0, 6), changes(0, 7), changes(9, 50), changes(1, 2), changes(0, 8)]
        {
            session.writer.send(&update).unwrap();
        }
        let mut delivered = Vec::new();
        while delivered.len() < 3 {
            delivered.extend(shard_and_offset(&events.recv().await.unwrap()));
        }
        assert_eq!(delivered, [(0, 7), (1, 2), (0, 8)]);
    });
}

#[test]
fn after_a_lost_connection_the_client_subscribes_from_its_last_offsets() {
    run(async {
        let [server] = listeners().await;
        let (_client, mut events) = subscribe(&[&server], false);
        let session = accept(&server).await;
        session.writer.send(&snapshot(1, 3)).unwrap();
        events.recv().await.unwrap();
        session.writer.close();
        assert_eq!(accept(&server).await.positions, [0, 3]);
    });
}

#[test]
fn the_client_leaves_a_server_that_reports_itself_unavailable() {
    run(async {
        let [first, second] = listeners().await;
        let (_client, _events) = subscribe(&[&first, &second], false);
        let (session, other) = tokio::select! {
            session = accept(&first) => (session, &second),
            session = accept(&second) => (session, &first),
        };
        session.writer.send(&FeedUpdate::Unavailable).unwrap();
        accept(other).await;
    });
}

#[test]
fn the_client_leaves_a_server_that_sends_no_fresh_updates() {
    run(async {
        let [first, second] = listeners().await;
        let (_client, _events) = subscribe(&[&first, &second], false);
        let (session, other) = tokio::select! {
            session = accept(&first) => (session, &second),
            session = accept(&second) => (session, &first),
        };
        session.writer.send(&snapshot(0, 1)).unwrap();
        accept(other).await;
    });
}

#[test]
fn with_only_seeds_the_client_keeps_a_server_that_sends_no_fresh_updates() {
    run(async {
        let [server] = listeners().await;
        let (_client, _events) = subscribe(&[&server], true);
        let mut session = accept(&server).await;
        tokio::time::pause();
        for _ in 0..10 {
            assert!(session.reader.next::<FeedRequest>().await.unwrap().is_some());
        }
    });
}

#[test]
fn announced_servers_of_the_own_zone_are_used_before_those_of_other_zones() {
    run(async {
        let [seed, far, near] = listeners().await;
        let (_client, _events) = subscribe(&[&seed], false);
        let session = accept(&seed).await;
        let node = |identity, listener: &Listener, zone: &str| ControlNode {
            identity,
            node_name: format!("core-{identity}"),
            // The client has to use the feed's port, not the port of the peer address.
            peer_address: SocketAddr::new(listener.local_address().ip(), 1).to_string(),
            control_address: String::new(),
            zone: zone.to_owned(),
        };
        let nodes = vec![node(NodeIdentity(1), &far, "far"), node(NodeIdentity(2), &near, "near")];
        let update = FeedUpdate::Snapshot {
            shard: Shard(0),
            offset: FeedOffset(2),
            changes: vec![Change::ControlNodes(nodes)],
        };
        session.writer.send(&update).unwrap();
        session.writer.send(&FeedUpdate::Unavailable).unwrap();
        let session = accept(&near).await;
        drop(near);
        session.writer.close();
        accept(&far).await;
    });
}

#[test]
fn seeds_are_read_again_when_all_servers_have_failed() {
    run(async {
        let [unavailable, available] = listeners().await;
        let options = FeedOptions {
            subscriber: Subscriber::Proxy,
            shards: vec![Shard(0), Shard(1)],
            seeds: vec![unavailable.local_address()],
            feed_port: unavailable.local_address().port(),
            zone: String::new(),
            only_seeds: false,
        };
        drop(unavailable);
        let seed = available.local_address();
        let _client = FeedClient::start_with_seeds(options, move || Some(vec![seed]), |_| {});
        accept(&available).await;
    });
}

#[test]
fn a_process_that_was_suspended_subscribes_again_before_it_delivers_updates() {
    run(async {
        let [server] = listeners().await;
        let (_client, mut events) = subscribe(&[&server], true);
        let session = accept(&server).await;
        tokio::time::pause();
        session.writer.send(&FeedUpdate::Fresh { gatekeepers: 1 }).unwrap();
        session.writer.send(&snapshot(0, 3)).unwrap();
        // The process is suspended for 5 s before the client can read.
        tokio::time::advance(std::time::Duration::from_secs(5)).await;
        tokio::time::resume();
        let session = accept(&server).await;
        assert_eq!(session.positions, [0, 0]);
        session.writer.send(&FeedUpdate::Fresh { gatekeepers: 2 }).unwrap();
        assert_eq!(events.recv().await.unwrap(), FeedUpdate::Fresh { gatekeepers: 2 });
    });
}

#[test]
fn a_store_reports_that_its_replicas_are_complete() {
    run(async {
        let [server] = listeners().await;
        let (client, mut events) = subscribe(&[&server], false);
        assert!(
            !client.report_replicas_complete(NodeIdentity(1), Epoch(2), vec![Partition(3)]),
            "no server is connected yet"
        );
        let mut session = accept(&server).await;
        session.writer.send(&FeedUpdate::Fresh { gatekeepers: 0 }).unwrap();
        events.recv().await.unwrap();
        assert!(client.report_replicas_complete(NodeIdentity(1), Epoch(2), vec![Partition(3)]));
        let report = loop {
            match session.reader.next::<FeedRequest>().await.unwrap().unwrap() {
                FeedRequest::Heartbeat { .. } => {}
                request => break request,
            }
        };
        assert_eq!(
            report,
            FeedRequest::ReplicasComplete {
                store: NodeIdentity(1),
                epoch: Epoch(2),
                partitions: vec![Partition(3)]
            }
        );
    });
}
