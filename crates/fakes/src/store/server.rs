//! The store as a server on a loopback port, with faults that tests can inject.

use std::fmt;
use std::net::SocketAddr;
use std::thread;

use base::prelude::*;
use parking_lot::{Mutex, MutexGuard};
use ports::store::{Revision, StoreCall, StoreReply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tiny_http::{Request, Server};

use super::rest::{format_reply, parse_call, status};
use super::{MemStore, RateLimit};
use crate::http::serve;
use crate::relay::Relay;

/// The number of threads that serve calls.
const SERVING_THREADS: usize = 16;

/// The interval at which leases and pending watches are checked.
const TICK: Duration = Duration::from_millis(2);

/// How an outage looks to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused, and open ones break.
    Refused,
    /// Connections are accepted, but no call gets a response.
    Hanging,
}

/// The numbers of calls that arrived.
#[derive(Clone, Debug, Default)]
pub struct StoreCounts {
    /// Calls by [kind](StoreCall::kind); a watch counts once, however long it waits.
    pub by_kind: IndexMap<&'static str, u64>,
    /// Calls that write.
    pub writes: u64,
    /// Calls that read, watches included.
    pub reads: u64,
    /// Calls rejected by the rate limits; these are included in the other counts.
    pub shed: u64,
    /// Responses to writes that were lost after the effect.
    pub lost_responses: u64,
}

/// Injects faults into a [`StoreServer`].
#[derive(Clone, Debug)]
pub struct StoreFaultInjector {
    shared: Arc<Shared>,
}

/// A store on a loopback port.
pub struct StoreServer {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

#[derive(Debug)]
struct Shared {
    clock: Arc<dyn Clock>,
    relay: Relay,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    store: MemStore,
    counts: StoreCounts,
    faults: Faults,
    watches: Vec<PendingWatch>,
    stopped: bool,
}

#[derive(Debug)]
struct Faults {
    delay: Duration,
    write_limit: Option<RateLimit>,
    read_limit: Option<RateLimit>,
    lose_next_writes: u32,
    lose_write_probability: f64,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct PendingWatch {
    req: Request,
    prefix: Name,
    after: Revision,
    until: Instant,
}

impl StoreServer {
    /// Starts an empty store.
    pub fn start(clock: Arc<dyn Clock>) -> Self {
        let (server, inner_addr) = serve();
        let shared = Arc::new(Shared {
            clock,
            relay: Relay::start(inner_addr),
            state: Mutex::new(State::new()),
        });
        let server = Arc::new(server);
        for _ in 0..SERVING_THREADS {
            let (shared, server) = (Arc::clone(&shared), Arc::clone(&server));
            thread::spawn(move || shared.serve(&server));
        }
        let ticker = Arc::clone(&shared);
        thread::spawn(move || ticker.run_ticker());
        Self { shared, server }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.shared.relay.addr()
    }

    /// Returns the handle that injects faults.
    pub fn faults(&self) -> StoreFaultInjector {
        StoreFaultInjector {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Returns how many calls arrived so far.
    pub fn counts(&self) -> StoreCounts {
        self.shared.state.lock().counts.clone()
    }

    /// Executes a call directly, without counting it and without faults.
    ///
    /// # Errors
    ///
    /// Fails as [`MemStore::call`] does.
    pub fn call(&self, call: &StoreCall) -> Result<StoreReply> {
        let now = self.shared.clock.now();
        self.shared.state.lock().store.call(now, call)
    }

    /// Stops the server for good; dropping it does the same.
    pub fn stop(&self) {
        self.shared.state.lock().stopped = true;
        self.shared.relay.stop();
        for _ in 0..SERVING_THREADS {
            self.server.unblock();
        }
    }
}

impl fmt::Debug for StoreServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreServer")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl StoreFaultInjector {
    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Option<Outage>) {
        let relay = &self.shared.relay;
        relay.set_hanging(outage == Some(Outage::Hanging));
        relay.set_refusing(outage == Some(Outage::Refused));
    }

    /// Sets the delay added to each call.
    pub fn set_delay(&self, delay: Duration) {
        self.faults().delay = delay;
    }

    /// Sets the limits in calls per second; `None` removes a limit.
    pub fn set_rates(&self, writes: Option<f64>, reads: Option<f64>) {
        let now = self.shared.clock.now();
        let mut faults = self.faults();
        faults.write_limit = writes.map(|rate| RateLimit::new(rate, now));
        faults.read_limit = reads.map(|rate| RateLimit::new(rate, now));
    }

