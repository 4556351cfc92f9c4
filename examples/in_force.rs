//! Measures how long accepted tables take to become active on every process.
//!
//! Starts a cluster of entries and companions on loopback with requests running, applies changes
//! one after another, and polls each process until it has applied the new generation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};

use base::SystemClock;
use base::prelude::*;
use bpaf::{OptionParser, Parser, construct, long};
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::store::StoreServer;
use fakes::target::{ServiceTime, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use hdrhistogram::Histogram;
use ops::{Applier, Change, EntryPort, HttpEntry, Loaded, TableFiles};
use ports::HttpStore;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, o};
use wire::{Call, CallPort, CallResponse, CallToken, Client, ClientCfg, Component};

/// Time within which tables must become active; the run fails otherwise.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(60);

/// How often the generation of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest pause between two applies, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

/// How many threads send requests.
const CALLERS: usize = 8;

/// The command line.
#[derive(Clone, Debug)]
struct Flags {
    applies: u64,
    entries: usize,
    companions: usize,
    seed: u64,
}

fn flags() -> OptionParser<Flags> {
    let applies = long("applies")
        .help("How many changes to apply")
        .argument::<u64>("COUNT")
        .fallback(200);
    let entries = long("entries")
        .help("How many entries run")
        .argument::<usize>("COUNT")
        .fallback(3);
    let companions = long("companions")
        .help("How many companions run")
        .argument::<usize>("COUNT")
        .fallback(10);
    let seed = long("seed")
        .help("Draws the pauses between applies")
        .argument::<u64>("SEED")
        .fallback(1);
    construct!(Flags {
        applies,
        entries,
        companions,
        seed
    })
    .to_options()
}

/// The processes of a cluster, all running in this process.
struct Cluster {
    store: StoreServer,
    entries: Vec<entry::App>,
    companions: Vec<(TargetServer, WorkerServer, companion::App)>,
    generation_client: GenerationClient,
}

/// Reads the generation of the tables that a companion has applied.
struct GenerationClient {
    _runtime: tokio::runtime::Runtime,
    client: Client,
    generations: Receiver<Generation>,
}

fn main() -> eyre::Result<()> {
    let flags = flags().run();
    let cluster = Cluster::start(&flags)?;
    let loaded = sample_tables()?;
    let mut rng = ChaCha8Rng::seed_from_u64(flags.seed);
    let mut entries = Histogram::<u64>::new(3)?;
    let mut all = Histogram::<u64>::new(3)?;
    apply(&cluster, &loaded, 0)?;
    cluster.wait_until_active(Generation(1), Instant::now())?;
    let (stop, served) = (AtomicBool::new(false), AtomicU64::new(0));
    let addrs = cluster.entries.iter().map(entry::App::http_addr);
    let addrs = addrs.collect::<Vec<_>>();
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| call_until(&addrs, &stop, &served));
        }
        let measured = (1..=flags.applies).try_for_each(|i| {
            std::thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
            let generation = apply(&cluster, &loaded, i)?;
            let accepted = Instant::now();
            let (on_entries, on_all) = cluster.wait_until_active(generation, accepted)?;
            entries.record(on_entries.as_millis() as u64)?;
            all.record(on_all.as_millis() as u64)?;
            Ok::<(), eyre::Report>(())
        });
        stop.store(true, Ordering::Relaxed);
        measured
    })?;
    println!(
        "{} applies, {} entries, {} companions, {:.0} requests/s beside them",
        flags.applies,
        flags.entries,
        flags.companions,
        served.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64()
    );
    print("entries", &entries);
    print("every process", &all);
    println!("broken promises: {}", Promise::total_broken());
    Ok(())
}

