//! Messages about who is there.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tables::TablesDoc;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes no more.
    Leaving,
}

/// What a companion tells the entries about its target and worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The target.
    pub target: TargetId,
    /// The worker VM that the target and its batch tasks run on.
    pub worker: WorkerId,
    /// The life of this companion.
    pub incarnation: Incarnation,
    /// How long this life of the companion has lasted, by its own clock.
    pub uptime: Duration,
    /// Counts the announcements of this life, so that late ones are dropped.
    pub sequence: u64,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// Where the companion takes requests.
    pub http_addr: SocketAddr,
    /// Where the companion takes control calls.
    pub rpc_addr: SocketAddr,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// How many connections the target takes.
    pub connections: u32,
    /// What the worker has.
    pub capacity: Resources,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests in progress.
    pub in_flight: u32,
    /// The generation of the tables that the companion applies.
    pub generation: Generation,
}

/// What an entry tells a companion in return.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The entry's generation.
    pub generation: Generation,
    /// The tables, where the companion's generation is lower.
    pub tables: Option<TablesDoc>,
    /// The entries that are known to live, this one included.
    pub entries: Vec<EntryInfo>,
    /// Who owns which shard.
    pub owners: Vec<ShardOwner>,
}

/// An entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryInfo {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes callers' requests.
    pub http_addr: SocketAddr,
    /// Where it takes control calls.
    pub rpc_addr: SocketAddr,
    /// The generation of the tables that it applies.
    pub generation: Generation,
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// The owner's term.
    pub epoch: Epoch,
    /// The owner.
    pub entry: EntryId,
    /// Where the owner takes control calls.
    pub rpc_addr: SocketAddr,
}

/// What entries tell one another; the answer is of the same form.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: EntryInfo,
    /// Other entries that the sender heard of lately.
    pub entries: Vec<EntryInfo>,
    /// Who owns which shard, as far as the sender knows.
    pub owners: Vec<ShardOwner>,
    /// Targets known to be leaving, with their incarnation.
    pub leaving: Vec<(TargetId, Incarnation)>,
    /// Demand by limit (a route, team or desk) in requests a second, to split limits by.
    pub demand: Vec<(Name, f64)>,
    /// The tables, where the sender believes that the receiver has a lower generation.
    pub tables: Option<TablesDoc>,
    /// The sender's targets, where the receiver asked for them.
    #[serde(default)]
    pub targets: Vec<HeardTarget>,
    /// Whether the sender has no view of its own yet, and wants the receiver's targets.
    #[serde(default)]
    pub wants_targets: bool,
    /// Whether the sender is about to stop, so that nothing is to be sent to it.
    #[serde(default)]
    pub is_stopping: bool,
}

/// A target as another entry heard it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeardTarget {
    /// Its last announcement.
    pub announcement: Announcement,
    /// How long ago that was.
    pub age: Duration,
}

/// What a companion answers to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RevokeReply {
    /// The request never started here, and now never will.
    NeverStarted,
    /// The request runs.
    Running,
    /// The request has run.
    Done,
    /// The request may have run and been forgotten since.
    Forgotten,
    /// Another life of the companion took the call: it can tell nothing.
    WrongIncarnation,
}
