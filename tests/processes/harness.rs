//! Test harness: a cluster of real entry and companion processes on loopback, with fakes for the
//! store, the targets and the workers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use base::SystemClock;
use base::prelude::*;
use fakes::process::Process;
use fakes::store::StoreServer;
use fakes::target::{ServiceTime, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use ports::store::{Expect, StoreCall, StoreReply};
use tables::TablesDoc;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};
use wire::operator::{JobSelection, path};
use wire::{JobPhase, JobRef, JobStatus, Outcome, header};

/// Bounds every wait; no assertion depends on its length.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

pub const POOL: &str = "manuscript-desk";

const POOLS: &str = r#"
[pools.manuscript-desk]
workers = ["runner-*"]
preset = "manuscript"
outage-grace = "10m"
"#;

const ROUTES: &str = r#"
[routes.style-check]
path = "/style-check"
kind = "request"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "editors"
idempotent = true
deadline = "30s"

[routes.settle]
path = "/settle"
kind = "request"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "editors"
deadline = "30s"

[routes.proof]
path = "/proof"
kind = "batch"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "editors"
resources = { cores = 4, memory = "1GiB" }
run-time = "4s"
"#;

/// The fakes and the processes under test.
pub struct Cluster {
    pub store: StoreServer,
    pub entries: Vec<Entry>,
    pub runners: Vec<Runner>,
}

/// An entry process.
pub struct Entry {
    pub process: Process,
    pub http: SocketAddr,
    pub rpc: SocketAddr,
}

/// A target and a worker with their companion process.
pub struct Runner {
    pub name: String,
    pub target: TargetServer,
    pub worker: WorkerServer,
    pub companion: Process,
}

/// The outcome of a request as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    Answered,
    RefusedNotRun,
    Unknown,
    /// The entry refused the connection, so nothing was sent.
    NoEntry,
    /// The connection broke, or the response was incomplete.
    CutOff,
}

impl Cluster {
    pub fn start(entries: usize, runners: usize, service_time: Duration) -> Self {
        let mut cluster = Self {
            store: StoreServer::start(Arc::new(SystemClock)),
            entries: Vec::new(),
            runners: Vec::new(),
        };
        cluster.put_tables();
        for _ in 0..entries {
            cluster.start_entry();
        }
        for n in 0..runners {
            cluster.start_runner(n, service_time);
        }
        cluster
    }

    fn put_tables(&self) {
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
        doc.tables().expect("valid tables");
        let put = StoreCall::Put {
            key: TablesDoc::KEY.into(),
            value: serde_json::to_vec(&doc).unwrap().into(),
            expect: Expect::Absent,
            lease: None,
        };
        self.store.call(&put).unwrap();
    }

    /// Starts an entry and returns its index in `entries`.
    pub fn start_entry(&mut self) -> usize {
        let n = self.entries.len();
        let mut args = vec!["entry".to_owned()];
        args.extend(arg("--name", format!("entry-{n}")));
        args.extend(arg("--zone", "viti-suva"));
        args.extend(arg("--http", "127.0.0.1:0"));
        args.extend(arg("--rpc", "127.0.0.1:0"));
        args.extend(arg("--store", self.store.addr()));
        for peer in &self.entries {
            args.extend(arg("--peer", peer.rpc));
        }
        let process = Process::start(
            &format!("entry-{n}"),
            Path::new(env!("CARGO_BIN_EXE_monsoontrestle")),
            &args,
        );
        let line = process
            .wait_for_line("entry: serves callers on", WAIT_TIMEOUT)
            .unwrap_or_else(|| panic!("entry-{n} did not start: {}", process.output()));
        let addrs = addresses(&line);
        self.entries.push(Entry {
            process,
            http: addrs[0],
            rpc: addrs[1],
        });
        n
    }

