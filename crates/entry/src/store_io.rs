//! The adapter of the store port: threads that make blocking calls, most urgent first.

use std::collections::BinaryHeap;
use std::fmt;
use std::thread::JoinHandle;

use base::prelude::*;
use parking_lot::{Condvar, Mutex};
use platform::store::{Store, StoreCall, StoreReply};

use crate::event::StoreToken;
use crate::ports::{StorePort, StorePriority};

/// How many calls are made at once.
const THREADS: usize = 4;

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
/// Watches have a thread of their own, so that their waits hold up nothing else.
pub(crate) struct StoreIo {
    shared: Arc<Shared>,
    watches: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl StoreIo {
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        sink: impl Fn(StoreToken, Result<StoreReply>) + Send + Sync + 'static,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let watches = Arc::new(Shared::default());
        let sink = Arc::new(sink);
        let spawn = |shared: &Arc<Shared>| {
            let shared = Arc::clone(shared);
            let store = Arc::clone(store);
            let sink = Arc::clone(&sink);
            std::thread::spawn(move || {
                while let Some(queued) = next(&shared) {
                    sink(queued.token, store.call(&queued.call));
                }
            })
        };
        let threads = (0..THREADS).map(|_| spawn(&shared)).collect();
        // Nobody waits for this thread's end: its last watch may take long.
        drop(spawn(&watches));
        Self {
            shared,
            watches,
            threads: Mutex::new(threads),
        }
    }

    /// Drops what waits and ends the threads after the calls in progress.
    pub(crate) fn stop(&self) {
        self.shared.close();
        self.watches.close();
        for thread in self.threads.lock().drain(..) {
            drop(thread.join());
        }
    }
}

/// Waits for the next call; `None` once the queue is closed.
fn next(shared: &Shared) -> Option<Queued> {
    let mut queue = shared.queue.lock();
    loop {
        if queue.is_closed {
            return None;
        }
        if let Some(queued) = queue.waiting.pop() {
            return Some(queued);
        }
        shared.ready.wait(&mut queue);
    }
}

impl StorePort for StoreIo {
    fn submit(&self, priority: StorePriority, token: StoreToken, call: StoreCall) {
        let shared = match call {
            StoreCall::Watch { .. } => &self.watches,
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
