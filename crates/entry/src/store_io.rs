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

/// How many calls are made at once.
const THREADS: usize = 4;

/// How many calls for leases are made at once, whatever else waits for a slow store.
const LEASE_THREADS: usize = 2;

/// A call that waits for a thread.
struct Queued {
    priority: StorePriority,
    number: u64,
    token: StoreToken,
    call: StoreCall,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap returns its greatest: the most urgent, then the oldest.
        (other.priority, other.number).cmp(&(self.priority, self.number))
    }
}

#[derive(Default)]
struct Queue {
    waiting: BinaryHeap<Queued>,
    next_number: u64,
    is_closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    ready: Condvar,
}

/// What a thread does with the next call.
enum Next {
    Make(Queued),
    Refuse(Queued),
    Close,
}

/// Makes the calls of one thread.
struct Caller {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    budget: Arc<Mutex<StoreBudget>>,
}

impl Caller {
    fn make(&self, call: &StoreCall) -> Result<StoreReply> {
        let reply = self.store.call(call);
        let now = self.clock.now();
        self.budget.lock().ended(now, is_reached(&reply));
        reply
    }
}

/// Tells whether the store answered, be it with a refusal of its own.
fn is_reached(reply: &Result<StoreReply>) -> bool {
    reply.as_ref().map_or_else(
        |e| {
            !e.kind().is_outcome_unknown()
                && !matches!(e.kind(), ErrorKind::Unreachable | ErrorKind::Overloaded)
        },
        |_| true,
    )
}

fn out_of_reach(call: &StoreCall) -> Error {
    let message = "the store is out of reach; the call was not made";
    Error::new(ErrorKind::Unreachable, call.kind(), "store", message)
}

impl Shared {
    fn push(&self, priority: StorePriority, token: StoreToken, call: StoreCall) {
        let mut queue = self.queue.lock();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.waiting.push(Queued {
            priority,
            number,
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
/// Watches and leases have threads of their own, so that nothing holds leases up.
pub(crate) struct StoreIo {
    shared: Arc<Shared>,
    leases: Arc<Shared>,
    watches: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl StoreIo {
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        clock: &Arc<dyn Clock>,
        sink: impl Fn(StoreToken, Result<StoreReply>) + Send + Sync + 'static,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let leases = Arc::new(Shared::default());
        let watches = Arc::new(Shared::default());
        let sink = Arc::new(sink);
        let budget = StoreBudget::new(clock.now(), rand::random());
        let budget = Arc::new(Mutex::new(budget));
        let spawn = |shared: &Arc<Shared>| {
            let shared = Arc::clone(shared);
            let caller = Caller {
                store: Arc::clone(store),
                clock: Arc::clone(clock),
                budget: Arc::clone(&budget),
            };
            let sink = Arc::clone(&sink);
            std::thread::spawn(move || {
                loop {
                    match next(&shared, &caller) {
                        Next::Make(queued) => sink(queued.token, caller.make(&queued.call)),
                        Next::Refuse(queued) => {
                            sink(queued.token, Err(out_of_reach(&queued.call)));
                        }
                        Next::Close => return,
                    }
                }
            })
        };
        let common = (0..THREADS).map(|_| spawn(&shared));
        let threads = common
            .chain((0..LEASE_THREADS).map(|_| spawn(&leases)))
            .collect();
        // Nobody waits for this thread's end: its last watch may take long.
        drop(spawn(&watches));
        Self {
            shared,
            leases,
            watches,
            threads: Mutex::new(threads),
        }
    }

    /// Drops what waits and ends the threads after the calls in progress.
    pub(crate) fn stop(&self) {
        self.shared.close();
        self.leases.close();
        self.watches.close();
        for thread in self.threads.lock().drain(..) {
            drop(thread.join());
        }
    }
}

/// Waits for the next call that may be made or must be refused.
fn next(shared: &Shared, caller: &Caller) -> Next {
    let mut queue = shared.queue.lock();
    loop {
        if queue.is_closed {
            return Next::Close;
        }
        let Some(first) = queue.waiting.pop() else {
            shared.ready.wait(&mut queue);
            continue;
        };
        let now = caller.clock.now();
        let permit = caller.budget.lock().take(now, first.priority, &first.call);
        match permit {
            Permit::Now => return Next::Make(first),
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
            _ => &self.shared,
        };
        shared.push(priority, token, call);
    }
}

impl fmt::Debug for StoreIo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreIo")
    }
}
