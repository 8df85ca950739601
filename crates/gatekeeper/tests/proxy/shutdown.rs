//! Tests of readiness and of the graceful shutdown after SIGTERM.

use crate::fakes::{
    Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Reader, events, request, run, stream_head,
};
use std::{rc::Rc, time::Instant};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Notify};

async fn readiness(gatekeeper: &Gatekeeper) -> u16 {
    let mut socket = TcpStream::connect(gatekeeper.readiness).await.expect("the proxy listens");
    let text = "GET /opalrun/readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    socket.write_all(text.as_bytes()).await.expect("the proxy reads");
    Reader::new(&mut socket).message().await.expect("an answer").status()
}

#[test]
fn the_proxy_is_ready_once_control_has_confirmed_its_configuration() {
    run(async {
        let gatekeeper = Gatekeeper::start().await;
        assert_eq!(readiness(&gatekeeper).await, 503);
        gatekeeper.configure(1, crate::fakes::CONFIGURATION);
        assert_eq!(readiness(&gatekeeper).await, 503);
        gatekeeper.proxy.confirm_freshness(Instant::now());
        assert_eq!(readiness(&gatekeeper).await, 200);
    });
}

#[test]
fn a_request_in_flight_is_answered_after_the_signal() {
    run(async {
        let resume = Rc::new(Notify::new());
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 1), resume.clone(), events(2, 2) + LAST_CHUNK);
        let worker = FakeWorker::start("w1", vec![behaviour]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        gatekeeper.proxy.confirm_freshness(Instant::now());
        let mut socket = gatekeeper.connect().await;
        socket
            .write_all(request("POST", "/stream/a", "id", "", "x").as_bytes())
            .await
            .expect("the proxy reads");
        worker.request_received.notified().await;
        gatekeeper.stop.notify_one();
        while readiness(&gatekeeper).await == 200 {}
        resume.notify_one();
        let answer = Reader::new(&mut socket).message().await.expect("a complete answer");
        assert!(answer.body.ends_with(b"piece 2\n\n"));
        // The proxy terminates once no request is in flight.
        tokio::time::pause();
        gatekeeper.ended.await.expect("the proxy terminates");
    });
}
