//! A pool of threads that serve HTTP requests.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

use crate::operator::path;

/// How long a connection is idle before the other end is probed.
const IDLE_BEFORE_PROBE: Duration = Duration::from_secs(30);

/// How often the other end is probed.
const PROBE_EVERY: Duration = Duration::from_secs(10);

/// How many probes may go unanswered.
const PROBES: u32 = 3;

/// The pool serves.
const OPEN: u8 = 0;

/// The pool serves until no request comes.
const DRAINING: u8 = 1;

/// The pool takes no request.
const CLOSED: u8 = 2;

/// How long a draining pool is without work before its threads end.
const DRAIN_IDLE: Duration = Duration::from_millis(250);

/// How often a draining thread looks whether the pool is without work.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// How often the end of the threads is looked for.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// Serves HTTP requests on a fixed number of threads, each with one request at a time.
pub struct HttpPool {
    server: Arc<Server>,
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// When the last request came that is no health check.
    last_work: Arc<Mutex<Instant>>,
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

    /// Stops taking requests without waiting for those in progress, as a crash would.
    pub fn abandon(self) {
        self.set_mode(CLOSED);
    }

    fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::Release);
        self.wake_threads();
    }

    /// Wakes as many waiting threads as have not ended.
    fn wake_threads(&self) {
        let waiting = self.threads.iter().filter(|thread| !thread.is_finished());
        waiting.for_each(|_| self.server.unblock());
    }

    /// Serves on until only health checks come, then stops; tells whether all in progress finished.
    ///
    /// Both parts, serving on and finishing what is in progress, take at most `grace`.
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
            // A thread that drains already may have taken the wake-up of one that waits.
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
fn serve(
    server: &Server,
    mode: &AtomicU8,
    last_work: &Mutex<Instant>,
    handler: &(impl Fn(Request) + ?Sized),
) {
    loop {
        let received = match mode.load(Ordering::Acquire) {
            // `unblock` makes `recv` return an error, as does a closed listener.
            OPEN => server.recv().ok(),
            DRAINING if last_work.lock().elapsed() >= DRAIN_IDLE => return,
            DRAINING => server.recv_timeout(DRAIN_STEP).ok().flatten(),
            _ => return,
        };
        if let Some(req) = received {
            // A balancer checks the health of a leaving entry for as long as it is there.
            let is_probe = [path::LIVE, path::READY].contains(&req.url());
            if !is_probe && mode.load(Ordering::Acquire) == DRAINING {
                *last_work.lock() = Instant::now();
            }
            handler(req);
        }
    }
}
