//! A fake target that responds to requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;

use base::prelude::*;
use parking_lot::{Condvar, Mutex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tiny_http::{Request, Response, Server};
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{header, read_body, serve};

/// The header with the id of a request, which the target echoes.
pub const REQUEST_ID: &str = "Monsoontrestle-Request-Id";

/// The header in which a target returns the checksum of the request body.
pub const BODY_CHECKSUM: &str = "X-Body-Checksum";

/// The number of threads that accept requests; a request in service occupies none.
const SERVING_THREADS: usize = 2;

/// The factor by which a slow target is slower.
const SLOW_FACTOR: u32 = 10;

/// The capacity and behaviour of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The number of requests that it is meant to run at once; exceeding it is only counted.
    pub slots: usize,
    /// The number of connections that it is meant to hold; exceeding it is only counted.
    pub connections: usize,
    /// The distribution of the time that a request takes.
    pub service_time: ServiceTime,
    /// The size of response bodies, in bytes.
    pub response_bytes: usize,
    /// The seed of the service times.
    pub seed: u64,
}

/// A distribution of service times.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTime {
    /// Every request takes the same time.
    Fixed(Duration),
    /// Exponential with a mean.
    Exponential(Duration),
}

/// A fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// It is ten times slower.
    Slow,
    /// It runs requests and sends only half of each response body.
    TruncatedResponses,
    /// It runs requests and never responds.
    NeverResponds,
    /// It accepts requests, but neither runs them nor responds.
    Hangs,
}

/// What a target did.
#[derive(Clone, Debug, Default)]
pub struct TargetCounts {
    /// The number of runs by request id.
    pub runs: IndexMap<Name, u32>,
    /// Requests without an id.
    pub without_id: u64,
    /// The number of requests that run now.
    pub running: usize,
    /// The largest number of requests that ran at once.
    pub max_running: usize,
    /// The number of requests that started while all slots were occupied.
    pub over_slots: u64,
    /// The number of requests that started while at least `connections` others ran.
    pub over_connections: u64,
    /// Requests that got a complete response.
    pub answered: u64,
}

/// A target on a loopback port.
pub struct TargetServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    server: Server,
    settings: TargetSettings,
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    rng: ChaCha8Rng,
    fault: TargetFault,
    counts: TargetCounts,
    in_service: BinaryHeap<Reverse<InService>>,
    unanswered: Vec<Request>,
    next_seq: u64,
    stopped: bool,
}

/// A request in service, ordered by the time at which it is done.
struct InService {
    done_at: Instant,
    seq: u64,
    pending: PendingResponse,
}

struct PendingResponse {
    req: Request,
    id: Option<Name>,
    checksum: u64,
}

impl TargetServer {
    /// Starts a target.
    pub fn start(settings: TargetSettings) -> Self {
        let (server, addr) = serve();
        let shared = Arc::new(Shared {
            server,
            state: Mutex::new(State::new(settings.seed)),
            settings,
            changed: Condvar::new(),
        });
        for _ in 0..SERVING_THREADS {
            let shared = Arc::clone(&shared);
            thread::spawn(move || shared.serve());
        }
        let finisher = Arc::clone(&shared);
        thread::spawn(move || finisher.finish_all());
        Self { addr, shared }
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault, which replaces the previous one.
    pub fn set_fault(&self, fault: TargetFault) {
        self.shared.state.lock().fault = fault;
    }

    /// Returns what the target did so far.
    pub fn counts(&self) -> TargetCounts {
        self.shared.state.lock().counts.clone()
    }

    /// Stops the target for good, without responding to requests in service.
    ///
    /// Dropping the target does the same.
    pub fn stop(&self) {
        self.shared.state.lock().stopped = true;
        self.shared.changed.notify_all();
        for _ in 0..SERVING_THREADS {
            self.shared.server.unblock();
        }
    }
}

impl fmt::Debug for TargetServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetServer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            service_time: ServiceTime::Fixed(Duration::ZERO),
            response_bytes: 64,
            seed: 0,
        }
    }
}

impl Shared {
    fn serve(&self) {
        while let Ok(req) = self.server.recv() {
            if self.state.lock().stopped {
                return;
            }
            self.accept(req);
        }
    }

