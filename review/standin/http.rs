//! HTTP/1.1 client calls, one connection each.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends one request and reads the whole answer; `None` if there is none within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    read_answer(&mut stream, deadline)
}

fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut part = [0; 65_536];
    loop {
        if let Some(answer) = parse(&bytes) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// The answer, once its head and as many bytes as its `Content-Length` says have come.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length: usize = lines
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(Some(0), |(_, value)| value.trim().parse().ok())?;
    let body = bytes.get(end + 4..end + 4 + length)?;
    Some(Answer {
        status,
        body: String::from_utf8(body.to_vec()).ok()?,
    })
}