    fn start_runner(&mut self, n: usize, service_time: Duration) {
        let target = TargetServer::start(TargetSettings {
            service_time: ServiceTime::Fixed(service_time),
            ..TargetSettings::default()
        });
        let worker = WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock));
        let name = format!("runner-{n}");
        let companion = self.start_companion(&name, target.addr(), worker.addr());
        self.runners.push(Runner {
            name,
            target,
            worker,
            companion,
        });
    }

    /// Starts a new companion for a runner whose companion has exited.
    pub fn restart_companion(&mut self, n: usize) {
        let runner = &self.runners[n];
        let (target, worker) = (runner.target.addr(), runner.worker.addr());
        self.runners[n].companion = self.start_companion(&runner.name, target, worker);
    }

    fn start_companion(&self, name: &str, target: SocketAddr, worker: SocketAddr) -> Process {
        let mut args = Vec::new();
        args.extend(arg("--target", name));
        args.extend(arg("--zone", "viti-suva"));
        args.extend(arg("--rack", "rack-0"));
        args.extend(arg("--http", "127.0.0.1:0"));
        args.extend(arg("--rpc", "127.0.0.1:0"));
        args.extend(arg("--target-addr", target));
        args.extend(arg("--worker-addr", worker));
        for entry in &self.entries {
            args.extend(arg("--entry", entry.rpc));
        }
        Process::start(name, &companion_path(), &args)
    }

    /// Waits until a request through each entry succeeds.
    pub fn wait_until_serving(&self) {
        for n in 0..self.entries.len() {
            wait_until("an entry serves", || {
                self.send(n, "/style-check", None).0 == CallerOutcome::Answered
            });
        }
    }

    /// Sends a request through an entry and returns its outcome and request id.
    pub fn send(
        &self,
        entry: usize,
        path: &str,
        key: Option<&str>,
    ) -> (CallerOutcome, Option<String>) {
        send(self.entries[entry].http, path, key)
    }

    /// Submits a job through any entry, retrying until it is accepted.
    pub fn submit(&self, key: &str) {
        wait_until("a job is accepted", || {
            self.entries.iter().any(|entry| {
                let sent = post(entry.http, "/proof", Some(key), "");
                sent.is_ok_and(|resp| {
                    [StatusCode::OK, StatusCode::CREATED].contains(&resp.status())
                })
            })
        });
    }

    /// Returns the phase of a job from the first entry that knows it.
    pub fn phase(&self, key: &str) -> Option<JobPhase> {
        let selection = JobSelection {
            pool: POOL.into(),
            jobs: vec![JobRef::Key(POOL.into(), key.into())],
        };
        let body = serde_json::to_string(&selection).unwrap();
        self.entries.iter().find_map(|entry| {
            let mut resp = post(entry.http, path::JOBS_QUERY, None, &body).ok()?;
            let statuses: Vec<JobStatus> = resp.body_mut().read_json().ok()?;
            statuses.into_iter().next().map(|status| status.phase)
        })
    }

    /// Waits until a job is finished.
    pub fn wait_until_finished(&self, key: &str) {
        wait_until("a job finishes", || {
            self.phase(key) == Some(JobPhase::Finished)
        });
    }

    /// Returns the index of the entry that owns the shard according to the store.
    pub fn owner(&self) -> Option<usize> {
        let list = StoreCall::List {
            prefix: journal::Keys::OWNERS.into(),
            after: None,
            limit: 1,
        };
        let Ok(StoreReply::Listed(found)) = self.store.call(&list) else {
            return None;
        };
        let owner = journal::OwnerValue::decode(&found.first()?.value)?;
        self.entries
            .iter()
            .position(|entry| entry.rpc == owner.rpc_addr)
    }

    /// Waits until some entry owns the shard.
    pub fn wait_for_owner(&self) -> usize {
        wait_until("a shard is owned", || self.owner().is_some());
        self.owner().expect("an owner")
    }

    /// Returns the number of tasks running on all workers.
    pub fn running(&self) -> usize {
        let running = |runner: &Runner| {
            let record = runner.worker.record();
            record.runs.iter().filter(|run| run.end.is_none()).count()
        };
        self.runners.iter().map(running).sum()
    }

    /// Returns the violations found in the workers' own records.
    pub fn breaches(&self) -> Vec<soak::Violation> {
        let mut audit = soak::RunAudit::default();
        for runner in &self.runners {
            let worker = WorkerId::from(runner.name.as_str());
            audit.add(&worker, &runner.worker.record());
        }
        audit.violations()
    }

    /// Returns the number of tasks finished on all workers.
    pub fn effects(&self) -> usize {
        let finished = |runner: &Runner| runner.worker.record().effects.len();
        self.runners.iter().map(finished).sum()
    }

    /// Returns the highest number of times that any one request ran.
    pub fn max_runs_per_request(&self) -> u32 {
        let mut runs: IndexMap<Name, u32> = IndexMap::new();
        for runner in &self.runners {
            for (id, n) in runner.target.counts().runs {
                *runs.entry(id).or_default() += n;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }
}

/// Sends one request over a new connection and returns its outcome and request id.
pub fn send(entry: SocketAddr, path: &str, key: Option<&str>) -> (CallerOutcome, Option<String>) {
    let mut resp = match post(entry, path, key, "body") {
        Ok(resp) => resp,
        Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return (CallerOutcome::NoEntry, None);
        }
        Err(_) => return (CallerOutcome::CutOff, None),
    };
    let text = |name| Some(resp.headers().get(name)?.to_str().ok()?.to_owned());
    let (value, id) = (text(header::OUTCOME), text(header::REQUEST_ID));
    let is_whole = resp.body_mut().read_to_vec().is_ok();
    let outcome = match value.and_then(|text| text.parse().ok()) {
        _ if !is_whole => CallerOutcome::CutOff,
        Some(Outcome::Answered) => CallerOutcome::Answered,
        Some(Outcome::RefusedNotRun) => CallerOutcome::RefusedNotRun,
        Some(Outcome::Unknown) | None => CallerOutcome::Unknown,
    };
    (outcome, id)
}

/// Returns true if the readiness check of an entry succeeds.
pub fn is_ready(entry: SocketAddr) -> bool {
    let resp = ureq::get(format!("http://{entry}{}", path::READY)).call();
    resp.is_ok()
}

/// Polls `condition` until it returns true; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn post(
    entry: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<Response<Body>, ureq::Error> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .into();
    let req = agent.post(format!("http://{entry}{path}"));
    let req = match key {
        Some(key) => req.header(header::IDEMPOTENCY_KEY, key),
        None => req,
    };
    req.send(body)
}

fn arg(name: &str, value: impl ToString) -> [String; 2] {
    [name.to_owned(), value.to_string()]
}

/// Returns the socket addresses in a log line.
fn addresses(line: &str) -> Vec<SocketAddr> {
    line.split([' ', ','])
        .filter_map(|word| word.parse().ok())
        .collect()
}

/// Returns the path of the companion binary, which a workspace build puts beside the main binary.
fn companion_path() -> PathBuf {
    let path =
        Path::new(env!("CARGO_BIN_EXE_monsoontrestle")).with_file_name("monsoontrestle-companion");
    assert!(
        path.exists(),
        "build the workspace first: no {}",
        path.display()
    );
    path
}
