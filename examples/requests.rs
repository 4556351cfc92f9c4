//! Measures the request path on loopback, with entries, companions and targets in one process.
//!
//! Each measurement prints one line. Run all of them, or name some on the command line.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use base::SystemClock;
use base::prelude::*;
use bpaf::Bpaf;
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::relay::Relay;
use fakes::store::StoreServer;
use fakes::target::{ServiceTime, TargetFault, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use hdrhistogram::Histogram;
use ports::HttpStore;
use ports::store::{Expect, Store, StoreCall};
use slog::{Logger, o};
use tables::TablesDoc;
use ureq::Agent;
use wire::{Outcome, header};

const ROUTES: &str = r#"
    [routes.check]
    path = "/check"
    kind = "request"
    pool = "runners"
    idempotent = true
    deadline = "2s"
"#;

const POOLS: &str = r#"
    [pools.runners]
    workers = ["runner-*"]
"#;

/// The body of each request.
const BODY: &str = "reference 12 of the third chapter";

/// Time within which the fleet must become ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Number of requests sent before a measurement.
const WARM_UP: usize = 500;

/// Flags of the benchmark.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Seconds that each measurement takes.
    #[bpaf(argument("SECONDS"), fallback(5))]
    seconds: u64,
    /// What to measure: added, throughput, slow, brownout, silent; all by default.
    #[bpaf(positional("WHAT"))]
    what: Vec<String>,
}

fn main() -> ExitCode {
    let flags = flags().run();
    let is_selected = |name: &str| flags.what.is_empty() || flags.what.iter().any(|w| w == name);
    let length = Duration::from_secs(flags.seconds);
    if is_selected("added") {
        measure_added(length);
    }
    if is_selected("throughput") {
        measure_throughput(length);
    }
    if is_selected("slow") {
        measure_slow_target(length);
    }
    if is_selected("brownout") {
        measure_brown_out(length);
    }
    if is_selected("silent") {
        measure_unresponsive_connections(length);
    }
    println!("promises broken: {}", Promise::total_broken());
    if Promise::total_broken() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Latency that the request path adds to a direct call. Direct and routed calls alternate, so that
/// noise affects both.
fn measure_added(length: Duration) {
    let fleet = Fleet::start(1, &target_settings(Duration::ZERO));
    let direct = Caller::new(fleet.targets[0].server.addr());
    let routed = Caller::new(fleet.entry.http_addr());
    for _ in 0..WARM_UP {
        direct.send();
        routed.send();
    }
    let (mut direct_tally, mut routed_tally) = (Tally::new(), Tally::new());
    let until = Instant::now() + length;
    while Instant::now() < until {
        direct_tally.time(|| direct.send_raw());
        routed_tally.time(|| routed.send());
    }
    let added = |q| {
        routed_tally
            .quantile(q)
            .saturating_sub(direct_tally.quantile(q))
    };
    println!(
        "added: {} requests, direct p50 {:?} p99 {:?}, routed p50 {:?} p99 {:?}, \
         added p50 {:?} p99 {:?}, not answered {}",
        routed_tally.sent(),
        direct_tally.quantile(0.5),
        direct_tally.quantile(0.99),
        routed_tally.quantile(0.5),
        routed_tally.quantile(0.99),
        added(0.5),
        added(0.99),
        routed_tally.failed
    );
}

/// Requests a second through one entry with 64 connections, closed loop.
fn measure_throughput(length: Duration) {
    const CONNECTIONS: usize = 64;
    let fleet = Fleet::start(10, &target_settings(Duration::ZERO));
    let entry = fleet.entry.http_addr();
    let cpu_before = cpu_time();
    let tally = closed_loop(entry, CONNECTIONS, length);
    let cpu = cpu_time().saturating_sub(cpu_before);
    println!(
        "throughput: {:.0} requests/s with {CONNECTIONS} connections, {:?} of processor time a request \
         (callers and targets included), p50 {:?} p99 {:?}, not answered {}",
        tally.sent() as f64 / length.as_secs_f64(),
        cpu / u32::try_from(tally.sent()).unwrap_or(u32::MAX).max(1),
        tally.quantile(0.5),
        tally.quantile(0.99),
        tally.failed
    );
}

/// Tail latency with one of ten targets ten times slower, open loop.
fn measure_slow_target(length: Duration) {
    const RATE: f64 = 300.0;
    let fleet = Fleet::start(10, &target_settings(Duration::from_millis(10)));
    let entry = fleet.entry.http_addr();
    let healthy = open_loop(entry, RATE, length);
    fleet.targets[0].server.set_fault(TargetFault::Slow);
    let slow = open_loop(entry, RATE, length);
    let runs = fleet.targets[0].server.counts().runs.len() as u64;
    println!(
        "slow: 1 of 10 targets 10x slower at {RATE}/s, p99 {:?} (all sound {:?}), p50 {:?}, \
         {runs} runs there over both halves, not answered {}",
        slow.quantile(0.99),
        healthy.quantile(0.99),
        slow.quantile(0.5),
        slow.failed
    );
}

/// Runs per request while every target is far slower than the deadline.
fn measure_brown_out(length: Duration) {
    const RATE: f64 = 100.0;
    let fleet = Fleet::start(10, &target_settings(Duration::from_millis(1_500)));
    let entry = fleet.entry.http_addr();
    let tally = open_loop(entry, RATE, length);
    let runs = fleet.runs();
    println!(
        "brownout: {} requests at {RATE}/s, {runs} runs, {:.3} runs a request, not answered {}",
        tally.sent(),
        runs as f64 / tally.sent() as f64,
        tally.failed
    );
}

/// Latency when all open connections to companions stop responding halfway through the run.
fn measure_unresponsive_connections(length: Duration) {
    const RATE: f64 = 300.0;
    let fleet = Fleet::start(10, &target_settings(Duration::from_millis(3)));
    let entry = fleet.entry.http_addr();
    let tally = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(length / 2);
            for target in &fleet.targets {
                target
                    .relay
                    .discard_on_open_connections(fakes::relay::Direction::Both);
            }
        });
        open_loop(entry, RATE, length)
    });
    println!(
        "silent: {} requests at {RATE}/s, p50 {:?} p99 {:?} max {:?}, not answered {}",
        tally.sent(),
        tally.quantile(0.5),
        tally.quantile(0.99),
        tally.quantile(1.0),
        tally.failed
    );
}

