//! Keeps `tiny_http` from leaving a connection unserved.
//!
//! The library hands each connection to a thread of a pool that counts a thread as idle until it
//! has woken up. Of two connections that arrive before that, the second waits until some other
//! connection closes, which may be never. Any further connection makes the pool look again, so
//! one is opened and closed from time to time.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How long a connection may stay unserved.
const PERIOD: Duration = Duration::from_millis(100);

/// Starts a thread that ends once nothing listens at `addr` any more.
pub fn serve_stalled_connections(addr: SocketAddr) {
    let addr = reachable(addr);
    thread::spawn(move || {
        while !is_closed(addr) {
            thread::sleep(PERIOD);
        }
    });
}

fn is_closed(addr: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&addr, PERIOD);
    connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}

/// Returns an address under which this machine reaches a listener at `addr`.
fn reachable(mut addr: SocketAddr) -> SocketAddr {
    if addr.ip().is_unspecified() {
        addr.set_ip(match addr {
            SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    addr
}
