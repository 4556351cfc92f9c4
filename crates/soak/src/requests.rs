//! The requests of a run, as their callers and the targets see them.

use base::prelude::*;
use companion::AdmitMeta;
use route::RequestMeta;

use crate::ports::Life;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    Answered,
    RefusedNotRun,
    Unknown,
}

/// One try of a caller through one entry.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) meta: RequestMeta,
    pub(crate) idempotent: bool,
    /// The entry that serves it.
    pub(crate) life: Life,
    /// The attempt on its way, so that late answers of earlier ones are known.
    pub(crate) attempt: u64,
    pub(crate) told: Option<Told>,
    /// How often a target ran it.
    pub(crate) runs: u32,
    /// Whether the answer that the entry holds is this request's own.
    pub(crate) answer_is_own: bool,
}

/// One delivery of a request to a companion.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
    pub(crate) companion: Life,
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
    /// Runs by idempotency key, over all tries.
    runs_by_key: IndexMap<Name, u32>,
}

impl Requests {
    pub(crate) fn add(&mut self, request: Request) -> usize {
        let number = self.all.len();
        self.by_id.insert(request.meta.id.clone(), number);
        self.all.push(request);
        number
    }

    /// Tells whether an id that a request was sent under stands for that request's own work:
    /// it is its own id, or that of an earlier try with the same key.
    pub(crate) fn is_own_work(&self, number: usize, id: &RequestId) -> bool {
        let own = &self.all[number].meta;
        let Some(other) = self.by_id.get(id).map(|at| &self.all[*at].meta) else {
            return false;
        };
        other.id == own.id || (own.key.is_some() && other.key == own.key)
    }

    /// Notes that a target runs a request; returns a breach.
    pub(crate) fn ran(&mut self, number: usize) -> std::result::Result<(), String> {
        let request = &mut self.all[number];
        request.runs += 1;
        let id = &request.meta.id;
        if request.told == Some(Told::RefusedNotRun) {
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

    /// Notes what the caller is told; returns a breach.
    pub(crate) fn tell(&mut self, number: usize, told: Told) -> std::result::Result<(), String> {
        let request = &mut self.all[number];
        request.told = Some(told);
        let id = &request.meta.id;
        match told {
            Told::RefusedNotRun if request.runs > 0 => {
                Err(format!("request {id} ran and was refused as not run"))
            }
            Told::Answered if !request.answer_is_own => {
                Err(format!("request {id} was answered with another's answer"))
            }
            _ => Ok(()),
        }
    }
}
