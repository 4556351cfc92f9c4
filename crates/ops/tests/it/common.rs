//! Fakes of the store, the entry and the context of commands.

use std::path::PathBuf;
use std::sync::Mutex;

use base::ManualClock;
use base::prelude::*;
use ops::{Change, Context, EntryPort, TableFiles};
use ports::store::{Expect, KeyValue, Store, StoreCall, StoreReply};
use wire::operator::{JobSelection, JobSubmission, Status};
use wire::{EntryInfo, JobStatus, SubmitReply};

/// A scripted outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call takes effect.
    None,
    /// The call does not reach the store.
    Down,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The call is lost on its way; the caller sees a timeout, too.
    CallLost,
}

/// A store in memory with scripted faults.
#[derive(Clone, Debug, Default)]
pub struct MemStore(Arc<Mutex<MemState>>);

#[derive(Debug, Default)]
struct MemState {
    keys: IndexMap<Name, KeyValue>,
    revision: u64,
    write_faults: Vec<Fault>,
    reads_down: bool,
    before_next_swap: Option<tables::TablesDoc>,
}

impl MemStore {
    /// Scripts the faults of the next writes, in order.
    pub fn fail_writes(&self, faults: &[Fault]) {
        self.0.lock().unwrap().write_faults = faults.iter().rev().copied().collect();
    }

    pub fn set_reads_down(&self, down: bool) {
        self.0.lock().unwrap().reads_down = down;
    }

    /// Lets another program write the tables just before the next write of them.
    pub fn write_before_next_swap(&self, doc: tables::TablesDoc) {
        self.0.lock().unwrap().before_next_swap = Some(doc);
    }

    pub fn delete(&self, key: &str) {
        self.0.lock().unwrap().keys.shift_remove(key);
    }
}

impl MemState {
    fn put(&mut self, key: &Name, value: &Arc<[u8]>, expect: Expect) -> StoreReply {
        let current = self.keys.get(key);
        let as_expected = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current.is_some_and(|kv| kv.revision == revision),
        };
        if !as_expected {
            let current = current.cloned();
            return StoreReply::Conflict { current };
        }
        self.revision += 1;
        let kv = KeyValue {
            key: Arc::clone(key),
            value: Arc::clone(value),
            revision: self.revision,
        };
        self.keys.insert(Arc::clone(key), kv);
        let revision = self.revision;
        StoreReply::Done { revision }
    }

    fn serve(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => StoreReply::Got(self.keys.get(key).cloned()),
            StoreCall::List {
                prefix,
                after,
                limit,
            } => {
                let mut found = self.keys.values().cloned().collect::<Vec<_>>();
                found.retain(|kv| kv.key.starts_with(&**prefix));
                found.retain(|kv| after.as_ref().is_none_or(|after| kv.key > *after));
                found.sort_by(|a, b| a.key.cmp(&b.key));
                found.truncate(*limit);
                StoreReply::Listed(found)
            }
            StoreCall::Put {
                key, value, expect, ..
            } => self.put(key, value, *expect),
            StoreCall::DeleteRange { from, to } => {
                self.keys.retain(|key, _| key < from || key >= to);
                let revision = self.revision;
                StoreReply::Done { revision }
            }
            other => panic!("unexpected call: {other:?}"),
        }
    }

    fn write(&mut self, call: &StoreCall) -> Result<StoreReply> {
        let failed = |kind| Err(Error::new(kind, "call", "store", "scripted fault"));
        match self.write_faults.pop().unwrap_or(Fault::None) {
            Fault::None => Ok(self.serve(call)),
            Fault::Down => failed(ErrorKind::Unreachable),
            Fault::CallLost => failed(ErrorKind::Timeout),
            Fault::ResponseLost => {
                self.serve(call);
                failed(ErrorKind::Timeout)
            }
        }
    }
}

impl Store for MemStore {
    fn call(&self, call: &StoreCall) -> Result<StoreReply> {
        let mut state = self.0.lock().unwrap();
        if let StoreCall::Put { key, .. } = call
            && **key == *tables::TablesDoc::KEY
            && let Some(doc) = state.before_next_swap.take()
        {
            let value = serde_json::to_vec(&doc).unwrap().into();
            state.put(key, &value, Expect::Any);
        }
        if call.is_write() {
            return state.write(call);
        }
        if state.reads_down {
            return Err(Error::new(
                ErrorKind::Unreachable,
                "call",
                "store",
                "scripted fault",
            ));
        }
        Ok(state.serve(call))
    }
}

