//! Events that are delivered to the actors of a companion.

use base::prelude::*;
use ports::worker::WorkerReply;
use tables::{Priority, TablesDoc};
use wire::{CallResponse, CallToken, Responder, RevokeReply};

use crate::admit::{AdmitStep, StoredResponse};

/// An event for one of the actors.
#[derive(Debug)]
pub enum Event {
    /// A request arrived or ended.
    Admit(AdmitEvent),
    /// An entry revokes a request.
    Revoke(RequestId, Incarnation, Duration, Responder<RevokeReply>),
    /// The call to the worker with this id completed.
    Worker(u64, Result<WorkerReply>),
    /// The call to an entry with this token completed.
    Call(CallToken, Result<CallResponse>),
    /// An entry requests the tables in force here.
    Tables(Responder<Option<TablesDoc>>),
    /// The target starts to drain.
    Drain,
}

/// The properties of a request that decide on its admission.
#[derive(Clone, Debug)]
pub struct AdmitMeta {
    /// The id that the entry gave the request.
    pub id: RequestId,
    /// The incarnation of the companion that the request is addressed to.
    pub incarnation: Incarnation,
    /// This companion's uptime that the entry knew when it chose the target.
    pub uptime: Duration,
    /// When the caller stops waiting for a response.
    pub deadline: Instant,
    /// The priority in the queue for slots.
    pub priority: Priority,
    /// Whether other copies of the request may exist, so that a refusal must be remembered.
    pub is_repeat: bool,
}

/// The arrival or end of a request.
#[derive(Debug)]
pub enum AdmitEvent {
    /// A request arrived.
    Begin(AdmitMeta, Responder<AdmitStep>),
    /// The call to the target ended, with its response if there was one.
    Finished(RequestId, Option<Arc<StoredResponse>>),
}