    /// Loses the responses to the next `n` writes after they took effect.
    pub fn lose_next_writes(&self, n: u32) {
        self.faults().lose_next_writes = n;
    }

    /// Loses each response to a write after its effect with a probability, drawn from `seed`.
    pub fn lose_writes(&self, probability: f64, seed: u64) {
        let mut faults = self.faults();
        faults.lose_write_probability = probability;
        faults.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Returns the relay in front of the store.
    pub fn relay(&self) -> &Relay {
        &self.shared.relay
    }

    fn faults(&self) -> parking_lot::MappedMutexGuard<'_, Faults> {
        MutexGuard::map(self.shared.state.lock(), |state| &mut state.faults)
    }
}

impl Shared {
    fn serve(&self, server: &Server) {
        while let Ok(req) = server.recv() {
            if self.state.lock().stopped {
                return;
            }
            self.handle(req);
        }
    }

    fn handle(&self, mut req: Request) {
        let Some(call) = parse_call(&mut req) else {
            return send(req, status(400));
        };
        let delay = self.state.lock().faults.delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        let now = self.clock.now();
        let mut state = self.state.lock();
        if !state.admit(&call, now) {
            drop(state);
            return send(req, status(429));
        }
        if let StoreCall::Watch {
            prefix,
            after,
            wait,
        } = call
        {
            let until = now + wait;
            state.watches.push(PendingWatch {
                req,
                prefix,
                after,
                until,
            });
            return;
        }
        let reply = state.store.call(now, &call);
        let lost = call.is_write() && state.faults.loses_write();
        state.counts.lost_responses += u64::from(lost);
        drop(state);
        if lost {
            self.break_connection(req);
        } else {
            send(req, format_reply(reply));
        }
    }

    /// Breaks the connection of a request instead of responding.
    fn break_connection(&self, req: Request) {
        if let Some(from) = req.remote_addr().copied() {
            self.relay.break_from(from);
        }
        drop(req.into_writer());
    }

    fn run_ticker(&self) {
        while self.tick() {
            thread::sleep(TICK);
        }
    }

    fn tick(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.stopped {
            return false;
        }
        state.store.expire(now);
        let ready = state.take_ready_watches(now);
        drop(state);
        for (watch, reply) in ready {
            send(watch.req, format_reply(reply));
        }
        true
    }
}

impl State {
    fn new() -> Self {
        Self {
            store: MemStore::new(),
            counts: StoreCounts::default(),
            faults: Faults {
                delay: Duration::ZERO,
                write_limit: None,
                read_limit: None,
                lose_next_writes: 0,
                lose_write_probability: 0.0,
                rng: ChaCha8Rng::seed_from_u64(0),
            },
            watches: Vec::new(),
            stopped: false,
        }
    }

    /// Counts a call; returns false if it exceeds its rate limit.
    fn admit(&mut self, call: &StoreCall, now: Instant) -> bool {
        let counts = &mut self.counts;
        *counts.by_kind.entry(call.kind()).or_default() += 1;
        let limit = if call.is_write() {
            counts.writes += 1;
            &mut self.faults.write_limit
        } else {
            counts.reads += 1;
            &mut self.faults.read_limit
        };
        let admitted = limit.as_mut().is_none_or(|limit| limit.take(now));
        counts.shed += u64::from(!admitted);
        admitted
    }

    fn take_ready_watches(&mut self, now: Instant) -> Vec<(PendingWatch, Result<StoreReply>)> {
        let store = &mut self.store;
        self.watches
            .extract_if(.., |watch| {
                watch.until <= now || store.has_changes(&watch.prefix, watch.after)
            })
            .collect::<Vec<_>>()
            .into_iter()
            .map(|watch| {
                let call = StoreCall::Watch {
                    prefix: Arc::clone(&watch.prefix),
                    after: watch.after,
                    wait: Duration::ZERO,
                };
                let reply = store.call(now, &call);
                (watch, reply)
            })
            .collect()
    }
}

impl Faults {
    fn loses_write(&mut self) -> bool {
        if self.lose_next_writes > 0 {
            self.lose_next_writes -= 1;
            return true;
        }
        self.lose_write_probability > 0.0 && self.rng.random_bool(self.lose_write_probability)
    }
}

/// Sends a response; errors are ignored, as the client may have disconnected.
fn send(req: Request, resp: super::rest::HttpResponse) {
    req.respond(resp).unwrap_or_default();
}
