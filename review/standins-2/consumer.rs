//! A stand-in for a consumer.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Channel;
use crate::http::find_header;
use crate::record::Record;

/// A request of a consumer.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its key.
    pub key: String,
    /// How long the consumer waits.
    pub deadline: Duration,
    /// Whether it asks for a generation.
    pub is_generation: bool,
    /// How long the consumer bears a silent stream.
    pub patience: Duration,
}

/// What the consumer got.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// When it had sent the request.
    pub sent: Duration,
    /// The status; 0 if the channel was closed before.
    pub status: u16,
    /// The ids of the events that it got.
    pub events: Vec<u64>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    /// Whether the consumer itself gave up.
    pub has_given_up: bool,
    /// When the answer or the channel ended.
    pub ended: Duration,
}

/// Sends a request on a new channel and reads the answer.
///
/// # Errors
/// Fails if the gateway cannot be reached.
pub fn send(addr: SocketAddr, call: &Call, record: &Record) -> io::Result<Outcome> {
    let stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(call.patience))?;
    let mut channel = Channel::new(stream);
    let Call { id, path, key, .. } = call;
    let deadline_ms = call.deadline.as_millis();
    let common = format!(
        "Host: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
    );
    let request = if call.is_generation {
        format!(
            "POST {path} HTTP/1.1\r\n{common}Model: *\r\nToken-Usage: 826,400\r\nPrompt-Prefix: 5c1e07a2:198,91bd3f06:628\r\nContent-Length: 5\r\n\r\nhello"
        )
    } else {
        format!("GET {path} HTTP/1.1\r\n{common}\r\n")
    };
    channel.stream.write_all(request.as_bytes())?;
    let sent = record.line(format!("consumer: {id} {path} sent"));
    let mut outcome = Outcome {
        sent,
        status: 0,
        events: Vec::new(),
        is_whole: false,
        has_given_up: false,
        ended: sent,
    };
    let result = read_answer(&mut channel, &mut outcome);
    let what = match &result {
        Ok(()) => "the answer is whole".to_owned(),
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            outcome.has_given_up = true;
            "gives up: silent for too long".to_owned()
        }
        Err(error) => format!("the channel was closed inside the answer: {error}"),
    };
    outcome.is_whole = result.is_ok();
    let (status, events) = (outcome.status, outcome.events.len());
    outcome.ended = record.line(format!("consumer: {id} status {status}, {events} events, {what}"));
    Ok(outcome)
}

fn read_answer(channel: &mut Channel, outcome: &mut Outcome) -> io::Result<()> {
    let (status, headers) = channel.read_response_head()?;
    outcome.status = status;
    if find_header(&headers, "transfer-encoding").is_empty() {
        let length = find_header(&headers, "content-length").parse().unwrap_or(0);
        return channel.read_exactly(length).map(drop);
    }
    loop {
        let chunk = channel.read_chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&chunk).into_owned();
        let ids =
            text.lines().filter_map(|line| line.strip_prefix("id:")?.trim().parse::<u64>().ok());
        outcome.events.extend(ids);
    }
}
