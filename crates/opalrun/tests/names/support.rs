//! Runs the program, and a fake control process that serves one prepared response.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Output},
    thread::JoinHandle,
};

/// Returns the root directory of the repository.
pub fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the program without a settings file.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_opalrun"));
    command.env_remove("OPALRUN_CONFIG").args(arguments).output().unwrap()
}

pub fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// A received request.
#[derive(Debug, PartialEq, Eq)]
pub struct Received {
    /// Method and path, separated by a space.
    pub line: String,
    pub if_match: Option<String>,
    pub body: String,
}

/// A fake control process that accepts one request and sends the prepared response.
pub struct FakeControl {
    pub address: SocketAddr,
    served: JoinHandle<Received>,
}

impl FakeControl {
    pub fn start(status: u16, answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = std::thread::spawn(move || serve(&listener.accept().unwrap().0, status, answer));
        Self { address, served }
    }

    pub fn received(self) -> Received {
        self.served.join().unwrap()
    }
}

fn serve(mut stream: &TcpStream, status: u16, answer: &str) -> Received {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        head.push(line.trim().to_owned());
    }
    let header = |name: &str| {
        let named = head.iter().filter_map(|line| line.split_once(": "));
        named.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
    };
    let length = header("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let response = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{answer}", answer.len());
    stream.write_all(response.as_bytes()).unwrap();
    let line = head[0].trim_end_matches(" HTTP/1.1").to_owned();
    Received { line, if_match: header("if-match"), body: String::from_utf8(body).unwrap() }
}
