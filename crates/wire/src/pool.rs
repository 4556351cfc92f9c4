//! An HTTP server with a fixed pool of threads.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

use crate::operator::path;

/// How long a connection is idle before the first TCP keep-alive probe.
const IDLE_BEFORE_PROBE: Duration = Duration::from_secs(30);

/// The interval between keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// The number of unanswered probes after which a connection is closed.
const PROBES: u32 = 3;

/// The pool serves requests.
const OPEN: u8 = 0;

/// The pool serves until no more requests arrive.
const DRAINING: u8 = 1;

/// The pool accepts no requests.
const CLOSED: u8 = 2;

/// How long a draining pool must receive no request but health checks before its threads end.
const DRAIN_IDLE: Duration = Duration::from_millis(250);

/// How often a draining thread checks whether requests still arrive.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// How often a stopping pool checks whether its threads have ended.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// Serves HTTP requests on a fixed number of threads, each with one request at a time.
pub struct HttpPool {
    server: Arc<Server>,
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// When the last request other than a health check arrived.
    last_work: Arc<Mutex<Instant>>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpPool {
    /// Binds `addr` and starts `threads` threads that pass each request to `handler`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if the address cannot be bound.
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
        let last_work = Arc::new(Mutex::new(Instant::now()));
        let threads = (0..threads)
            .map(|_| {
                let server = Arc::clone(&server);
                let handler = Arc::clone(&handler);
                let mode = Arc::clone(&mode);
                let last_work = Arc::clone(&last_work);
                std::thread::spawn(move || serve(&server, &mode, &last_work, &*handler))
            })
            .collect();
        Ok(Self {
            server,
            addr,
            mode,
            last_work,
            threads,
        })
    }

    /// Returns the address that the pool is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting requests without waiting for those in progress, as in a crash.
    pub fn abandon(self) {
        self.set_mode(CLOSED);
    }

    fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::Release);
        self.wake_threads();
    }

    /// Issues one wake-up for each thread that has not ended.
    fn wake_threads(&self) {
        let waiting = self.threads.iter().filter(|thread| !thread.is_finished());
        waiting.for_each(|_| self.server.unblock());
    }

    /// Drains the pool and stops it; returns true if all requests in progress finished.
    ///
    /// The pool first serves until only health checks arrive, then finishes what is in progress.
    /// Each of the two phases takes at most `grace`.
    pub fn stop(self, grace: Duration) -> bool {
        *self.last_work.lock() = Instant::now();
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
            // A thread that is draining already may have consumed the wake-up of a waiting one.
            self.wake_threads();
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

/// Binds a listener with `TCP_NODELAY` and TCP keep-alive, which its connections inherit.
///
/// The server writes head and body separately; without `TCP_NODELAY` the second write would wait
/// for the peer's delayed acknowledgement. Without keep-alive, a connection whose peer is gone
/// would occupy a thread forever.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    let socket = SockRef::from(&listener);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(IDLE_BEFORE_PROBE)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES),
    )?;
    Ok(listener)
}

/// Serves requests until the pool stops.
fn serve(
    server: &Server,
    mode: &AtomicU8,
    last_work: &Mutex<Instant>,
    handler: &(impl Fn(Request) + ?Sized),
) {
    loop {
        let received = match mode.load(Ordering::Acquire) {
            // `recv` returns an error after `unblock` and if the listener is closed.
            OPEN => server.recv().ok(),
            DRAINING if last_work.lock().elapsed() >= DRAIN_IDLE => return,
            DRAINING => server.recv_timeout(DRAIN_STEP).ok().flatten(),
            _ => return,
        };
        if let Some(req) = received {
            // A load balancer keeps probing a leaving entry, which must not prolong the drain.
            let is_probe = [path::LIVE, path::READY].contains(&req.url());
            if !is_probe && mode.load(Ordering::Acquire) == DRAINING {
                *last_work.lock() = Instant::now();
            }
            handler(req);
        }
    }
}
