//! Test harness: a cluster of entries, companions and targets on loopback.

use std::net::{SocketAddr, TcpListener};

use base::SystemClock;
use base::prelude::*;
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::relay::Relay;
use fakes::store::StoreServer;
use fakes::target::{ServiceTime, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use ports::HttpStore;
use ports::store::{Expect, Store, StoreCall};
use slog::{Logger, o};
use tables::TablesDoc;
use ureq::Agent;
use wire::{Outcome, header};

/// Bounds every wait; no assertion depends on its length.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const ROUTES: &str = r#"
    [routes.check]
    path = "/check"
    kind = "request"
    pool = "runners"
    idempotent = true
    max-body = "16MiB"
    deadline = "20s"

    [routes.settle]
    path = "/settle"
    kind = "request"
    pool = "runners"
    deadline = "20s"
"#;

const POOLS: &str = r#"
    [pools.runners]
    workers = ["runner-*"]
"#;

/// The response that a caller receives.
#[derive(Debug)]
pub struct CallerResponse {
    pub outcome: Outcome,
    pub reason: String,
    pub body: Vec<u8>,
}

/// A target with its companion, which entries reach through a relay.
pub struct Vm {
    pub target: TargetServer,
    pub relay: Relay,
    pub companion: Option<companion::App>,
    _worker: WorkerServer,
}

/// A running cluster; every entry knows all targets.
pub struct Cluster {
    pub store: StoreServer,
    pub entries: Vec<entry::App>,
    pub vms: Vec<Vm>,
}

impl Cluster {
    pub fn start(entries: usize, targets: usize, settings: &TargetSettings) -> Self {
        let store = StoreServer::start(Arc::new(SystemClock));
        apply_tables(&store);
        let mut cluster = Self {
            store,
            entries: Vec::new(),
            vms: Vec::new(),
        };
        for _ in 0..entries {
            cluster.add_entry();
        }
        let addrs = cluster.rpc_addrs();
        cluster.vms = (0..targets)
            .map(|at| Vm::start(at, settings, &addrs))
            .collect();
        for at in 0..entries {
            cluster.wait_for_targets(at, targets);
        }
        cluster
    }

    /// Starts one more entry, which is not in the configuration of any companion.
    pub fn add_entry(&mut self) {
        let cfg = EntryCfg {
            entry: EntryId::new(format!("entry-{}", self.entries.len())),
            zone: "viti-suva".into(),
            http_addr: loopback(),
            rpc_addr: loopback(),
            store: self.store.addr(),
            peers: self.rpc_addrs(),
            threads: 16,
        };
        self.entries
            .push(entry::App::start(cfg, &log()).expect("entry"));
    }

    fn rpc_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.cfg().rpc_addr).collect()
    }

    fn wait_for_targets(&self, entry: usize, targets: usize) {
        wait_until(|| self.targets_of(entry).len() == targets);
    }

    /// Returns the targets to which an entry sends new requests.
    pub fn targets_of(&self, entry: usize) -> Vec<String> {
        let status = self.get(entry, "/v1/status");
        let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets
            .iter()
            .filter(|target| target["state"] == "Serving")
            .filter_map(|target| target["target"].as_str().map(str::to_owned))
            .collect()
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        self.get(entry, "/v1/health/ready") == "ready\n"
    }

    fn get(&self, entry: usize, path: &str) -> String {
        let url = format!("http://{}{path}", self.entries[entry].http_addr());
        let body = agent().get(url).call().ok();
        body.and_then(|mut response| response.body_mut().read_to_string().ok())
            .unwrap_or_default()
    }

    /// Sends a request to an entry.
    pub fn send(&self, entry: usize, path: &str, key: Option<&str>, body: &[u8]) -> CallerResponse {
        send(self.entries[entry].http_addr(), path, key, body)
    }

    /// Returns the number of runs of each request on all targets.
    pub fn runs(&self) -> Vec<u32> {
        let counts = self.vms.iter().map(|vm| vm.target.counts());
        counts
            .flat_map(|counts| counts.runs.into_values())
            .collect()
    }
}

impl Vm {
    fn start(at: usize, settings: &TargetSettings, entries: &[SocketAddr]) -> Self {
        let worker = WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock));
        let target = TargetServer::start(settings.clone());
        let http_addr = free_addr();
        let relay = Relay::start(http_addr);
        let name = format!("runner-{at}");
        let cfg = CompanionCfg {
            target: name.as_str().into(),
            worker: name.as_str().into(),
            incarnation: Incarnation(1),
            zone: "viti-suva".into(),
            rack: "rack-0".into(),
            http_addr,
            announce_http: Some(relay.addr()),
            rpc_addr: loopback(),
            target_addr: target.addr(),
            worker_addr: worker.addr(),
            entries: entries.to_vec(),
            slots: 8,
            connections: 64,
            capacity: Resources::new(64, 250 * 1024, 0),
        };
        let companion = Some(companion::App::start(cfg, &log()).expect("companion"));
        Self {
            target,
            relay,
            companion,
            _worker: worker,
        }
    }
}

fn apply_tables(store: &StoreServer) {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: ROUTES.into(),
        pools: POOLS.into(),
        author: "test".into(),
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
    let store = HttpStore::new(store.addr(), WAIT_TIMEOUT);
    store.call(&call).expect("tables applied");
}

pub fn send(entry: SocketAddr, path: &str, key: Option<&str>, body: &[u8]) -> CallerResponse {
    let req = agent().post(format!("http://{entry}{path}"));
    let req = match key {
        Some(key) => req.header(header::IDEMPOTENCY_KEY, key),
        None => req,
    };
    let mut response = req.send(body).expect("a response of the entry");
    let text = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let outcome = text(header::OUTCOME).parse().expect("an outcome");
    let reason = text(header::REASON);
    let body = response
        .body_mut()
        .with_config()
        .limit(64 * 1024 * 1024)
        .read_to_vec()
        .expect("a complete body");
    CallerResponse {
        outcome,
        reason,
        body,
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .new_agent()
}

pub fn settings(service_time: Duration, response_bytes: usize) -> TargetSettings {
    TargetSettings {
        service_time: ServiceTime::Fixed(service_time),
        response_bytes,
        ..TargetSettings::default()
    }
}

pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a free address, so that a relay can be started before the companion it forwards to.
fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn log() -> Logger {
    Logger::root(slog::Discard, o!())
}