    fn accept(&self, mut req: Request) {
        let Ok(body) = read_body(&mut req) else {
            return;
        };
        let pending = PendingResponse {
            id: request_id(&req),
            checksum: xxh3_64(&body),
            req,
        };
        let mut state = self.state.lock();
        if state.fault == TargetFault::Hangs {
            state.unanswered.push(pending.req);
            return;
        }
        state.count_start(pending.id.as_ref(), &self.settings);
        let time = state.draw_time(self.settings.service_time);
        if time.is_zero() {
            self.finish(state, pending);
            return;
        }
        let seq = state.next_seq;
        state.next_seq += 1;
        state.in_service.push(Reverse(InService {
            done_at: Instant::now() + time,
            seq,
            pending,
        }));
        drop(state);
        self.changed.notify_all();
    }

    fn finish_all(&self) {
        loop {
            let mut state = self.state.lock();
            if state.stopped {
                return;
            }
            let next = state.in_service.peek().map(|next| next.0.done_at);
            match next {
                None => self.changed.wait(&mut state),
                Some(at) if at > Instant::now() => {
                    self.changed.wait_until(&mut state, at);
                }
                Some(_) => {
                    if let Some(Reverse(next)) = state.in_service.pop() {
                        self.finish(state, next.pending);
                    }
                }
            }
        }
    }

    fn finish(&self, mut state: parking_lot::MutexGuard<'_, State>, pending: PendingResponse) {
        state.counts.running -= 1;
        match state.fault {
            TargetFault::NeverResponds | TargetFault::Hangs => state.unanswered.push(pending.req),
            TargetFault::TruncatedResponses => {
                drop(state);
                self.send_half(pending);
            }
            TargetFault::None | TargetFault::Slow => {
                state.counts.answered += 1;
                drop(state);
                self.send_whole(pending);
            }
        }
    }

    fn send_whole(&self, pending: PendingResponse) {
        let mut resp = Response::from_data(vec![b'.'; self.settings.response_bytes]).with_header(
            header(BODY_CHECKSUM, format_args!("{:016x}", pending.checksum)),
        );
        if let Some(id) = &pending.id {
            resp.add_header(header(REQUEST_ID, id));
        }
        // Errors are ignored, as the caller may have disconnected.
        pending.req.respond(resp).unwrap_or_default();
    }

    /// Sends the headers and half of the body, and never the rest.
    fn send_half(&self, pending: PendingResponse) {
        let id = pending.id.as_deref().unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{REQUEST_ID}: {id}\r\n\r\n",
            self.settings.response_bytes
        );
        let half = vec![b'.'; self.settings.response_bytes / 2];
        let mut writer = pending.req.into_writer();
        // Errors are ignored, as the caller may have disconnected.
        writer
            .write_all(head.as_bytes())
            .and_then(|()| writer.write_all(&half))
            .and_then(|()| writer.flush())
            .unwrap_or_default();
    }
}

impl State {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault: TargetFault::None,
            counts: TargetCounts::default(),
            in_service: BinaryHeap::new(),
            unanswered: Vec::new(),
            next_seq: 0,
            stopped: false,
        }
    }

    fn count_start(&mut self, id: Option<&Name>, settings: &TargetSettings) {
        let counts = &mut self.counts;
        match id {
            Some(id) => *counts.runs.entry(Arc::clone(id)).or_default() += 1,
            None => counts.without_id += 1,
        }
        counts.over_slots += u64::from(counts.running >= settings.slots);
        counts.over_connections += u64::from(counts.running >= settings.connections);
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
    }

    fn draw_time(&mut self, service_time: ServiceTime) -> Duration {
        let time = match service_time {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Exponential(mean) => {
                let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
                mean.mul_f64(-draw.ln())
            }
        };
        match self.fault {
            TargetFault::Slow => time * SLOW_FACTOR,
            _ => time,
        }
    }
}

impl PartialEq for InService {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for InService {}

impl PartialOrd for InService {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InService {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.done_at, self.seq).cmp(&(other.done_at, other.seq))
    }
}

fn request_id(req: &Request) -> Option<Name> {
    req.headers()
        .iter()
        .find(|header| header.field.equiv(REQUEST_ID))
        .map(|header| header.value.as_str().into())
}
