//! A play in virtual time: jobs, failures of links and machines, and the check of every run.

mod checks;
mod trouble;

use base::prelude::*;
use controller::{Event, OwnerRecord};
use fakes::store::MemStore;
use host::KeyUpdate;
use jobs::owner::{OWNER_KEY, Replacement};
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest, TaskId};
use parking_lot::Mutex;
use ports::store::{KeyValue, StoreCall, StoreReply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::Responder;

use crate::entry::{Entry, Output};
use crate::network::{Network, Site};
use crate::vm::Vm;

const STEP: Duration = Duration::from_millis(20);

/// How long links and machines fail, and how long the jobs then have to complete.
const TROUBLE: Duration = Duration::from_secs(30);
const HEALED: Duration = Duration::from_secs(45);

const ENTRIES: usize = 3;
const VMS: usize = 6;
const CORES: u64 = 4;
const STORE: Site = 0;
const FIRST_VM: Site = 1 + ENTRIES;

/// How often each machine reads the owner's key, and how long it waits for the reply to a call.
const READ_EVERY: Duration = Duration::from_millis(200);
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

enum Message {
    Store(usize, u64, StoreCall),
    StoreReply(usize, u64, Result<StoreReply>),
    ReadKey(Site, u64),
    KeyRead(Site, u64, Option<KeyValue>),
    KeyUnread(Site, u64),
    Sync(usize, usize, Box<SyncReport>),
    SyncReply(usize, (u64, u64), Option<SyncReply>),
    Forward(usize, JobRequest, Responder<JobReply>),
    Replaced(usize, Replacement),
}

pub struct Play {
    seed: u64,
    rng: SmallRng,
    now: Duration,
    base: Instant,
    store: MemStore,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    network: Network<Message>,
    calls: u64,
    /// The reads of the owner's key without a reply.
    key_reads: IndexSet<u64>,
    next_key_read: Duration,
    next_job: Duration,
    next_failure: Duration,
    /// The tasks of the jobs that were submitted, by number.
    jobs: Vec<u32>,
    accepted: Arc<Mutex<IndexSet<JobId>>>,
    /// The last start of each task.
    started: IndexMap<TaskId, Duration>,
    /// The tasks that have ended as done, and those of which such an end is stored.
    done: IndexSet<TaskId>,
    noted: IndexSet<TaskId>,
    owner: Option<(Name, Epoch)>,
    trace: Vec<(Duration, Option<TaskId>, String)>,
}

impl Play {
    /// Plays a seed; returns what went wrong and how it came about.
    pub fn run(seed: u64) -> Result<(), String> {
        let mut play = Self::new(seed);
        while play.now < TROUBLE + HEALED {
            let is_trouble = play.now < TROUBLE;
            if is_trouble && play.next_failure <= play.now {
                play.fail();
                play.next_failure = play.now + play.random(600, 3500);
            }
            if is_trouble && play.next_job <= play.now {
                play.submit();
                play.next_job = play.now + play.random(300, 2000);
            }
            if !is_trouble {
                play.heal();
                if play.tasks_left().is_empty() {
                    return Ok(());
                }
            }
            play.step()?;
        }
        let left = play.tasks_left();
        Err(format!(
            "seed {seed}: not done after all links have healed: {left:?}"
        ))
    }

    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = (0..ENTRIES).map(|at| {
            let port = 1 + u16::try_from(at).expect("few entries");
            Entry::new(&entry_name(at), port, seed + at as u64)
        });
        let entries = entries.collect();
        let vms = (0..VMS).map(|at| Vm::new(&vm_name(at), CORES, rng.random_range(0.98..1.0)));
        let vms = vms.collect();
        Self {
            seed,
            rng,
            now: Duration::ZERO,
            base: Instant::now(),
            store: MemStore::new(),
            entries,
            vms,
            network: Network::new(),
            calls: 0,
            key_reads: IndexSet::new(),
            next_key_read: Duration::ZERO,
            next_job: Duration::from_secs(1),
            next_failure: Duration::from_secs(3),
            jobs: Vec::new(),
            accepted: Arc::default(),
            started: IndexMap::new(),
            done: IndexSet::new(),
            noted: IndexSet::new(),
            owner: None,
            trace: Vec::new(),
        }
    }

    fn random(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn note(&mut self, task: Option<&TaskId>, what: String) {
        self.trace.push((self.now, task.cloned(), what));
    }

    fn send(&mut self, from: Site, to: Site, message: Message) {
        let link = (from, to);
        self.network.send(&mut self.rng, self.now, link, message);
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        if self.next_key_read <= self.now {
            self.next_key_read = self.now + READ_EVERY;
            for site in 1..FIRST_VM + VMS {
                self.calls += 1;
                let id = self.calls;
                self.key_reads.insert(id);
                self.send(site, STORE, Message::ReadKey(site, id));
                let timeout = Message::KeyUnread(site, id);
                self.network.deliver_at(self.now + STORE_TIMEOUT, timeout);
            }
        }
        while let Some(message) = self.network.take(self.now) {
            self.arrive(message);
        }
        for at in 0..ENTRIES {
            let is_late = self.rng.random_bool(0.5);
            self.entries[at].step(self.now, STEP, is_late);
            self.send_output(at);
        }
        for at in 0..VMS {
            self.vms[at].work(self.now);
            if let Some((owner, report)) = self.vms[at].report(self.now) {
                let id = (report.boot, report.number);
                let entry = entry_number(&owner);
                self.send(
                    FIRST_VM + at,
                    1 + entry,
                    Message::Sync(at, entry, Box::new(report)),
                );
                let timeout = Message::SyncReply(at, id, None);
                self.network.deliver_at(self.now + REPORT_TIMEOUT, timeout);
            }
        }
        self.check()
    }

    fn send_output(&mut self, at: usize) {
        let from = 1 + at;
        for output in self.entries[at].take_output() {
            match output {
                Output::Store(token, call) => {
                    self.calls += 1;
                    let id = self.calls;
                    self.entries[at].calls.insert(id, token);
                    self.send(from, STORE, Message::Store(at, id, call));
                    let lost = Error::new(ErrorKind::Timeout, "call", "store", "no answer");
                    let timeout = Message::StoreReply(at, id, Err(lost));
                    self.network.deliver_at(self.now + STORE_TIMEOUT, timeout);
                }
                Output::Forward(to, request, responder) => {
                    let to = entry_number(&to);
                    let message = Message::Forward(to, request, responder);
                    self.send(from, 1 + to, message);
                }
                Output::Replaced(to, by) => {
                    let to = entry_number(&to);
                    self.send(from, 1 + to, Message::Replaced(to, by));
                }
                Output::Sync(vm, id, reply) => {
                    let reply = Message::SyncReply(vm, id, Some(*reply));
                    self.send(from, FIRST_VM + vm, reply);
                }
            }
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Store(entry, id, call) => {
                let reply = self.store.call(self.base + self.now, &call);
                self.watch_owner();
                self.send(STORE, 1 + entry, Message::StoreReply(entry, id, reply));
            }
            Message::StoreReply(entry, id, reply) => {
                if let Some(token) = self.entries[entry].calls.swap_remove(&id) {
                    self.entries[entry].deliver(Event::Store(token, reply));
                }
            }
            Message::ReadKey(site, id) => {
                let key = self.key();
                self.watch_owner();
                self.send(STORE, site, Message::KeyRead(site, id, key));
            }
            Message::KeyRead(site, id, key) => {
                if self.key_reads.swap_remove(&id) {
                    self.show_key(site, key);
                }
            }
            Message::KeyUnread(site, id) => {
                if self.key_reads.swap_remove(&id) && site < FIRST_VM {
                    let lost = Error::new(ErrorKind::Timeout, "watch", "store", "no answer");
                    let update = KeyUpdate::Unreachable(lost);
                    self.entries[site - 1].deliver(Event::OwnerKey(update));
                }
            }
            Message::Sync(vm, entry, report) => {
                let outbox = self.entries[entry].outbox.clone();
                let id = (report.boot, report.number);
                let responder = Responder::new(move |reply| {
                    outbox.push(Output::Sync(vm, id, Box::new(reply)));
                });
                self.entries[entry].deliver(Event::Sync(report, responder));
            }
            Message::SyncReply(vm, id, reply) => {
                let seed = self.seed;
                self.vms[vm].replied(self.now, id, reply, |task| trouble::lasts(seed, task));
            }
            Message::Forward(entry, request, responder) => {
                self.entries[entry].deliver(Event::Forwarded(Box::new(request), responder));
            }
            Message::Replaced(entry, by) => self.entries[entry].deliver(Event::Replaced(by)),
        }
    }

    fn show_key(&mut self, site: Site, key: Option<KeyValue>) {
        if site < FIRST_VM {
            self.entries[site - 1].deliver(Event::OwnerKey(KeyUpdate::Current(key)));
        } else if let Some(record) = key.and_then(|kv| OwnerRecord::decode(&kv.value).ok()) {
            self.vms[site - FIRST_VM].owner_seen(&record);
        }
    }

    fn key(&mut self) -> Option<KeyValue> {
        let get = StoreCall::Get {
            key: OWNER_KEY.into(),
        };
        match self.store.call(self.base + self.now, &get) {
            Ok(StoreReply::Got(found)) => found,
            other => panic!("expected a key, got {other:?}"),
        }
    }

    /// Notes each change of the owner in the trace.
    fn watch_owner(&mut self) {
        let record = self
            .key()
            .and_then(|kv| OwnerRecord::decode(&kv.value).ok());
        let owner = record.map(|r| (r.name, r.epoch));
        if owner != self.owner {
            self.note(None, format!("owner in the store: {owner:?}"));
            self.owner = owner;
        }
    }
}

fn entry_name(at: usize) -> String {
    format!("entry-{at}")
}

fn entry_number(name: &str) -> usize {
    let number = name.strip_prefix("entry-").and_then(|n| n.parse().ok());
    number.expect("entries are numbered")
}

fn vm_name(at: usize) -> String {
    format!("vm-{at}")
}