/// An entry that reports scripted generations one after another, and repeats the last one.
#[derive(Clone, Debug)]
pub struct FakeEntry(Arc<Mutex<Vec<u64>>>);

impl FakeEntry {
    pub fn new(generations: &[u64]) -> Self {
        let reversed = generations.iter().rev().copied().collect();
        Self(Arc::new(Mutex::new(reversed)))
    }
}

fn unused<T>() -> Result<T> {
    Err(Error::new(
        ErrorKind::Refused,
        "call",
        "entry",
        "not scripted",
    ))
}

impl EntryPort for FakeEntry {
    fn status(&self) -> Result<Status> {
        let mut generations = self.0.lock().unwrap();
        let generation = match generations.len() {
            1 => generations[0],
            _ => generations.pop().unwrap(),
        };
        let entry = EntryInfo {
            entry: EntryId::from("entry-1"),
            zone: ZoneName::from("viti-suva"),
            http_addr: "127.0.0.1:1".parse().unwrap(),
            rpc_addr: "127.0.0.1:2".parse().unwrap(),
            generation: Generation(generation),
        };
        Ok(Status {
            entry,
            entries: Vec::new(),
            owners: Vec::new(),
            targets: Vec::new(),
            store: None,
            shards: Vec::new(),
            promises: Vec::new(),
        })
    }

    fn submit(&self, _job: &JobSubmission) -> Result<SubmitReply> {
        unused()
    }

    fn job_statuses(&self, _jobs: &JobSelection) -> Result<Vec<JobStatus>> {
        unused()
    }

    fn cancel(&self, _jobs: &JobSelection) -> Result<Vec<JobStatus>> {
        unused()
    }

    fn drain(&self, _target: &TargetId) -> Result<()> {
        unused()
    }

    fn burn(&self) -> Result<report::burn::BurnSnapshot> {
        unused()
    }
}

/// A context for the commands under test.
#[derive(Debug)]
pub struct FakeContext {
    pub store: MemStore,
    pub entry: FakeEntry,
    pub clock: ManualClock,
    pub answer: Option<bool>,
    nonces: Mutex<u64>,
}

impl FakeContext {
    pub fn new(store: MemStore) -> Self {
        Self {
            store,
            entry: FakeEntry::new(&[0]),
            clock: ManualClock::new(),
            answer: None,
            nonces: Mutex::new(0),
        }
    }
}

impl Context for FakeContext {
    fn store(&self, _flags: &ops::StoreFlags) -> Result<Box<dyn Store>> {
        Ok(Box::new(self.store.clone()))
    }

    fn entry(&self, _flags: &ops::EntryFlags) -> Result<Box<dyn EntryPort>> {
        // Each call advances the clock, so that waits reach their timeout.
        self.clock.advance(Duration::from_secs(1));
        Ok(Box::new(self.entry.clone()))
    }

    fn clock(&self) -> &dyn Clock {
        self.clock.advance(Duration::from_secs(1));
        &self.clock
    }

    fn nonce(&self) -> Nonce {
        let mut nonces = self.nonces.lock().unwrap();
        *nonces += 1;
        Nonce(*nonces)
    }

    fn confirm(&self, _question: &str) -> Option<bool> {
        self.answer
    }

    fn pause(&self) -> fn(Duration) {
        |_| {}
    }
}

pub fn sample(desk: &str) -> TableFiles {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(desk);
    TableFiles {
        routes: folder.join("routes.toml"),
        pools: folder.join("pools.toml"),
    }
}

/// Returns a change of the sample tables in which the style check's deadline is `deadline`.
pub fn change(nonce: u64, author: &str, deadline: &str) -> Change {
    let loaded = sample("vakaloloma").load().expect("sample tables");
    let deadline = format!("deadline = \"{deadline}\"");
    let routes = loaded.routes.text.replace("deadline = \"2s\"", &deadline);
    Change {
        routes: routes.into(),
        pools: loaded.pools.text,
        author: author.into(),
        comment: "".into(),
        nonce: Nonce(nonce),
    }
}
