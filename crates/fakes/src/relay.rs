//! A TCP relay that can discard, delay and hold back bytes, and refuse connections.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::{Condvar, Mutex};

use crate::http::listen;

/// The polling interval for state changes, such as the port being bound again.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// The buffer size of each direction, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// A direction through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    ToClient,
    /// Both.
    Both,
}

/// A relay to one server, with faults that can be set.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    server: Mutex<SocketAddr>,
    listening: Mutex<Listening>,
    changed: Condvar,
    connections: Mutex<IndexMap<u64, Arc<Connection>>>,
    next_connection: AtomicU64,
    delay_micros: AtomicU64,
    hang: AtomicBool,
    discard_to_server: AtomicBool,
    discard_to_client: AtomicBool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Open,
    Refusing,
    Stopped,
}

/// One connection through the relay.
#[derive(Debug)]
struct Connection {
    client: TcpStream,
    server: TcpStream,
    discard_to_server: AtomicBool,
    discard_to_client: AtomicBool,
}

impl Relay {
    /// Starts a relay to `server` on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be bound.
    pub fn start(server: SocketAddr) -> Self {
        Self::start_at(Ipv4Addr::LOCALHOST.into(), server)
    }

    /// Starts a relay to `server` on a free port of `ip`, a loopback address.
    ///
    /// While a relay refuses connections its port is free, and on an address that others use too one
    /// of them may take it.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be bound.
    pub fn start_at(ip: IpAddr, server: SocketAddr) -> Self {
        let listener = listen(SocketAddr::new(ip, 0)).expect("bind a relay");
        let addr = listener.local_addr().expect("a bound address");
        let shared = Arc::new(Shared {
            server: Mutex::new(server),
            listening: Mutex::new(Listening::Open),
            changed: Condvar::new(),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            delay_micros: AtomicU64::new(0),
            hang: AtomicBool::new(false),
            discard_to_server: AtomicBool::new(false),
            discard_to_client: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || acceptor.accept_all(listener, addr));
        Self { addr, shared }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connects new connections to another server.
    pub fn set_server(&self, server: SocketAddr) {
        *self.shared.server.lock() = server;
    }

    /// Discards all later bytes on the connections that are open now; new connections work.
    ///
    /// The ends of these connections are not passed on either.
    pub fn discard_on_open_connections(&self, direction: Direction) {
        for connection in self.shared.connections.lock().values() {
            if direction != Direction::ToClient {
                connection.discard_to_server.store(true, Ordering::SeqCst);
            }
            if direction != Direction::ToServer {
                connection.discard_to_client.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Discards all bytes on open and new connections, or lets connections that open later work.
    pub fn set_discarding(&self, direction: Direction, discarding: bool) {
        if direction != Direction::ToClient {
            let flag = &self.shared.discard_to_server;
            flag.store(discarding, Ordering::SeqCst);
        }
        if direction != Direction::ToServer {
            let flag = &self.shared.discard_to_client;
            flag.store(discarding, Ordering::SeqCst);
        }
        if discarding {
            self.discard_on_open_connections(direction);
        }
    }

    /// Sets the delay that is added in each direction.
    pub fn set_delay(&self, one_way: Duration) {
        let micros = u64::try_from(one_way.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay_micros.store(micros, Ordering::SeqCst);
    }

    /// Refuses new connections and breaks the open ones, or listens again.
    pub fn set_refusing(&self, refusing: bool) {
        let state = if refusing {
            Listening::Refusing
        } else {
            Listening::Open
        };
        self.set_listening(state);
        if refusing {
            self.break_open();
        }
    }

    /// Holds back all bytes on open and new connections, or passes them on again.
    pub fn set_hanging(&self, hanging: bool) {
        self.shared.hang.store(hanging, Ordering::SeqCst);
    }

    /// Breaks all connections that are open now.
    pub fn break_open(&self) {
        for connection in self.shared.connections.lock().values() {
            connection.shutdown();
        }
    }

    /// Breaks the connection whose address on the side of the server is `from`.
    pub fn break_from(&self, from: SocketAddr) {
        for connection in self.shared.connections.lock().values() {
            if connection
                .server
                .local_addr()
                .is_ok_and(|addr| addr == from)
            {
                connection.shutdown();
            }
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.connections.lock().len()
    }

    /// Stops listening and breaks all connections.
    pub fn stop(&self) {
        self.set_listening(Listening::Stopped);
        self.break_open();
    }

    fn set_listening(&self, state: Listening) {
        {
            let mut listening = self.shared.listening.lock();
            if *listening == state || *listening == Listening::Stopped {
                return;
            }
            let was_open = *listening == Listening::Open;
            *listening = state;
            self.shared.changed.notify_all();
            if !was_open && state == Listening::Stopped {
                return;
            }
        }
        // Connecting wakes the acceptor; repeats until the new state is in effect.
        while TcpStream::connect(self.addr).is_ok() != (state == Listening::Open) {
            thread::sleep(REBIND_PAUSE);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn accept_all(self: &Arc<Self>, first: TcpListener, addr: SocketAddr) {
        let mut listener = first;
        loop {
            self.accept_while_open(&listener);
            drop(listener);
            if !self.wait_until_open() {
                return;
            }
            listener = rebind(addr);
        }
    }

    fn accept_while_open(self: &Arc<Self>, listener: &TcpListener) {
        while let Ok((client, _)) = listener.accept() {
            if *self.listening.lock() != Listening::Open {
                return;
            }
            let shared = Arc::clone(self);
            thread::spawn(move || shared.open_connection(client));
        }
    }

    fn wait_until_open(&self) -> bool {
        let mut listening = self.listening.lock();
        while *listening == Listening::Refusing {
            self.changed.wait(&mut listening);
        }
        *listening == Listening::Open
    }

    fn open_connection(self: &Arc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(*self.server.lock()) else {
            return;
        };
        if server.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let connection = {
            // Locked before the flags are read: a change of them reaches either them or the list.
            let mut connections = self.connections.lock();
            let copy = |flag: &AtomicBool| AtomicBool::new(flag.load(Ordering::SeqCst));
            let connection = Arc::new(Connection {
                client,
                server,
                discard_to_server: copy(&self.discard_to_server),
                discard_to_client: copy(&self.discard_to_client),
            });
            connections.insert(id, Arc::clone(&connection));
            connection
        };

        let (shared, back) = (Arc::clone(self), Arc::clone(&connection));
        let backward = thread::spawn(move || {
            shared.pass(&back.server, &back.client, &back.discard_to_client);
        });
        self.pass(
            &connection.client,
            &connection.server,
            &connection.discard_to_server,
        );
        if backward.join().is_err() {
            connection.shutdown();
        }
        self.connections.lock().swap_remove(&id);
    }

    /// Forwards bytes until either side closes.
    fn pass(&self, mut from: &TcpStream, mut to: &TcpStream, discard: &AtomicBool) {
        let mut buf = vec![0; BUFFER_BYTES];
        while let Ok(n) = from.read(&mut buf)
            && n > 0
        {
            self.hold_back();
            if discard.load(Ordering::SeqCst) {
                continue;
            }
            if to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        // A direction that discards bytes hides the end of the connection too.
        if !discard.load(Ordering::SeqCst) {
            shut(to, Shutdown::Write);
        }
    }

    fn hold_back(&self) {
        let delay = Duration::from_micros(self.delay_micros.load(Ordering::SeqCst));
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        while self.hang.load(Ordering::SeqCst) && *self.listening.lock() == Listening::Open {
            thread::sleep(REBIND_PAUSE);
        }
    }
}

impl Connection {
    fn shutdown(&self) {
        shut(&self.client, Shutdown::Both);
        shut(&self.server, Shutdown::Both);
    }
}

/// Shuts a connection down; an error means that it is down already.
fn shut(stream: &TcpStream, how: Shutdown) {
    stream.shutdown(how).unwrap_or_default();
}

fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        match listen(addr) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(REBIND_PAUSE),
        }
    }
}
