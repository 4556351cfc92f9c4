//! A fleet of entries and workers with their store, all in this process.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use base::SystemClock;
use base::prelude::*;
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::store::{StoreCounts, StoreServer};
use fakes::worker::{Run, WorkerServer, WorkerSettings};
use journal::{Keys, OwnerValue};
use ports::store::{Expect, StoreCall, StoreReply};
use slog::{Discard, Logger, o};
use tables::TablesDoc;

const ENTRIES: usize = 3;
const WORKERS: usize = 10;
const ENTRY_THREADS: usize = 64;

/// Capacity of a worker, so large that the store limits the starts and not the workers.
const UNLIMITED: Resources = Resources::new(64_000, 250 * 1_024, 0);

/// Response time of the store.
const STORE_DELAY: Duration = Duration::from_millis(3);

/// Time within which the fleet must become ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

const ROUTES: &str = r#"
[routes.step]
path = "/step"
kind = "batch"
pool = "steps"
desk = "vakaloloma"
team = "press"
resources = { cores = 1, memory = "1GiB" }
run-time = "1s"
"#;

const POOLS: &str = r#"
[pools.steps]
workers = ["runner-*"]
zones = ["viti-suva"]
outage-grace = "10m"
[pools.steps.teams]
press = 1.0
"#;

/// The fleet under measurement.
pub(crate) struct Fleet {
    store: StoreServer,
    entries: Mutex<Vec<Option<entry::App>>>,
    companions: Vec<companion::App>,
    workers: Vec<WorkerServer>,
}

