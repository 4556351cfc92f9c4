//! The adapter of the worker port: a thread that makes blocking calls in order.

use std::thread::JoinHandle;

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use parking_lot::Mutex;
use ports::worker::{TaskStart, Worker, WorkerCall, WorkerReply};

use crate::ports::WorkerPort;

/// A call that waits for the thread.
struct Queued {
    id: u64,
    call: WorkerCall,
    until: Option<Instant>,
}

/// Makes worker calls one after the other and hands their replies to a sink.
#[derive(Debug)]
pub(crate) struct WorkerIo {
    queue: Mutex<Option<Sender<Queued>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl WorkerIo {
    pub(crate) fn start(
        worker: Arc<dyn Worker>,
        clock: Arc<dyn Clock>,
        sink: impl Fn(u64, Result<WorkerReply>) + Send + 'static,
    ) -> Self {
        let (queue, rx) = unbounded::<Queued>();
        let thread = std::thread::spawn(move || {
            for queued in rx {
                let now = clock.now();
                let reply = call_in_time(queued.call, queued.until, now)
                    .and_then(|call| worker.call(&call));
                sink(queued.id, reply);
            }
        });
        Self {
            queue: Mutex::new(Some(queue)),
            thread: Mutex::new(Some(thread)),
        }
    }

    fn queue(&self, id: u64, call: WorkerCall, until: Option<Instant>) {
        if let Some(queue) = &*self.queue.lock() {
            // The thread ends only when the queue is dropped.
            drop(queue.send(Queued { id, call, until }));
        }
    }

    /// Ends the thread after the calls that wait.
    pub(crate) fn stop(&self) {
        drop(self.queue.lock().take());
        if let Some(thread) = self.thread.lock().take() {
            drop(thread.join());
        }
    }
}

impl WorkerPort for WorkerIo {
    fn submit(&self, id: u64, call: WorkerCall) {
        self.queue(id, call, None);
    }

    fn submit_until(&self, id: u64, call: WorkerCall, until: Instant) {
        self.queue(id, call, Some(until));
    }
}

/// Returns the call to make at `now` in place of one queued earlier.
///
/// The time to live that it carries ends at `until`, however long the call waited:
/// the process may have been paused meanwhile.
///
/// # Errors
///
/// Returns [`ErrorKind::Refused`] from `until` on: the call has lost its ground.
pub fn call_in_time(call: WorkerCall, until: Option<Instant>, now: Instant) -> Result<WorkerCall> {
    let Some(until) = until else { return Ok(call) };
    if now >= until {
        let message = "the call waited too long";
        return Err(Error::new(
            ErrorKind::Refused,
            call.kind(),
            "worker",
            message,
        ));
    }
    let left = until.saturating_duration_since(now);
    Ok(match call {
        WorkerCall::Renew { keys, ttl } => WorkerCall::Renew {
            keys,
            ttl: ttl.min(left),
        },
        WorkerCall::Start(start) => WorkerCall::Start(TaskStart {
            ttl: Some(start.ttl.map_or(left, |ttl| ttl.min(left))),
            ..start
        }),
        call => call,
    })
}
