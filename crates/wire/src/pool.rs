//! A pool of threads that serve HTTP requests.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

/// How long a connection is idle before the other end is probed.
const IDLE_BEFORE_PROBE: Duration = Duration::from_secs(30);

/// How often the other end is probed.
const PROBE_EVERY: Duration = Duration::from_secs(10);

/// How many probes may go unanswered.
const PROBES: u32 = 3;

/// Serves HTTP requests on a fixed number of threads, each with one request at a time.
pub struct HttpPool {
    server: Arc<Server>,
    addr: SocketAddr,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpPool {
    /// Binds `addr` and starts `threads` threads that hand each request to `handler`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] where the address cannot be bound.
    pub fn start(
        addr: SocketAddr,
        threads: usize,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<Self> {
        let bind_error = |message: String| {
            Error::new(
                ErrorKind::Invalid,
                "bind http address",
                addr.to_string(),
                message,
            )
        };
        let listener = listen(addr).map_err(|e| bind_error(e.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|e| bind_error(e.to_string()))?;
        let Some(addr) = server.server_addr().to_ip() else {
            return Err(bind_error("not an IP address".to_owned()));
        };
        crate::serve_stalled_connections(addr);
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        let stopping = Arc::new(AtomicBool::new(false));
        let threads = (0..threads)
            .map(|_| {
                let server = Arc::clone(&server);
                let handler = Arc::clone(&handler);
                let stopping = Arc::clone(&stopping);
                std::thread::spawn(move || serve(&server, &stopping, &*handler))
            })
            .collect();
        Ok(Self {
            server,
            addr,
            stopping,
            threads,
        })
    }

    /// Returns the address that the pool is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops taking requests without waiting for those in progress, as a crash would.
    pub fn abandon(self) {
        self.close();
    }

    fn close(&self) {
        self.stopping.store(true, Ordering::Release);
        for _ in &self.threads {
            self.server.unblock();
        }
    }

    /// Stops taking requests and waits for those in progress.
    pub fn stop(self) {
        self.close();
        for thread in self.threads {
            // A handler that panicked has already been reported.
            drop(thread.join());
        }
    }
}

impl fmt::Debug for HttpPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPool")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Binds a listener whose connections send small writes at once and are closed when the other end
/// is gone for good; else each would hold a thread for ever.
///
/// The server writes head and body apart; without this option the second write
/// would wait for the peer's delayed acknowledgement. Connections inherit it.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    let socket = SockRef::from(&listener);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(IDLE_BEFORE_PROBE)
            .with_interval(PROBE_EVERY)
            .with_retries(PROBES),
    )?;
    Ok(listener)
}

/// Takes requests until the pool stops.
fn serve(server: &Server, stopping: &AtomicBool, handler: &(impl Fn(Request) + ?Sized)) {
    while !stopping.load(Ordering::Acquire) {
        // `unblock` makes `recv` return an error, as does a closed listener.
        let Ok(req) = server.recv() else { continue };
        handler(req);
    }
}
