//! The ports of the actors, which collect their output for the event queue.

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

/// The index of a simulated process.
pub(crate) type ProcId = usize;

/// One incarnation of a process: its index and how many times it was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcIncarnation {
    pub(crate) proc: ProcId,
    pub(crate) number: u32,
}

/// An output of a process; a response is `None` if the process dropped the request.
#[derive(Debug)]
pub(crate) enum Output {
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
    Response {
        call: u64,
        response: Option<CallResponse>,
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

/// Collects the outputs of all processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox(Arc<Mutex<Vec<(ProcIncarnation, Output)>>>);

impl Outbox {
    pub(crate) fn take(&self) -> Vec<(ProcIncarnation, Output)> {
        std::mem::take(&mut self.0.lock())
    }

    fn push(&self, incarnation: ProcIncarnation, out: Output) {
        self.0.lock().push((incarnation, out));
    }

    /// Creates a responder that outputs `out`, with `None` if it is dropped without a response.
    pub(crate) fn responder<T: 'static>(
        &self,
        incarnation: ProcIncarnation,
        out: impl FnOnce(Option<T>) -> Output + Send + 'static,
    ) -> Responder<T> {
        let mut pending = PendingResponder {
            outbox: self.clone(),
            incarnation,
            out: Some(Box::new(out)),
        };
        Responder::new(move |response| pending.send(Some(response)))
    }
}

struct PendingResponder<T> {
    outbox: Outbox,
    incarnation: ProcIncarnation,
    out: Option<Box<dyn FnOnce(Option<T>) -> Output + Send>>,
}

impl<T> PendingResponder<T> {
    fn send(&mut self, response: Option<T>) {
        if let Some(out) = self.out.take() {
            self.outbox.push(self.incarnation, out(response));
        }
    }
}

impl<T> Drop for PendingResponder<T> {
    fn drop(&mut self) {
        self.send(None);
    }
}

/// The ports of one incarnation of a process.
pub(crate) struct ProcPorts {
    pub(crate) incarnation: ProcIncarnation,
    pub(crate) outbox: Outbox,
}

impl fmt::Debug for ProcPorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ProcPorts({:?})", self.incarnation)
    }
}

impl StorePort for ProcPorts {
    fn submit(&self, _priority: StorePriority, token: StoreToken, call: StoreCall) {
        self.outbox
            .push(self.incarnation, Output::Store { token, call });
    }
}

impl WorkerPort for ProcPorts {
    fn submit(&self, id: u64, call: WorkerCall) {
        self.outbox
            .push(self.incarnation, Output::Worker { id, call });
    }
}

impl CallPort for ProcPorts {
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call) {
        let out = Output::Call {
            to,
            token,
            timeout,
            call,
        };
        self.outbox.push(self.incarnation, out);
    }
}
