//! What reaches the actors of a companion from outside.

use base::prelude::*;
use ports::worker::WorkerReply;
use tables::{Priority, TablesDoc};
use wire::{Answer, CallToken, Reply, RevokeReply};

use crate::admit::{AdmitStep, StoredAnswer};

/// Something that happened outside the actors.
#[derive(Debug)]
pub enum Event {
    /// A request makes progress.
    Admit(AdmitEvent),
    /// An entry revokes a request.
    Revoke(RequestId, Incarnation, Duration, Reply<RevokeReply>),
    /// The worker replied.
    Worker(u64, Result<WorkerReply>),
    /// An entry answered.
    Call(CallToken, Result<Answer>),
    /// An entry asks for the tables in force here.
    Tables(Reply<Option<TablesDoc>>),
    /// A planned stop of the target begins.
    Drain,
}

/// What a request needs to be admitted at the target.
#[derive(Clone, Debug)]
pub struct AdmitMeta {
    /// The id that the entry drew.
    pub id: RequestId,
    /// The life of the companion that the request is meant for.
    pub incarnation: Incarnation,
    /// This companion's uptime as its entry knew it when it chose the target.
    pub uptime: Duration,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Who goes first.
    pub priority: Priority,
    /// Whether other copies may arrive, so that a refusal has to last.
    pub is_repeat: bool,
}

/// Progress of a request at the companion.
#[derive(Debug)]
pub enum AdmitEvent {
    /// A request came in.
    Begin(AdmitMeta, Reply<AdmitStep>),
    /// The target's call for a request ended.
    Finished(RequestId, Option<Arc<StoredAnswer>>),
}
