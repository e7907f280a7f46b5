//! Streams that callers begin, leave and take up.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A stream of which the caller has received some events.
pub struct Stream {
    /// The status of the response.
    pub status: u16,
    /// The software version of the server that began it.
    pub software: String,
    /// The events that have come.
    pub events: Vec<u64>,
    /// The software versions that they are from.
    pub versions: BTreeSet<String>,
    reader: BufReader<TcpStream>,
}

impl Stream {
    /// Begins a stream for a request, or takes one up; `taken_up` has the first attempt and the last event.
    pub fn open(
        address: &str,
        model: &str,
        id: &str,
        taken_up: Option<(&str, u64)>,
    ) -> Option<Self> {
        let mut socket = TcpStream::connect(address).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
        let resumption = taken_up
            .map(|(first, event)| format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n"))
            .unwrap_or_default();
        let content = taken_up.map_or(id, |(first, _)| first);
        // No two requests share a part of their prompts, so that they spread over the servers.
        let part: u32 = content.bytes().fold(1, |hash, byte| hash * 31 % 65_521 + u32::from(byte));
        write!(
            socket,
            "POST /draft/{content} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 8000\r\nX-Model: {model}\r\nX-Token-Counts: 100,8\r\n\
             X-Prompt-Prefix: {part:x}:60,{part:x}1:40\r\nConnection: close\r\n{resumption}\
             Content-Length: 5\r\n\r\ndraft"
        )
        .ok()?;
        let mut reader = BufReader::new(socket);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let mut software = String::new();
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            if let Some(stamp) = line.to_ascii_lowercase().strip_prefix("x-server-stamp: stamp.") {
                software = stamp.split('-').next().unwrap_or_default().to_owned();
            }
            if line.trim().is_empty() {
                let (events, versions) = (Vec::new(), BTreeSet::new());
                return Some(Self { status, software, events, versions, reader });
            }
        }
    }

    /// Reads events until this one, or until the stream ends.
    pub fn read_until(&mut self, last: u64) {
        let mut line = String::new();
        while self.events.last().is_none_or(|event| *event < last) {
            line.clear();
            if !matches!(self.reader.read_line(&mut line), Ok(1..)) {
                return;
            }
            if let Some(event) = line.strip_prefix("id: ") {
                self.events.extend(event.trim().parse::<u64>());
            }
            if let Some(data) = line.strip_prefix("data: ") {
                let version = data.trim().split_once(" at ").map_or("v1", |(_, version)| version);
                self.versions.insert(version.to_owned());
            }
        }
    }

    /// Reads events until the stream ends.
    pub fn read_to_end(&mut self) {
        self.read_until(u64::MAX);
        let _ = self.reader.read_to_end(&mut Vec::new());
    }
}