/// Returns the processor time used by this process.
fn cpu_time() -> Duration {
    /// Length of a clock tick, the kernel's unit of processor time.
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name, in parentheses, may contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.filter_map(|field| field.parse::<u32>().ok()).sum();
    TICK * ticks
}

/// Sends requests back to back over `callers` connections.
fn closed_loop(entry: SocketAddr, callers: usize, length: Duration) -> Tally {
    let mut total = Tally::new();
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..callers)
            .map(|_| {
                scope.spawn(move || {
                    let caller = Caller::new(entry);
                    let mut tally = Tally::new();
                    for _ in 0..WARM_UP / callers {
                        caller.send();
                    }
                    let until = Instant::now() + length;
                    while Instant::now() < until {
                        tally.time(|| caller.send());
                    }
                    tally
                })
            })
            .collect();
        for caller in running {
            total.add(&caller.join().expect("a caller ends"));
        }
    });
    total
}

/// Sends requests at a fixed rate; latencies count from the intended start.
fn open_loop(entry: SocketAddr, rate: f64, length: Duration) -> Tally {
    const CALLERS: u64 = 256;
    let next = AtomicU64::new(0);
    let count = (rate * length.as_secs_f64()) as u64;
    let began = Instant::now();
    let mut total = Tally::new();
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..CALLERS)
            .map(|_| {
                scope.spawn(|| {
                    let caller = Caller::new(entry);
                    let mut tally = Tally::new();
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        if n >= count {
                            return tally;
                        }
                        let due = began + Duration::from_secs_f64(n as f64 / rate);
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        let is_answered = caller.send();
                        tally.record(due.elapsed(), is_answered);
                    }
                })
            })
            .collect();
        for caller in running {
            total.add(&caller.join().expect("a caller ends"));
        }
    });
    total
}

/// Latencies of all requests, and the number that were not answered.
struct Tally {
    micros: Histogram<u64>,
    failed: u64,
}

impl Tally {
    fn new() -> Self {
        Self {
            micros: Histogram::new(3).expect("three digits are valid"),
            failed: 0,
        }
    }

    fn time(&mut self, send: impl FnOnce() -> bool) {
        let began = Instant::now();
        let is_answered = send();
        self.record(began.elapsed(), is_answered);
    }

    fn record(&mut self, took: Duration, is_answered: bool) {
        // The histogram grows as needed, so that recording cannot fail.
        let _ = self.micros.record(took.as_micros() as u64);
        self.failed += u64::from(!is_answered);
    }

    fn add(&mut self, other: &Self) {
        // Both histograms grow as needed, so that adding cannot fail.
        let _ = self.micros.add(&other.micros);
        self.failed += other.failed;
    }

    fn sent(&self) -> u64 {
        self.micros.len()
    }

    fn quantile(&self, q: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(q))
    }
}

/// A caller with one connection.
struct Caller {
    agent: Agent,
    url: String,
}

