//! The simulated fleet: three entries and ten workers, in racks of three over three zones.

use base::prelude::*;
use companion::CompanionCfg;
use entry::EntryCfg;
use ports::store::{Expect, StoreCall};
use tables::TablesDoc;

use crate::ports::ProcId;
use crate::process::{Proc, Program, http_addr, rpc_addr};
use crate::simulation::{CallerAction, SimEvent, Simulation};
use crate::vm::{CAPACITY, Vm};

/// The number of entries.
pub(crate) const ENTRIES: usize = 3;

/// The number of workers.
const WORKERS: usize = 10;

/// The number of workers in a rack.
const RACK_SIZE: usize = 3;

/// The process number in the address of the store, which is not a simulated process.
const STORE_ADDR_NUMBER: ProcId = 255;

/// The pool of all jobs.
pub(crate) const POOL: &str = "manuscript-desk";

const ZONES: [&str; 3] = ["viti-suva", "vanua-labasa", "viti-nadi"];

const ROUTES: &str = r#"
[routes.style-check]
path = "/style-check"
kind = "request"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "editors"
idempotent = true
deadline = "2s"

[routes.settle]
path = "/settle"
kind = "request"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "editors"
deadline = "5s"

[routes.proof]
path = "/proof"
kind = "batch"
pool = "manuscript-desk"
desk = "vakaloloma"
team = "proofs"
resources = { cores = 4, memory = "8GiB" }
run-time = "1m"
"#;

impl Simulation {
    /// Sets up the fleet and the first tables, and starts all processes.
    pub(crate) fn set_up_fleet(&mut self) {
        self.put_first_tables();
        for n in 0..ENTRIES {
            self.add_entry(n);
        }
        for n in 0..WORKERS {
            self.add_worker(n);
        }
        for proc in 0..self.procs.len() {
            self.start(proc);
        }
        for caller in [
            CallerAction::NewJob,
            CallerAction::NewRequest,
            CallerAction::PollJobs,
            CallerAction::PollTables,
        ] {
            self.after(Duration::from_secs(3), SimEvent::Caller(caller));
        }
    }

    fn add_entry(&mut self, n: usize) {
        let proc: ProcId = self.procs.len();
        let program = Program::Entry(EntryCfg {
            entry: EntryId::from(""),
            zone: ZONES[n % ZONES.len()].into(),
            http_addr: http_addr(proc),
            rpc_addr: rpc_addr(proc),
            store: rpc_addr(STORE_ADDR_NUMBER),
            peers: (0..ENTRIES).filter(|&p| p != proc).map(rpc_addr).collect(),
            threads: 1,
        });
        self.procs
            .push(Proc::new(proc, format!("entry-{n}").into(), program));
    }

    fn add_worker(&mut self, n: usize) {
        let proc: ProcId = self.procs.len();
        let rack = RackName::from(format!("rack-{}", n / RACK_SIZE));
        let zone = ZoneName::from(ZONES[(n / RACK_SIZE) % ZONES.len()]);
        let name = format!("runner-{n}");
        let program = Program::Companion(CompanionCfg {
            target: name.as_str().into(),
            worker: name.as_str().into(),
            incarnation: Incarnation(0),
            zone: zone.clone(),
            rack: rack.clone(),
            http_addr: http_addr(proc),
            announce_http: None,
            rpc_addr: rpc_addr(proc),
            target_addr: http_addr(proc),
            worker_addr: http_addr(proc),
            entries: (0..ENTRIES).map(rpc_addr).collect(),
            slots: 8,
            connections: 64,
            capacity: CAPACITY,
        });
        let vm = Vm::new(name.as_str().into(), rack, zone, proc, self.now());
        self.procs.push(Proc::new(proc, name.into(), program));
        self.vms.push(vm);
    }

    fn put_first_tables(&mut self) {
        let call = put_tables(&tables_doc(1, 0, 0), Expect::Absent);
        let now = self.now();
        self.store
            .apply(now, &call)
            .expect("the store takes the first tables");
    }
}

/// Returns the tables of a generation; generations differ only in a comment.
pub(crate) fn tables_doc(generation: u64, author: u32, nonce: u64) -> TablesDoc {
    let pools = format!(
        r#"
[pools.{POOL}]
workers = ["runner-*"]
preset = "manuscript"
outage-grace = "90s"
evictions-per-hour = 60
# edit {generation}

[pools.{POOL}.teams]
editors = 0.3
proofs = 0.7
"#
    );
    TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(generation),
        routes: ROUTES.into(),
        pools: pools.into(),
        author: format!("operator-{author}").into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(nonce),
    }
}

/// Returns the store call that writes the current tables.
pub(crate) fn put_tables(doc: &TablesDoc, expect: Expect) -> StoreCall {
    StoreCall::Put {
        key: TablesDoc::KEY.into(),
        value: serde_json::to_vec(doc)
            .expect("tables can be encoded")
            .into(),
        expect,
        lease: None,
    }
}