fn print(name: &str, times: &Histogram<u64>) {
    println!(
        "accepted -> in force on {name}: p50 {} ms, p99 {} ms, max {} ms",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

fn sample_tables() -> eyre::Result<Loaded> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/vakaloloma");
    let files = TableFiles {
        routes: folder.join("routes.toml"),
        pools: folder.join("pools.toml"),
    };
    Ok(files.load()?)
}

/// Applies the sample tables with a deadline that differs from the previous one.
fn apply(cluster: &Cluster, loaded: &Loaded, i: u64) -> eyre::Result<Generation> {
    let store = HttpStore::new(cluster.store.addr(), CALL_TIMEOUT);
    let deadline = format!("deadline = \"{}ms\"", 2000 + i);
    let change = Change {
        routes: loaded
            .routes
            .text
            .replace("deadline = \"2s\"", &deadline)
            .into(),
        pools: Arc::clone(&loaded.pools.text),
        author: "in_force".into(),
        comment: "".into(),
        nonce: Nonce(rand::random()),
    };
    let applier = Applier::new(&store, &SystemClock, std::thread::sleep);
    let plan = applier.plan(change, None)?;
    Ok(applier.apply(plan)?.generation())
}

/// Sends requests one after another until `stop` is set.
fn call_until(entries: &[SocketAddr], stop: &AtomicBool, served: &AtomicU64) {
    let agent = ureq::Agent::new_with_defaults();
    let mut at = 0;
    while !stop.load(Ordering::Relaxed) {
        at = (at + 1) % entries.len();
        let url = format!("http://{}/style-check", entries[at]);
        if agent.post(url).send("text").is_ok() {
            served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Cluster {
    fn start(flags: &Flags) -> Result<Self> {
        let log = Logger::root(slog::Discard, o!());
        let store = StoreServer::start(Arc::new(SystemClock));
        let entries = (0..flags.entries)
            .map(|i| entry::App::start(entry_cfg(i, store.addr()), &log))
            .collect::<Result<Vec<_>>>()?;
        let addrs = entries.iter().map(|app| app.cfg().rpc_addr);
        let addrs = addrs.collect::<Vec<_>>();
        let companions = (0..flags.companions)
            .map(|i| start_companion(i, &addrs, &log))
            .collect::<Result<Vec<_>>>()?;
        let generation_client = GenerationClient::start();
        Ok(Self {
            store,
            entries,
            companions,
            generation_client,
        })
    }

    /// Returns how long after `accepted` the generation was active on all entries, and on all
    /// processes.
    fn wait_until_active(
        &self,
        generation: Generation,
        accepted: Instant,
    ) -> Result<(Duration, Duration)> {
        for app in &self.entries {
            let entry = HttpEntry::new(app.http_addr(), None);
            wait_until(accepted, || {
                Ok(entry.status()?.entry.generation >= generation)
            })?;
        }
        let on_entries = accepted.elapsed();
        for (_, _, app) in &self.companions {
            let addr = app.cfg().rpc_addr;
            wait_until(accepted, || {
                Ok(self.generation_client.generation(addr) >= generation)
            })?;
        }
        Ok((on_entries, accepted.elapsed()))
    }
}

fn wait_until(began: Instant, mut condition: impl FnMut() -> Result<bool>) -> Result<()> {
    while !condition()? {
        if began.elapsed() > ACTIVATION_TIMEOUT {
            let message = "not in force in time";
            return Err(Error::new(ErrorKind::Timeout, "wait", "process", message));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

impl GenerationClient {
    fn start() -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let (tx, generations) = channel();
        let cfg = ClientCfg {
            runtime: runtime.handle().clone(),
        };
        let client = Client::new(cfg, move |_token, response| {
            let generation = match response {
                Ok(CallResponse::Tables(Some(doc))) => doc.generation,
                _ => Generation(0),
            };
            // Sending fails only at the end of the run, when the receiver is dropped.
            let _ = tx.send(generation);
        });
        Self {
            _runtime: runtime,
            client,
            generations,
        }
    }

    fn generation(&self, addr: SocketAddr) -> Generation {
        let token = CallToken {
            component: Component::Config,
            id: 0,
        };
        self.client.submit(addr, token, CALL_TIMEOUT, Call::Tables);
        self.generations.recv().unwrap_or_default()
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn entry_cfg(i: usize, store: SocketAddr) -> EntryCfg {
    EntryCfg {
        entry: EntryId::new(format!("entry-{i}")),
        zone: ZoneName::from("viti-suva"),
        http_addr: loopback(),
        rpc_addr: loopback(),
        store,
        peers: Vec::new(),
        threads: 16,
    }
}

fn start_companion(
    i: usize,
    entries: &[SocketAddr],
    log: &Logger,
) -> Result<(TargetServer, WorkerServer, companion::App)> {
    let target = TargetServer::start(TargetSettings {
        slots: 8,
        connections: 64,
        service_time: ServiceTime::Exponential(Duration::from_millis(3)),
        response_bytes: 512,
        seed: i as u64,
    });
    let worker = WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock));
    let name = format!("runner-{i}");
    let cfg = CompanionCfg {
        target: name.as_str().into(),
        worker: name.as_str().into(),
        incarnation: Incarnation(rand::random()),
        zone: ZoneName::from("viti-suva"),
        rack: RackName::from("rack-0"),
        http_addr: loopback(),
        announce_http: None,
        rpc_addr: loopback(),
        target_addr: target.addr(),
        worker_addr: worker.addr(),
        entries: entries.to_vec(),
        slots: 8,
        connections: 16,
        capacity: Resources::new(64, 250 * 1024, 0),
    };
    let app = companion::App::start(cfg, log)?;
    Ok((target, worker, app))
}