impl Caller {
    fn new(to: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(10)))
            .build();
        let agent = ports::ip_agent(config);
        let url = format!("http://{to}/check");
        Self { agent, url }
    }

    /// Sends a request; returns true if it was answered and the response is complete.
    fn send(&self) -> bool {
        let Ok(mut response) = self.agent.post(&self.url).send(BODY) else {
            return false;
        };
        let outcome = response.headers().get(header::OUTCOME);
        let is_answered = outcome.is_some_and(|v| v == Outcome::Answered.as_str());
        response.body_mut().read_to_vec().is_ok() && is_answered
    }

    /// Sends a request directly to a target; returns true if the response is complete.
    fn send_raw(&self) -> bool {
        let sent = self.agent.post(&self.url).send(BODY);
        sent.is_ok_and(|mut response| response.body_mut().read_to_vec().is_ok())
    }
}

struct Target {
    server: TargetServer,
    relay: Relay,
    _companion: companion::App,
    _worker: WorkerServer,
}

/// One entry with its targets.
struct Fleet {
    _store: StoreServer,
    entry: entry::App,
    targets: Vec<Target>,
}

impl Fleet {
    fn start(targets: usize, settings: &TargetSettings) -> Self {
        let store = StoreServer::start(Arc::new(SystemClock));
        apply_tables(&store);
        let cfg = EntryCfg {
            entry: "entry-0".into(),
            zone: "viti-suva".into(),
            http_addr: loopback(),
            rpc_addr: loopback(),
            store: store.addr(),
            peers: Vec::new(),
            threads: 256,
        };
        let entry = entry::App::start(cfg, &log()).expect("an entry");
        let addr = entry.cfg().rpc_addr;
        let targets = (0..targets)
            .map(|at| Target::start(at, settings, addr))
            .collect();
        let fleet = Self {
            _store: store,
            entry,
            targets,
        };
        fleet.wait_until_ready();
        fleet
    }

    fn wait_until_ready(&self) {
        let caller = Caller::new(self.entry.http_addr());
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until && self.known_targets() < self.targets.len() {
            std::thread::sleep(Duration::from_millis(100));
        }
        caller.send();
    }

    fn known_targets(&self) -> usize {
        let url = format!("http://{}/v1/status", self.entry.http_addr());
        let response = ureq::get(url).call().ok();
        let status: Option<serde_json::Value> =
            response.and_then(|mut response| response.body_mut().read_json().ok());
        let targets = status.and_then(|status| status["targets"].as_array().map(Vec::len));
        targets.unwrap_or(0)
    }

    fn runs(&self) -> u64 {
        let counts = self.targets.iter().map(|target| target.server.counts());
        let runs = counts.flat_map(|counts| counts.runs.into_values());
        runs.map(u64::from).sum()
    }
}

impl Target {
    fn start(at: usize, settings: &TargetSettings, entry: SocketAddr) -> Self {
        let worker = WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock));
        let server = TargetServer::start(TargetSettings {
            seed: at as u64,
            ..settings.clone()
        });
        let name = format!("runner-{at}");
        let http_addr = free_addr();
        let relay = Relay::start(http_addr);
        let has_relay = matches!(settings.service_time, ServiceTime::Exponential(_));
        let cfg = CompanionCfg {
            target: name.as_str().into(),
            worker: name.as_str().into(),
            incarnation: Incarnation(1),
            zone: "viti-suva".into(),
            rack: "rack-0".into(),
            http_addr,
            // Entries use the relay only where a measurement may interrupt connections.
            announce_http: has_relay.then(|| relay.addr()),
            rpc_addr: loopback(),
            target_addr: server.addr(),
            worker_addr: worker.addr(),
            entries: vec![entry],
            slots: 8,
            connections: 64,
            capacity: Resources::new(64, 250 * 1024, 0),
        };
        let companion = companion::App::start(cfg, &log()).expect("a companion");
        Self {
            server,
            relay,
            _companion: companion,
            _worker: worker,
        }
    }
}

fn target_settings(mean: Duration) -> TargetSettings {
    let service_time = if mean.is_zero() {
        ServiceTime::Fixed(mean)
    } else {
        ServiceTime::Exponential(mean)
    };
    TargetSettings {
        service_time,
        response_bytes: 1_024,
        ..TargetSettings::default()
    }
}

fn apply_tables(store: &StoreServer) {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: ROUTES.into(),
        pools: POOLS.into(),
        author: "benchmark".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };
    let call = StoreCall::Put {
        key: TablesDoc::KEY.into(),
        value: serde_json::to_vec(&doc).expect("tables are JSON").into(),
        expect: Expect::Absent,
        lease: None,
    };
    let store = HttpStore::new(store.addr(), READY_WITHIN);
    store.call(&call).expect("tables applied");
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a free address, so that a relay can be started before the companion it forwards to.
fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind(loopback()).expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn log() -> Logger {
    Logger::root(slog::Discard, o!())
}
