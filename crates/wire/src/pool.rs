//! A pool of threads that serve HTTP requests.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use socket2::SockRef;
use tiny_http::{Request, Server};

/// The pool serves.
const OPEN: u8 = 0;

/// The pool serves until no request comes.
const DRAINING: u8 = 1;

/// The pool takes no request.
const CLOSED: u8 = 2;

/// How long a draining thread waits for a request before it ends.
const DRAIN_IDLE: Duration = Duration::from_millis(250);

/// How often the end of the threads is looked for.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// Serves HTTP requests on a fixed number of threads, each with one request at a time.
pub struct HttpPool {
    server: Arc<Server>,
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
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
        let mode = Arc::new(AtomicU8::new(OPEN));
        let threads = (0..threads)
            .map(|_| {
                let server = Arc::clone(&server);
                let handler = Arc::clone(&handler);
                let mode = Arc::clone(&mode);
                std::thread::spawn(move || serve(&server, &mode, &*handler))
            })
            .collect();
        Ok(Self {
            server,
            addr,
            mode,
            threads,
        })
    }

    /// Returns the address that the pool is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops taking requests without waiting for those in progress, as a crash would.
    pub fn abandon(self) {
        self.set_mode(CLOSED);
    }

    fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::Release);
        for _ in &self.threads {
            self.server.unblock();
        }
    }

    /// Serves on until no request comes, then stops; tells whether all in progress finished.
    ///
    /// Both parts, serving on and finishing what is in progress, take at most `grace`.
    pub fn stop(self, grace: Duration) -> bool {
        self.set_mode(DRAINING);
        if self.wait_for_threads(grace) {
            return true;
        }
        self.set_mode(CLOSED);
        self.wait_for_threads(grace)
    }

    fn wait_for_threads(&self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        loop {
            if self.threads.iter().all(JoinHandle::is_finished) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(WAIT_STEP);
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

/// Binds a listener whose connections send small writes at once.
///
/// The server writes head and body apart; without this option the second write
/// would wait for the peer's delayed acknowledgement. Connections inherit it.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Takes requests until the pool stops.
fn serve(server: &Server, mode: &AtomicU8, handler: &(impl Fn(Request) + ?Sized)) {
    loop {
        let received = match mode.load(Ordering::Acquire) {
            // `unblock` makes `recv` return an error, as does a closed listener.
            OPEN => server.recv().ok(),
            DRAINING => match server.recv_timeout(DRAIN_IDLE) {
                Ok(Some(req)) => Some(req),
                _ => return,
            },
            _ => return,
        };
        if let Some(req) = received {
            handler(req);
        }
    }
}
