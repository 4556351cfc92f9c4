//! Measures the resources that one entry uses as companions, entries and tables grow.
//!
//! The entry runs as a separate process, so that its processor time and memory don't include those
//! of the fake companions, which announce and poll as real ones do.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use base::SystemClock;
use base::prelude::*;
use bpaf::{OptionParser, Parser, construct, long};
use fakes::store::StoreServer;
use ports::HttpStore;
use ports::store::{Expect, Store, StoreCall};
use tables::TablesDoc;
use wire::timing::{ANNOUNCE_EVERY, POLL_WAIT};
use wire::{
    Announcement, Call, CallPort, CallToken, Client, ClientCfg, Component, Poll, TargetState,
    shard_of_pool,
};

/// Clock ticks per second, the unit in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The command line.
#[derive(Clone, Debug)]
struct Flags {
    entry_bin: PathBuf,
    seconds: u64,
}

/// The resources that an entry used during one step.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_percent: f64,
    memory_mib: f64,
    store_reads: f64,
    store_writes: f64,
}

fn flags() -> OptionParser<Flags> {
    let entry_bin = long("entry-bin")
        .help("The monsoontrestle binary")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("target/release/monsoontrestle"));
    let seconds = long("seconds")
        .help("How long each step is measured")
        .argument::<u64>("SECONDS")
        .fallback(8);
    construct!(Flags { entry_bin, seconds }).to_options()
}

fn main() -> eyre::Result<()> {
    let flags = flags().run();
    let duration = Duration::from_secs(flags.seconds);
    println!("companions of one entry (each announces every second and polls):");
    let mut points = Vec::new();
    for companions in [0, 10, 50, 100, 200, 400] {
        let usage = measure(&flags, 1, companions, 10, duration)?;
        print("companions", companions, usage);
        points.push((companions as f64, usage));
    }
    print_slope("companion", &points);
    println!("entries, without companions (cost of the first):");
    let mut points = Vec::new();
    for entries in [1, 2, 4, 8] {
        let usage = measure(&flags, entries, 0, 10, duration)?;
        print("entries", entries, usage);
        points.push((entries as f64, usage));
    }
    print_slope("entry", &points);
    println!("routes in the tables, 10 companions:");
    let mut points = Vec::new();
    for routes in [10, 100, 500] {
        let usage = measure(&flags, 1, 10, routes, duration)?;
        print("routes", routes, usage);
        points.push((routes as f64, usage));
    }
    print_slope("route", &points);
    println!("bytes of messages, without headers:");
    print_messages();
    Ok(())
}

fn print(what: &str, n: usize, usage: Usage) {
    println!(
        "  {n:>4} {what:<10} {:>6.2}% of a core {:>7.1} MiB {:>6.1} reads/s {:>5.2} writes/s",
        usage.cpu_percent, usage.memory_mib, usage.store_reads, usage.store_writes
    );
}

/// Prints the slopes of least-squares lines through the steps.
fn print_slope(what: &str, points: &[(f64, Usage)]) {
    let cpu = slope(points.iter().map(|(x, usage)| (*x, usage.cpu_percent)));
    let memory = slope(points.iter().map(|(x, usage)| (*x, usage.memory_mib)));
    let reads = slope(points.iter().map(|(x, usage)| (*x, usage.store_reads)));
    println!("  slope: {cpu:.4}% of a core, {memory:.4} MiB, {reads:.3} reads/s for each {what}");
}

/// Returns the slope of the least-squares line.
fn slope(points: impl Iterator<Item = (f64, f64)> + Clone) -> f64 {
    let n = points.clone().count() as f64;
    let mean_x = points.clone().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.clone().map(|(_, y)| y).sum::<f64>() / n;
    let covariance = points
        .clone()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>();
    covariance / points.map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>()
}

/// Runs entries and fake companions for a while; returns the resource usage of the first entry.
fn measure(
    flags: &Flags,
    entries: usize,
    companions: usize,
    routes: usize,
    duration: Duration,
) -> eyre::Result<Usage> {
    let store = StoreServer::start(Arc::new(SystemClock));
    put_tables(&store, routes)?;
    let addrs = (0..entries).map(|_| Ok((free_addr()?, free_addr()?)));
    let addrs = addrs.collect::<std::io::Result<Vec<_>>>()?;
    let spawned = addrs
        .iter()
        .map(|at| Process::start(flags, *at, store.addr()));
    let spawned = spawned.collect::<std::io::Result<Vec<_>>>()?;
    std::thread::sleep(SETTLING_TIME);
    let fake_companions = FakeCompanions::start(companions, addrs[0].1);
    std::thread::sleep(SETTLING_TIME);
    let (cpu, counts) = (spawned[0].cpu_seconds()?, store.counts());
    std::thread::sleep(duration);
    let seconds = duration.as_secs_f64();
    let (cpu_after, counts_after) = (spawned[0].cpu_seconds()?, store.counts());
    let usage = Usage {
        cpu_percent: (cpu_after - cpu) / seconds * 100.0,
        memory_mib: spawned[0].memory_mib()?,
        store_reads: (counts_after.reads - counts.reads) as f64 / seconds,
        store_writes: (counts_after.writes - counts.writes) as f64 / seconds,
    };
    fake_companions.stop();
    Ok(usage)
}

