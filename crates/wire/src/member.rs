//! Messages about the membership of entries and targets.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tables::TablesDoc;

/// The state of a target: whether it takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new work.
    Serving,
    /// It finishes its work in progress and takes no more.
    Leaving,
}

/// A companion's announcement of its target and worker to the entries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The target.
    pub target: TargetId,
    /// The worker VM that the target and its batch tasks run on.
    pub worker: WorkerId,
    /// The incarnation of the companion.
    pub incarnation: Incarnation,
    /// How long this incarnation has been running, by its own clock.
    pub uptime: Duration,
    /// The number of the announcement within the incarnation, so that late ones are dropped.
    pub sequence: u64,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The companion's address for requests.
    pub http_addr: SocketAddr,
    /// The companion's address for control calls.
    pub rpc_addr: SocketAddr,
    /// The number of requests that the target runs at once.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// The worker's capacity.
    pub capacity: Resources,
    /// The state of the target.
    pub state: TargetState,
    /// The number of requests in progress.
    pub in_flight: u32,
    /// The generation of the configuration tables that the companion applies.
    pub generation: Generation,
}

/// An entry's reply to an [`Announcement`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The generation of the configuration tables that the entry applies.
    pub generation: Generation,
    /// The configuration tables, if the companion's generation is lower.
    pub tables: Option<TablesDoc>,
    /// The entries that are known to be alive, including this one.
    pub entries: Vec<EntryInfo>,
    /// The owners of the shards.
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
    /// Its address for callers' requests.
    pub http_addr: SocketAddr,
    /// Its address for control calls.
    pub rpc_addr: SocketAddr,
    /// The generation of the configuration tables that it applies.
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
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The owner.
    pub entry: EntryId,
    /// The owner's address for control calls.
    pub rpc_addr: SocketAddr,
}

/// The state that entries exchange; the response is a `Gossip` of the receiver.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: EntryInfo,
    /// Other entries that the sender recently learned to be alive.
    pub entries: Vec<EntryInfo>,
    /// The owners of the shards that the sender knows.
    pub owners: Vec<ShardOwner>,
    /// Targets known to be leaving, with the incarnation of their companion.
    pub leaving: Vec<(TargetId, Incarnation)>,
    /// The demand on each limit (of a route, team or desk) in requests per second, by which entries
    /// split the limit.
    pub demand: Vec<(Name, f64)>,
    /// The configuration tables, if the sender believes that the receiver has a lower generation.
    pub tables: Option<TablesDoc>,
    /// The sender's targets, if the receiver requested them.
    #[serde(default)]
    pub targets: Vec<HeardTarget>,
    /// True if the sender has no view of its own yet and requests the receiver's targets.
    #[serde(default)]
    pub wants_targets: bool,
    /// True if the sender is about to stop, so that the receiver should send it nothing more.
    #[serde(default)]
    pub is_stopping: bool,
}

/// A target as another entry knows it from its announcements.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeardTarget {
    /// Its last announcement.
    pub announcement: Announcement,
    /// The age of that announcement.
    pub age: Duration,
}

/// A companion's reply to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RevokeReply {
    /// The request has not started here and never will.
    NeverStarted,
    /// The request is running.
    Running,
    /// The request has run.
    Done,
    /// The request may have run; the companion no longer keeps a record of it.
    Forgotten,
    /// The call reached another incarnation of the companion, which does not know the outcome.
    WrongIncarnation,
}
