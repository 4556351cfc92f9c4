//! A small desk of real processes on loopback.

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

/// A guard against waiting forever; no verdict depends on it.
pub const PATIENCE: Duration = Duration::from_secs(120);

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

/// The stand-ins, and the processes under test.
pub struct Desk {
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

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Answered,
    RefusedNotRun,
    Unknown,
    /// Nothing was sent: the entry is not there.
    NoEntry,
    /// The connection broke with the request under way.
    CutOff,
}

impl Desk {
    pub fn start(entries: usize, runners: usize, service_time: Duration) -> Self {
        let mut desk = Self {
            store: StoreServer::start(Arc::new(SystemClock)),
            entries: Vec::new(),
            runners: Vec::new(),
        };
        desk.put_tables();
        for _ in 0..entries {
            desk.start_entry();
        }
        for n in 0..runners {
            desk.start_runner(n, service_time);
        }
        desk
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

    /// Starts an entry and returns its number.
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
            .wait_for_line("entry: serves callers on", PATIENCE)
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

    /// Starts a companion in the place of one that has ended.
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

    /// Waits until every entry answers requests.
    pub fn wait_until_serving(&self) {
        for n in 0..self.entries.len() {
            wait_until("an entry serves", || {
                self.send(n, "/style-check", None).0 == Told::Answered
            });
        }
    }

    /// Sends a request through an entry; returns what the caller is told, and the id.
    pub fn send(&self, entry: usize, path: &str, key: Option<&str>) -> (Told, Option<String>) {
        send(self.entries[entry].http, path, key)
    }

    /// Submits a job again and again until it is accepted, through any entry.
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

    /// Returns where a job stands, by the first entry that knows.
    pub fn phase(&self, key: &str) -> Option<JobPhase> {
        let named = JobSelection {
            pool: POOL.into(),
            jobs: vec![JobRef::Key(POOL.into(), key.into())],
        };
        let body = serde_json::to_string(&named).unwrap();
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

    /// Returns the id of the entry that owns the shard, as the store has it.
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

    /// Returns how many tasks run on all workers.
    pub fn running(&self) -> usize {
        let open = |runner: &Runner| {
            let record = runner.worker.record();
            record.runs.iter().filter(|run| run.end.is_none()).count()
        };
        self.runners.iter().map(open).sum()
    }

    /// Returns what the workers' own records show broken.
    pub fn breaches(&self) -> Vec<soak::Breach> {
        let mut account = soak::Account::default();
        for runner in &self.runners {
            let worker = WorkerId::from(runner.name.as_str());
            account.add(&worker, &runner.worker.record());
        }
        account.breaches()
    }

    /// Returns how many tasks finished, over all workers.
    pub fn effects(&self) -> usize {
        let finished = |runner: &Runner| runner.worker.record().effects.len();
        self.runners.iter().map(finished).sum()
    }

    /// Returns the largest number of runs that one request had.
    pub fn most_runs_of_a_request(&self) -> u32 {
        let mut runs: IndexMap<Name, u32> = IndexMap::new();
        for runner in &self.runners {
            for (id, n) in runner.target.counts().runs {
                *runs.entry(id).or_default() += n;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }
}

/// Sends one request over a connection of its own.
pub fn send(entry: SocketAddr, path: &str, key: Option<&str>) -> (Told, Option<String>) {
    let mut resp = match post(entry, path, key, "body") {
        Ok(resp) => resp,
        Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            return (Told::NoEntry, None);
        }
        Err(_) => return (Told::CutOff, None),
    };
    let text = |name| Some(resp.headers().get(name)?.to_str().ok()?.to_owned());
    let (outcome, id) = (text(header::OUTCOME), text(header::REQUEST_ID));
    let is_whole = resp.body_mut().read_to_vec().is_ok();
    let told = match outcome.and_then(|text| text.parse().ok()) {
        _ if !is_whole => Told::CutOff,
        Some(Outcome::Answered) => Told::Answered,
        Some(Outcome::RefusedNotRun) => Told::RefusedNotRun,
        Some(Outcome::Unknown) | None => Told::Unknown,
    };
    (told, id)
}

/// Tells whether an entry says that it is ready.
pub fn is_ready(entry: SocketAddr) -> bool {
    let resp = ureq::get(format!("http://{entry}{}", path::READY)).call();
    resp.is_ok()
}

/// Calls `is_so` until it returns true.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let give_up = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < give_up, "waited in vain until {what}");
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
        .timeout_global(Some(PATIENCE))
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

/// Returns the addresses in a line of the log.
fn addresses(line: &str) -> Vec<SocketAddr> {
    line.split([' ', ','])
        .filter_map(|word| word.parse().ok())
        .collect()
}

/// Returns the companion's program, which a build of the workspace puts beside the other.
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
