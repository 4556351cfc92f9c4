//! A workaround for connections that `tiny_http` leaves unserved.
//!
//! The library hands each connection to a thread of a pool that counts a thread as idle until the
//! thread has woken up. Of two connections that arrive before that, the second waits until some
//! other connection closes, which may be never. Any further connection makes the pool check again,
//! so one is opened and closed periodically.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval between the connections, which bounds how long another may stay unserved.
const CONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a thread that connects to `addr` periodically; it ends once nothing listens there.
pub fn serve_stalled_connections(addr: SocketAddr) {
    let addr = local_addr_of(addr);
    thread::spawn(move || {
        while !is_closed(addr) {
            thread::sleep(CONNECT_INTERVAL);
        }
    });
}

fn is_closed(addr: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&addr, CONNECT_INTERVAL);
    connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}

/// Returns an address at which this machine can connect to a listener bound to `addr`.
fn local_addr_of(mut addr: SocketAddr) -> SocketAddr {
    if addr.ip().is_unspecified() {
        addr.set_ip(match addr {
            SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    addr
}
