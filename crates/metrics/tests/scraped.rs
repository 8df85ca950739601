//! Metrics served over HTTP.

use opalrun_metrics::{Counter, LabelledCounter, duration_histogram};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::LocalSet,
};

/// Sends one GET request and returns the response, head and body.
async fn get(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

#[test]
fn a_scrape_returns_current_counters_gauges_and_histograms() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (turns, requests, times) = (Counter::default(), LabelledCounter::default(), duration_histogram());
        let shared = (turns.clone(), requests.clone(), times.clone());
        let serving = tokio::task::spawn_local(opalrun_metrics::serve(listener, move |scrape| {
            scrape.counter("turns", "Turns kept", &shared.0);
            scrape.counters("requests", "Requests", &shared.1);
            scrape.histogram("raise_seconds", "Time of raises", &shared.2);
            scrape.gauge("age_seconds", "Age", 0.5);
            for shard in 0..2_u8 {
                let labels = [("shard", shard.to_string())];
                scrape.labelled_gauge("term", "Terms", &labels, f64::from(shard) + 5.0);
            }
        }));
        turns.inc();
        requests.get_or_create(&vec![("outcome", "503".to_owned())]).inc_by(2);
        times.observe(0.004);
        let response = get(address, "/metrics").await;
        for line in [
            "opalrun_turns_total 1",
            "opalrun_requests_total{outcome=\"503\"} 2",
            "opalrun_age_seconds 0.5",
            "opalrun_term{shard=\"0\"} 5.0",
            "opalrun_term{shard=\"1\"} 6.0",
            "opalrun_raise_seconds_count 1",
            "opalrun_raise_seconds_bucket{le=\"0.005\"} 1",
            "# EOF",
        ] {
            assert!(response.lines().any(|found| found == line), "{line} is missing from {response}");
        }
        assert!(response.starts_with("HTTP/1.1 200"));
        turns.inc();
        assert!(get(address, "/metrics").await.contains("opalrun_turns_total 2"));
        assert!(get(address, "/other").await.starts_with("HTTP/1.1 404"));
        serving.abort();
    });
}
