//! Reads and writes HTTP/1.1 messages on plain sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request, or a response whose `start` is the status line.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(known, _)| *known == name).map(|(_, v)| v.to_owned()).next();
        value
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, count: usize, into: &mut Vec<u8>) -> io::Result<()> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                into.append(&mut self.buffer);
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        into.extend(self.buffer.drain(..count));
        Ok(())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let start = self.read_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Message { start, headers, body: Vec::new(), is_complete: false });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message; what ends with the connection is read to there.
    pub fn read_body(&mut self, message: &mut Message, may_end_with_connection: bool) {
        let mut body = Vec::new();
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let read = if is_chunked {
            self.read_chunks(&mut body)
        } else if let Some(length) = length {
            self.read_exactly(length, &mut body)
        } else if may_end_with_connection {
            loop {
                match self.fill() {
                    Ok(0) => break Ok(()),
                    Ok(_) => {}
                    Err(err) => break Err(err),
                }
            }
        } else {
            Ok(())
        };
        if !is_chunked && length.is_none() && may_end_with_connection {
            body.append(&mut self.buffer);
        }
        message.body = body;
        message.is_complete = read.is_ok();
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(());
            }
            self.read_exactly(size, body)?;
            self.read_line()?;
        }
    }

    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false);
        if message.is_complete { Ok(message) } else { Err(ErrorKind::UnexpectedEof.into()) }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the other side has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(err) => err.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Returns whether the other side has sent anything, or closed or reset the connection.
    pub fn has_input(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        !peeked.is_err_and(|err| err.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a response with a body.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Binds a free port of an address.
pub fn listen(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

/// Returns so many free addresses, with different ports below those that the system gives to sockets.
pub fn free_addresses<const COUNT: usize>(ip: &str) -> [SocketAddr; COUNT] {
    let free = (21_000..30_000).filter_map(|port| TcpListener::bind((ip, port)).ok());
    let listeners: Vec<TcpListener> = free.take(COUNT).collect();
    std::array::from_fn(|number| listeners[number].local_addr().expect("a bound socket"))
}

/// Accepts connections for ever, each in a thread of its own.
pub fn accept_all(listener: TcpListener, serve: impl Fn(Conn) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Conn::new(stream)));
        }
    });
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn close(fd: i32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

/// Connects from a loopback address of the caller's own.
pub fn connect_from(ip: &str, to: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let encode = |ip: IpAddr, port: u16| match ip {
        IpAddr::V4(ip) => SockAddrIn {
            family: 2,
            port: port.to_be(),
            address: u32::from_ne_bytes(ip.octets()),
            zero: [0; 8],
        },
        IpAddr::V6(_) => panic!("all addresses are those of IPv4"),
    };
    let own = encode(ip.parse().expect("an address"), 0);
    let other = encode(to.ip(), to.port());
    // SAFETY: both addresses live until the calls return, and the descriptor is owned by nobody else.
    unsafe {
        let fd = socket(2, 1 | 0o2_000_000, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        if bind(fd, &own, 16) != 0 || connect(fd, &other, 16) != 0 {
            let err = io::Error::last_os_error();
            close(fd);
            return Err(err);
        }
        Ok(TcpStream::from_raw_fd(fd))
    }
}

/// Sends a request on a new connection and reads the response; `None` if no complete head came.
pub fn exchange(
    from: &str,
    to: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = connect_from(from, to)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut conn = Conn::new(stream);
    conn.write(request)?;
    let mut message = conn.read_head()?;
    conn.read_body(&mut message, true);
    Ok(message)
}