impl Fleet {
    /// Starts the fleet on a store that accepts `writes` writes per second.
    pub(crate) fn start(writes: f64) -> Result<Self> {
        let store = StoreServer::start(Arc::new(SystemClock));
        apply_tables(&store)?;
        store.faults().set_delay(STORE_DELAY);
        store.faults().set_rates(Some(writes), Some(2_000.0));
        let entries = (0..ENTRIES)
            .map(|at| start_entry(at, store.addr()))
            .collect::<Result<Vec<_>>>()?;
        let rpc_addrs: Vec<SocketAddr> = entries.iter().map(|app| app.cfg().rpc_addr).collect();
        let workers: Vec<WorkerServer> = (0..WORKERS)
            .map(|_| WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock)))
            .collect();
        let companions = workers
            .iter()
            .enumerate()
            .map(|(at, worker)| start_companion(at, worker.addr(), &rpc_addrs))
            .collect::<Result<Vec<_>>>()?;
        let fleet = Self {
            store,
            entries: Mutex::new(entries.into_iter().map(Some).collect()),
            companions,
            workers,
        };
        fleet.wait_for_owner()?;
        Ok(fleet)
    }

    fn wait_for_owner(&self) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        while self.owner().is_none() {
            if Instant::now() >= until {
                let message = "not ready in time";
                return Err(Error::new(
                    ErrorKind::Timeout,
                    "wait for owner",
                    "store",
                    message,
                ));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns the owner of the shard according to the store.
    fn owner(&self) -> Option<OwnerValue> {
        let reply = self.store.call(&StoreCall::List {
            prefix: Keys::OWNERS.into(),
            after: None,
            limit: 1,
        });
        let Ok(StoreReply::Listed(found)) = reply else {
            return None;
        };
        let value = OwnerValue::decode(&found.first()?.value)?;
        (value.epoch > Epoch(0)).then_some(value)
    }

    pub(crate) fn entry_addrs(&self) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .iter()
            .flatten()
            .map(entry::App::http_addr)
            .collect()
    }

    pub(crate) fn store_counts(&self) -> StoreCounts {
        self.store.counts()
    }

    /// Returns the number of tasks started from `from` up to `to`.
    pub(crate) fn starts(&self, from: Instant, to: Instant) -> usize {
        let starts = |worker: &WorkerServer| {
            let runs = worker.record().runs;
            runs.iter()
                .filter(|run| (from..to).contains(&run.start))
                .count()
        };
        self.workers.iter().map(starts).sum()
    }

    /// Kills the owner; returns the time of the kill and the owner's epoch.
    pub(crate) fn kill_owner(&self) -> Result<(Instant, Epoch)> {
        let (owner, epoch) = match self.owner() {
            Some(value) => (Some(value.entry), value.epoch),
            None => (None, Epoch(0)),
        };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let app = entries
            .iter_mut()
            .find_map(|app| app.take_if(|app| Some(&app.cfg().entry) == owner.as_ref()));
        drop(entries);
        let app = app.ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                "kill owner",
                "entries",
                "no entry owns the shard",
            )
        })?;
        app.kill();
        Ok((Instant::now(), epoch))
    }

    /// Waits for the first start of a job that was accepted in a later epoch; returns `None` after
    /// `within`.
    pub(crate) fn first_start_after(
        &self,
        (at, epoch): (Instant, Epoch),
        within: Duration,
    ) -> Option<Instant> {
        while at.elapsed() < within {
            let runs = self.workers.iter().flat_map(|worker| worker.record().runs);
            let is_new = |run: &Run| epoch_of(&run.key.job) > Some(epoch);
            let first = runs.filter(is_new).map(|run| run.start).min();
            if first.is_some() {
                return first;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the number of jobs that took effect more than once.
    pub(crate) fn duplicate_effects(&self) -> usize {
        let mut effects: IndexMap<JobId, usize> = IndexMap::new();
        for effect in self
            .workers
            .iter()
            .flat_map(|worker| worker.record().effects)
        {
            *effects.entry(effect.key.job).or_default() += 1;
        }
        effects.values().filter(|count| **count > 1).count()
    }

    pub(crate) fn stop(self) {
        self.companions.into_iter().for_each(companion::App::kill);
        let entries = self
            .entries
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        entries.into_iter().flatten().for_each(entry::App::kill);
    }
}

fn apply_tables(store: &StoreServer) -> Result<()> {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: ROUTES.into(),
        pools: POOLS.into(),
        author: "batch".into(),
        applied_at_ms: 0,
        comment: "measurement".into(),
        nonce: Nonce(1),
    };
    store.call(&StoreCall::Put {
        key: TablesDoc::KEY.into(),
        value: serde_json::to_vec(&doc).unwrap_or_default().into(),
        expect: Expect::Absent,
        lease: None,
    })?;
    Ok(())
}

fn start_entry(at: usize, store: SocketAddr) -> Result<entry::App> {
    let cfg = EntryCfg {
        entry: EntryId::new(format!("entry-{at}-{:08x}", rand::random::<u32>())),
        zone: "viti-suva".into(),
        http_addr: loopback(),
        rpc_addr: loopback(),
        store,
        peers: Vec::new(),
        threads: ENTRY_THREADS,
    };
    entry::App::start(cfg, &Logger::root(Discard, o!()))
}

fn start_companion(
    at: usize,
    worker: SocketAddr,
    entries: &[SocketAddr],
) -> Result<companion::App> {
    let name = format!("runner-{at}");
    let cfg = CompanionCfg {
        target: name.as_str().into(),
        worker: name.as_str().into(),
        incarnation: Incarnation(rand::random()),
        zone: "viti-suva".into(),
        rack: format!("rack-{}", at / 3).into(),
        http_addr: loopback(),
        announce_http: None,
        rpc_addr: loopback(),
        target_addr: worker,
        worker_addr: worker,
        entries: entries.to_vec(),
        slots: 8,
        connections: 64,
        capacity: UNLIMITED,
    };
    companion::App::start(cfg, &Logger::root(Discard, o!()))
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the epoch in which a job was accepted, which is part of its id.
fn epoch_of(job: &JobId) -> Option<Epoch> {
    let part = job.as_str().split('-').nth(1)?;
    part.parse().ok().map(Epoch)
}
