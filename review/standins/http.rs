//! HTTP/1.1 over blocking sockets: a server with a thread for each channel, and a caller's requests.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
        parameters.find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
    }
}

fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let decoded = match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(b'?')
            }
            other => other,
        };
        bytes.push(decoded);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn bad(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// The first line and the headers.
fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok((first, headers));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("a header without a colon"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunked(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let digits = line.split(';').next().unwrap_or_default();
        let length = usize::from_str_radix(digits, 16).map_err(|_| bad("a chunk's length"))?;
        let start = body.len();
        body.resize(start + length, 0);
        if let Err(error) = reader.read_exact(&mut body[start..]) {
            body.truncate(start);
            return Err(error);
        }
        read_line(reader)?;
        if length == 0 {
            return Ok(());
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if header_of(&headers, "transfer-encoding").contains("chunked") {
        read_chunked(reader, &mut body)?;
    } else if let Ok(length) = header_of(&headers, "content-length").parse() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Request { method, target, headers, body })
}

/// Serves channels on a free port of the loopback address, until the process ends. The handler answers on the
/// channel; an error closes it.
pub fn serve(
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_channel(stream, &*handler));
        }
    });
    Ok(addr)
}

fn serve_channel(
    stream: TcpStream,
    handler: &(dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_request(&mut reader) {
        if handler(&request, &mut writer).is_err() {
            return;
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the head of an answer in chunks.
pub fn chunked_head(stream: &mut TcpStream, headers: &[(&str, &str)]) -> io::Result<()> {
    let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())
}

/// Writes a chunk; an empty one ends the answer.
pub fn chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
    framed.extend_from_slice(bytes);
    framed.extend_from_slice(b"\r\n");
    stream.write_all(&framed)
}

/// Waits, and tells whether the other end has closed the channel meanwhile.
pub fn closed_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_read_timeout(None);
        match peeked {
            Ok(0) => return true,
            Ok(_) => thread::sleep(left),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {}
                _ => return true,
            },
        }
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// None if the channel closed, or the time was over, before the head of an answer.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    /// Whether the other end closed the channel, rather than the caller.
    pub is_closed: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name)
    }
}

/// Sends a request on a new channel and reads the answer. The caller leaves after `patience` without a byte.
pub fn call(addr: SocketAddr, request: &str, patience: Duration) -> Answer {
    let mut answer = Answer {
        status: None,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
        is_closed: false,
    };
    let result = call_into(addr, request, patience, &mut answer);
    answer.is_whole = result.is_ok();
    answer.is_closed = result.is_err_and(|error| {
        !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
    });
    answer
}

fn call_into(
    addr: SocketAddr,
    request: &str,
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    answer.headers = headers;
    if answer.header("transfer-encoding").contains("chunked") {
        return read_chunked(&mut reader, &mut answer.body);
    }
    match answer.header("content-length").parse::<usize>() {
        Ok(length) => {
            answer.body.resize(length, 0);
            reader.read_exact(&mut answer.body)
        }
        Err(_) => reader.read_to_end(&mut answer.body).map(drop),
    }
}
