//! The adapter of the store port: threads that make blocking calls, most urgent first.

mod budget;

use std::collections::BinaryHeap;
use std::fmt;
use std::thread::JoinHandle;

use base::prelude::*;
use parking_lot::{Condvar, Mutex};
use ports::store::{Store, StoreCall, StoreReply};

pub use self::budget::{Permit, StoreBudget};
use crate::event::StoreToken;
use crate::ports::{StorePort, StorePriority};

/// How many threads make calls other than watches and those for leases.
const THREADS: usize = 4;

/// How many threads make calls for leases, so that other calls to a slow store don't delay them.
const LEASE_THREADS: usize = 2;

/// A call that waits for a thread.
struct QueuedCall {
    priority: StorePriority,
    seq: u64,
    token: StoreToken,
    call: StoreCall,
}

impl PartialEq for QueuedCall {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl Eq for QueuedCall {}

impl PartialOrd for QueuedCall {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedCall {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap returns its greatest: the most urgent, then the oldest.
        (other.priority, other.seq).cmp(&(self.priority, self.seq))
    }
}

#[derive(Default)]
struct Queue {
    waiting: BinaryHeap<QueuedCall>,
    next_seq: u64,
    is_closed: bool,
}

#[derive(Default)]
struct SharedQueue {
    queue: Mutex<Queue>,
    ready: Condvar,
}

/// What a thread does with the next call.
enum Next {
    Execute(QueuedCall),
    Refuse(QueuedCall),
    Close,
}

/// Makes the calls of one thread and records their results in the budget.
struct CallExecutor {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    budget: Arc<Mutex<StoreBudget>>,
}

impl CallExecutor {
    fn execute(&self, call: &StoreCall) -> Result<StoreReply> {
        let reply = self.store.call(call);
        let now = self.clock.now();
        self.budget
            .lock()
            .call_ended(now, is_store_reachable(&reply));
        reply
    }
}

/// Returns true if the store responded, even if with an error of its own.
fn is_store_reachable(reply: &Result<StoreReply>) -> bool {
    reply.as_ref().map_or_else(
        |e| {
            !e.kind().is_outcome_unknown()
                && !matches!(e.kind(), ErrorKind::Unreachable | ErrorKind::Overloaded)
        },
        |_| true,
    )
}

fn unreachable_error(call: &StoreCall) -> Error {
    let message = "the store is out of reach; the call was not made";
    Error::new(ErrorKind::Unreachable, call.kind(), "store", message)
}

impl SharedQueue {
    fn push(&self, priority: StorePriority, token: StoreToken, call: StoreCall) {
        let mut queue = self.queue.lock();
        let seq = queue.next_seq;
        queue.next_seq += 1;
        queue.waiting.push(QueuedCall {
            priority,
            seq,
            token,
            call,
        });
        drop(queue);
        self.ready.notify_one();
    }

    fn close(&self) {
        let mut queue = self.queue.lock();
        queue.is_closed = true;
        queue.waiting.clear();
        drop(queue);
        self.ready.notify_all();
    }
}

/// Makes store calls on a few threads and hands their replies to a sink.
///
/// Watches and leases have threads of their own, so that other calls never delay leases.
pub(crate) struct StoreIo {
    general: Arc<SharedQueue>,
    leases: Arc<SharedQueue>,
    watches: Arc<SharedQueue>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl StoreIo {
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        clock: &Arc<dyn Clock>,
        sink: impl Fn(StoreToken, Result<StoreReply>) + Send + Sync + 'static,
    ) -> Self {
        let general = Arc::new(SharedQueue::default());
        let leases = Arc::new(SharedQueue::default());
        let watches = Arc::new(SharedQueue::default());
        let sink = Arc::new(sink);
        let budget = StoreBudget::new(clock.now(), rand::random());
        let budget = Arc::new(Mutex::new(budget));
        let spawn = |shared: &Arc<SharedQueue>| {
            let shared = Arc::clone(shared);
            let executor = CallExecutor {
                store: Arc::clone(store),
                clock: Arc::clone(clock),
                budget: Arc::clone(&budget),
            };
            let sink = Arc::clone(&sink);
            std::thread::spawn(move || {
                loop {
                    match next(&shared, &executor) {
                        Next::Execute(queued) => sink(queued.token, executor.execute(&queued.call)),
                        Next::Refuse(queued) => {
                            sink(queued.token, Err(unreachable_error(&queued.call)));
                        }
                        Next::Close => return,
                    }
                }
            })
        };
        let general_threads = (0..THREADS).map(|_| spawn(&general));
        let threads = general_threads
            .chain((0..LEASE_THREADS).map(|_| spawn(&leases)))
            .collect();
        // This thread is never joined, since its last watch may take long.
        drop(spawn(&watches));
        Self {
            general,
            leases,
            watches,
            threads: Mutex::new(threads),
        }
    }

    /// Drops the queued calls and joins the threads after their calls in progress.
    pub(crate) fn stop(&self) {
        self.general.close();
        self.leases.close();
        self.watches.close();
        for thread in self.threads.lock().drain(..) {
            drop(thread.join());
        }
    }
}

/// Waits for the next call that may be made or must be refused.
fn next(shared: &SharedQueue, executor: &CallExecutor) -> Next {
    let mut queue = shared.queue.lock();
    loop {
        if queue.is_closed {
            return Next::Close;
        }
        let Some(first) = queue.waiting.pop() else {
            shared.ready.wait(&mut queue);
            continue;
        };
        let now = executor.clock.now();
        let permit = executor
            .budget
            .lock()
            .take(now, first.priority, &first.call);
        match permit {
            Permit::Now => return Next::Execute(first),
            Permit::Refused => return Next::Refuse(first),
            Permit::At(at) => {
                queue.waiting.push(first);
                let wait = at.saturating_duration_since(now);
                shared.ready.wait_for(&mut queue, wait);
            }
        }
    }
}

impl StorePort for StoreIo {
    fn submit(&self, priority: StorePriority, token: StoreToken, call: StoreCall) {
        let shared = match call {
            StoreCall::Watch { wait, .. } if !wait.is_zero() => &self.watches,
            _ if priority == StorePriority::Lease => &self.leases,
            _ => &self.general,
        };
        shared.push(priority, token, call);
    }
}

impl fmt::Debug for StoreIo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreIo")
    }
}
