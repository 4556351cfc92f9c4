//! Helpers for HTTP servers on top of `tiny_http`.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use percent_encoding::percent_decode_str;
use tiny_http::{Header, Request, Server};

/// Starts a server on a free loopback port, with Nagle's algorithm off.
///
/// # Panics
///
/// Panics if the server cannot be started.
pub fn serve() -> (Server, SocketAddr) {
    let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("bind to loopback");
    let addr = listener.local_addr().expect("a bound address");
    let server = Server::from_listener(listener, None).expect("start a server");
    wire::serve_stalled_connections(addr);
    (server, addr)
}

/// Listens at `addr`; accepted connections inherit `TCP_NODELAY` from the listener.
pub fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Splits the URL of a request into its path and decoded query.
pub fn split_url(url: &str) -> (String, Query) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let pairs = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (decode(name), decode(value)))
        .collect();
    (decode(path), Query(pairs))
}

/// The decoded query of a URL.
#[derive(Debug)]
pub struct Query(Vec<(String, String)>);

impl Query {
    /// Returns the value of `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the value of `name` as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Reads the whole body of a request.
pub fn read_body(req: &mut Request) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(req.body_length().unwrap_or(0));
    req.as_reader().read_to_end(&mut body)?;
    Ok(body)
}

/// Creates a header of a response.
///
/// # Panics
///
/// Panics if the name or the value is not ASCII.
pub fn header(name: &str, value: impl fmt::Display) -> Header {
    Header::from_bytes(name, value.to_string()).expect("a header in ASCII")
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
