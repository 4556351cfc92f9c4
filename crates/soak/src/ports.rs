//! The ports of the actors, which lead into the queue of the run.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use companion::{AdmitStep, WorkerPort};
use entry::{StorePort, StorePriority, StoreToken};
use parking_lot::Mutex;
use ports::store::StoreCall;
use ports::worker::WorkerCall;
use route::RequestStep;
use tables::TablesDoc;
use wire::{Call, CallPort, CallResponse, CallToken, JobStatus, Responder, SubmitReply};

/// The number of a process of the run.
pub(crate) type ProcId = usize;

/// One life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Life {
    pub(crate) proc: ProcId,
    pub(crate) number: u32,
}

/// What leaves a process; an answer is `None` where it was dropped unanswered.
#[derive(Debug)]
pub(crate) enum Out {
    Store {
        token: StoreToken,
        call: StoreCall,
    },
    Worker {
        id: u64,
        call: WorkerCall,
    },
    Call {
        to: SocketAddr,
        token: CallToken,
        timeout: Duration,
        call: Call,
    },
    Answer {
        call: u64,
        answer: Option<CallResponse>,
    },
    Submitted {
        job: usize,
        reply: Option<SubmitReply>,
    },
    Cancelled {
        jobs: Vec<usize>,
        asked: Instant,
        statuses: Option<Vec<JobStatus>>,
    },
    Status {
        job: usize,
        asked: Instant,
        status: Option<Option<JobStatus>>,
    },
    Tables {
        doc: Option<Option<TablesDoc>>,
    },
    Step {
        request: usize,
        step: Option<RequestStep>,
    },
    Admit {
        delivery: u64,
        step: Option<AdmitStep>,
    },
}

/// Collects what leaves the processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox(Arc<Mutex<Vec<(Life, Out)>>>);

impl Outbox {
    pub(crate) fn take(&self) -> Vec<(Life, Out)> {
        std::mem::take(&mut self.0.lock())
    }

    fn push(&self, life: Life, out: Out) {
        self.0.lock().push((life, out));
    }

    /// Creates a reply that leaves as `out`, also where it is dropped.
    pub(crate) fn owed<T: 'static>(
        &self,
        life: Life,
        out: impl FnOnce(Option<T>) -> Out + Send + 'static,
    ) -> Responder<T> {
        let mut owed = Owed {
            outbox: self.clone(),
            life,
            out: Some(Box::new(out)),
        };
        Responder::new(move |answer| owed.send(Some(answer)))
    }
}

struct Owed<T> {
    outbox: Outbox,
    life: Life,
    out: Option<Box<dyn FnOnce(Option<T>) -> Out + Send>>,
}

impl<T> Owed<T> {
    fn send(&mut self, answer: Option<T>) {
        if let Some(out) = self.out.take() {
            self.outbox.push(self.life, out(answer));
        }
    }
}

impl<T> Drop for Owed<T> {
    fn drop(&mut self) {
        self.send(None);
    }
}

/// The ports of one life of a process.
pub(crate) struct LifePorts {
    pub(crate) life: Life,
    pub(crate) outbox: Outbox,
}

impl fmt::Debug for LifePorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LifePorts({:?})", self.life)
    }
}

impl StorePort for LifePorts {
    fn submit(&self, _priority: StorePriority, token: StoreToken, call: StoreCall) {
        self.outbox.push(self.life, Out::Store { token, call });
    }
}

impl WorkerPort for LifePorts {
    fn submit(&self, id: u64, call: WorkerCall) {
        self.outbox.push(self.life, Out::Worker { id, call });
    }
}

impl CallPort for LifePorts {
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call) {
        let out = Out::Call {
            to,
            token,
            timeout,
            call,
        };
        self.outbox.push(self.life, out);
    }
}
