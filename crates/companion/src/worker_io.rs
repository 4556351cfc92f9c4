//! The adapter for the worker port, with a thread that makes blocking calls in order.

use std::thread::JoinHandle;

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use parking_lot::Mutex;
use ports::worker::{TaskStart, Worker, WorkerCall, WorkerReply};

use crate::ports::WorkerPort;

/// A call that waits in the queue of the thread.
struct Queued {
    id: u64,
    call: WorkerCall,
    until: Option<Instant>,
}

/// Makes worker calls one after the other and passes their replies to a sink.
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

    /// Stops the thread after it has made the calls in its queue.
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

/// Returns the call to make at `now` for one that was queued earlier.
///
/// Its time to live is shortened to end at `until` at the latest, since the call may have waited
/// for long, for example while the process was paused.
///
/// # Errors
///
/// Returns [`ErrorKind::Refused`] if `now` is `until` or later.
pub fn call_in_time(call: WorkerCall, until: Option<Instant>, now: Instant) -> Result<WorkerCall> {
    let Some(until) = until else { return Ok(call) };
    if now >= until {
        let message = "the call expired in the queue";
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
