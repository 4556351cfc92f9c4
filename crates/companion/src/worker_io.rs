//! The adapter of the worker port: a thread that makes blocking calls in order.

use std::thread::JoinHandle;

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use parking_lot::Mutex;
use platform::worker::{Worker, WorkerCall, WorkerReply};

use crate::ports::WorkerPort;

/// A call that waits for the thread.
struct Queued {
    id: u64,
    call: WorkerCall,
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
        sink: impl Fn(u64, Result<WorkerReply>) + Send + 'static,
    ) -> Self {
        let (queue, rx) = unbounded::<Queued>();
        let thread = std::thread::spawn(move || {
            for queued in rx {
                sink(queued.id, worker.call(&queued.call));
            }
        });
        Self {
            queue: Mutex::new(Some(queue)),
            thread: Mutex::new(Some(thread)),
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
        if let Some(queue) = &*self.queue.lock() {
            // The thread ends only when the queue is dropped.
            drop(queue.send(Queued { id, call }));
        }
    }
}
