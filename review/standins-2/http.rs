//! HTTP/1.1 as far as the stand-ins need it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header's value; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A value of the query; empty if it is missing.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

/// A connection, with what was read of it beyond the last message.
pub struct Channel {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads a request; none at the end of the connection.
    ///
    /// # Errors
    /// Fails if the connection breaks inside a request.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let (first, headers) = parse_head(&head);
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let length = find_header(&headers, "content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.buffer.drain(..length).collect();
        Ok(Some(Request { method, target, headers, body }))
    }

    /// Reads the head of a response: its status and headers.
    ///
    /// # Errors
    /// Fails if the connection ends first.
    pub fn read_response_head(&mut self) -> io::Result<(u16, Vec<(String, String)>)> {
        let head = self.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let (first, headers) = parse_head(&head);
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok((status, headers))
    }

    /// Reads the next chunk of a chunked body; an empty one is the end.
    ///
    /// # Errors
    /// Fails if the connection ends first.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_through(b"\r\n")?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let text = String::from_utf8_lossy(&line);
        let length = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = self.read_exactly(length + 2)?;
        chunk.truncate(length);
        Ok(chunk)
    }

    /// Reads this many bytes.
    ///
    /// # Errors
    /// Fails if the connection ends first.
    pub fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Sends a whole response.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    fn read_head(&mut self) -> io::Result<Option<String>> {
        let head = self.read_through(b"\r\n\r\n")?;
        Ok(head.map(|head| String::from_utf8_lossy(&head).into_owned()))
    }

    fn read_through(&mut self, end: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            let found = self.buffer.windows(end.len()).position(|bytes| bytes == end);
            if let Some(at) = found {
                return Ok(Some(self.buffer.drain(..at + end.len()).collect()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }
}

/// A header's value; empty if it is missing.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    (first, headers.collect())
}