fn put_tables(store: &StoreServer, routes: usize) -> Result<()> {
    let mut text = String::new();
    for i in 0..routes {
        text += &format!(
            "[routes.route-{i}]\npath = \"/route-{i}\"\nkind = \"request\"\npool = \"desk\"\n\
             idempotent = true\nobjective = {{ within = \"300ms\", share = 0.99 }}\n"
        );
    }
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: text.into(),
        pools: "[pools.desk]\nworkers = [\"runner-*\"]\n".into(),
        author: "capacity".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };
    let value = serde_json::to_vec(&doc).unwrap_or_default();
    println!("  (tables of {routes} routes: {} bytes)", value.len());
    HttpStore::new(store.addr(), CALL_TIMEOUT).call(&StoreCall::Put {
        key: TablesDoc::KEY.into(),
        value: value.into(),
        expect: Expect::Any,
        lease: None,
    })?;
    Ok(())
}

fn free_addr() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// An entry that runs as a separate process.
struct Process(Mutex<Child>);

impl Process {
    fn start(
        flags: &Flags,
        (http, rpc): (SocketAddr, SocketAddr),
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let child = Command::new(&flags.entry_bin)
            .args(["entry", "--zone=viti-suva"])
            .arg(format!("--http={http}"))
            .arg(format!("--rpc={rpc}"))
            .arg(format!("--store={store}"))
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self(Mutex::new(child)))
    }

    fn read(&self, file: &str) -> std::io::Result<String> {
        let id = self.0.lock().map_or(0, |child| child.id());
        std::fs::read_to_string(format!("/proc/{id}/{file}"))
    }

    /// Returns the processor time used so far, in seconds.
    fn cpu_seconds(&self) -> std::io::Result<f64> {
        let stat = self.read("stat")?;
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        // After the name come the state and ten other fields, then user and system time.
        let ticks = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok());
        Ok(ticks.sum::<f64>() / TICKS_PER_SECOND)
    }

    fn memory_mib(&self) -> std::io::Result<f64> {
        let status = self.read("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        Ok(kib.unwrap_or(0.0) / 1024.0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Ok(mut child) = self.0.lock() {
            // Killing fails only if the process has already exited.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Companions that announce and poll, and do nothing else.
struct FakeCompanions {
    runtime: tokio::runtime::Runtime,
    stop: Arc<std::sync::atomic::AtomicBool>,
}

impl FakeCompanions {
    fn start(count: usize, entry: SocketAddr) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        for i in 0..count {
            let cfg = ClientCfg {
                runtime: runtime.handle().clone(),
            };
            let stop = Arc::clone(&stop);
            let client = Client::new(cfg, |_token, _response| {});
            runtime.spawn(async move {
                let mut sequence = 0;
                let offset = ANNOUNCE_EVERY.mul_f64(i as f64 / count as f64);
                tokio::time::sleep(offset).await;
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    sequence += 1;
                    send(
                        &client,
                        entry,
                        Call::Announce(Box::new(announcement(i, sequence))),
                    );
                    send(&client, entry, Call::Poll(Box::new(poll(i, sequence))));
                    tokio::time::sleep(ANNOUNCE_EVERY).await;
                }
            });
        }
        Self { runtime, stop }
    }

    fn stop(self) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.runtime.shutdown_background();
    }
}

fn send(client: &Client, to: SocketAddr, call: Call) {
    let token = CallToken {
        component: Component::Member,
        id: 0,
    };
    client.submit(to, token, CALL_TIMEOUT, call);
}

fn announcement(i: usize, sequence: u64) -> Announcement {
    let name = format!("runner-{i}");
    Announcement {
        target: name.as_str().into(),
        worker: name.as_str().into(),
        incarnation: Incarnation(1),
        uptime: Duration::ZERO,
        sequence,
        zone: ZoneName::from("viti-suva"),
        rack: RackName::from("rack-0"),
        http_addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        rpc_addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        slots: 8,
        connections: 64,
        capacity: Resources::new(64, 250 * 1024, 0),
        state: TargetState::Serving,
        in_flight: 0,
        generation: Generation(1),
    }
}

fn poll(i: usize, sequence: u64) -> Poll {
    Poll {
        worker: WorkerId::new(format!("runner-{i}")),
        incarnation: Incarnation(1),
        shard: shard_of_pool(&PoolName::from("desk")),
        nonce: Nonce(sequence),
        wait: POLL_WAIT,
        capacity: Resources::new(64, 250 * 1024, 0),
        zone: ZoneName::from("viti-suva"),
        rack: RackName::from("rack-0"),
        leaving: false,
        running: Vec::new(),
        samples: Vec::new(),
    }
}

fn print_messages() {
    let len = |bytes: serde_json::Result<Vec<u8>>| bytes.map_or(0, |bytes| bytes.len());
    println!(
        "  announcement {}",
        len(serde_json::to_vec(&announcement(1, 1)))
    );
    println!(
        "  poll of an idle worker {}",
        len(serde_json::to_vec(&poll(1, 1)))
    );
}
