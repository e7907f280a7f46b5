//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server receives it. Header names are in lowercase.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a value of the query string, which is not percent-decoded.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A response as a caller receives it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken("the connection ended inside a line"));
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the connection ended in a head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a header without colon"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the connection ended in a body"))?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("a bad chunk size"))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunks(reader);
    }
    let mut body = Vec::new();
    match find(headers, "content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(|_| broken("a bad length"))?, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

/// Reads the next request of a connection; returns `None` if the caller has closed it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().ok_or_else(|| broken("a bad request line"))?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// A connection of a caller, which it may keep for many requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for its complete answer.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<Response> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.reader.get_mut().write_all(&out)?;
        self.receive()
    }

    fn receive(&mut self) -> io::Result<Response> {
        loop {
            let line = read_line(&mut self.reader)?
                .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed unanswered"))?;
            let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
            let status: u16 = status.ok_or_else(|| broken("a bad status line"))?;
            let headers = read_headers(&mut self.reader)?;
            if (100..200).contains(&status) && status != 101 {
                continue;
            }
            let body = read_body(&mut self.reader, &headers, status != 101)?;
            return Ok(Response { status, headers, body });
        }
    }
}
