//! The requests of a run as their callers and the targets know them.

use base::prelude::*;
use companion::AdmitMeta;
use route::RequestMeta;

use crate::ports::ProcIncarnation;

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    Answered,
    RefusedNotRun,
    Unknown,
}

/// One request of a caller to one entry; a retry is another request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) meta: RequestMeta,
    pub(crate) idempotent: bool,
    /// The incarnation of the entry that serves it.
    pub(crate) entry: ProcIncarnation,
    /// The current attempt, 0 for none, so that late responses to earlier ones are recognised.
    pub(crate) attempt: u64,
    pub(crate) outcome: Option<RequestOutcome>,
    /// How often targets ran it.
    pub(crate) runs: u32,
    /// Whether the last response was produced for this request or an earlier one with its key.
    pub(crate) response_is_own: bool,
}

/// One delivery of a request to a companion.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
    pub(crate) companion: ProcIncarnation,
    pub(crate) meta: AdmitMeta,
}

/// All requests of a run.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) all: Vec<Request>,
    pub(crate) by_id: IndexMap<RequestId, usize>,
    pub(crate) deliveries: IndexMap<u64, Delivery>,
    pub(crate) next_delivery: u64,
    pub(crate) next_attempt: u64,
    /// The number of runs by idempotency key, over all requests with that key.
    runs_by_key: IndexMap<Name, u32>,
}

impl Requests {
    pub(crate) fn add(&mut self, request: Request) -> usize {
        let number = self.all.len();
        self.by_id.insert(request.meta.id.clone(), number);
        self.all.push(request);
        number
    }

    /// Returns true if `id` is the request's own id or that of a request with the same
    /// idempotency key.
    pub(crate) fn is_same_operation(&self, number: usize, id: &RequestId) -> bool {
        let own = &self.all[number].meta;
        let Some(other) = self.by_id.get(id).map(|at| &self.all[*at].meta) else {
            return false;
        };
        other.id == own.id || (own.key.is_some() && other.key == own.key)
    }

    /// Records that a target runs a request.
    ///
    /// # Errors
    ///
    /// Returns a violation if the request must not run, or not run again.
    pub(crate) fn record_run(&mut self, number: usize) -> std::result::Result<(), String> {
        let request = &mut self.all[number];
        request.runs += 1;
        let id = &request.meta.id;
        if request.outcome == Some(RequestOutcome::RefusedNotRun) {
            return Err(format!("request {id} ran after it was refused as not run"));
        }
        if request.idempotent {
            return Ok(());
        }
        let runs = match &request.meta.key {
            Some(key) => {
                let runs = self.runs_by_key.entry(Arc::clone(key)).or_default();
                *runs += 1;
                *runs
            }
            None => request.runs,
        };
        if runs > 1 {
            return Err(format!("non-idempotent request {id} ran {runs} times"));
        }
        Ok(())
    }

    /// Records the outcome for the caller.
    ///
    /// # Errors
    ///
    /// Returns a violation if the outcome contradicts what targets ran.
    pub(crate) fn record_outcome(
        &mut self,
        number: usize,
        outcome: RequestOutcome,
    ) -> std::result::Result<(), String> {
        let request = &mut self.all[number];
        request.outcome = Some(outcome);
        let id = &request.meta.id;
        match outcome {
            RequestOutcome::RefusedNotRun if request.runs > 0 => {
                Err(format!("request {id} ran and was refused as not run"))
            }
            RequestOutcome::Answered if !request.response_is_own => {
                Err(format!("request {id} was answered with another's answer"))
            }
            _ => Ok(()),
        }
    }
}
