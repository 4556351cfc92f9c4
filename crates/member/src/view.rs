//! One entry's view of the fleet: targets, other entries, owners of shards.

use std::net::SocketAddr;

use base::prelude::*;
use tables::TablesDoc;
use wire::timing::ANNOUNCE_TTL;
use wire::{Announcement, EntryInfo, Gossip, HeardTarget, ShardOwner, TargetState};

/// How long an entry stays in the view after its last gossip or presence record.
const ENTRY_TTL: Duration = Duration::from_secs(5);

/// How long a leaving target is passed on to other entries.
const LEFT_TTL: Duration = Duration::from_secs(60);

/// How long an entry without peers waits for the announcements of companions.
const FIRST_VIEW_WAIT: Duration = Duration::from_secs(3);

/// The maximum number of entries to contact that are known only from another entry's gossip.
const MAX_HINTS: usize = 64;

/// The number of failures to respond after which such an entry is dropped.
const MAX_FAILURES: u32 = 3;

/// How an announcement relates to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The target is unknown, or its companion has a new incarnation.
    New,
    /// The announcement is later than the known one of the same incarnation.
    Later,
    /// The announcement is not later than the known one and was ignored.
    Stale,
}

#[derive(Debug)]
struct Target {
    announcement: Announcement,
    at: Instant,
}

#[derive(Debug)]
struct Entry {
    info: EntryInfo,
    at: Instant,
}

#[derive(Debug)]
struct Left {
    incarnation: Incarnation,
    at: Instant,
}

/// One entry's view of the fleet.
#[derive(Debug)]
pub struct View {
    me: EntryId,
    began: Instant,
    seeds: Vec<SocketAddr>,
    /// Entries that are known only from gossip, with the number of failures to respond.
    hints: IndexMap<SocketAddr, u32>,
    targets: IndexMap<TargetId, Target>,
    entries: IndexMap<EntryId, Entry>,
    owners: IndexMap<ShardId, ShardOwner>,
    left: IndexMap<TargetId, Left>,
    has_peer_view: bool,
}

impl View {
    /// Creates an empty view; `seeds` are the control addresses of the entries to contact first.
    pub fn new(now: Instant, me: EntryId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            began: now,
            seeds,
            hints: IndexMap::new(),
            targets: IndexMap::new(),
            entries: IndexMap::new(),
            owners: IndexMap::new(),
            left: IndexMap::new(),
            has_peer_view: false,
        }
    }

    /// Records a companion's announcement.
    pub fn record_announcement(&mut self, now: Instant, announcement: &Announcement) -> Freshness {
        self.record_announcement_at(now, now, announcement)
    }

    fn record_announcement_at(
        &mut self,
        now: Instant,
        at: Instant,
        announcement: &Announcement,
    ) -> Freshness {
        let known = self.targets.get(&announcement.target);
        let known_sequence = known
            .filter(|t| t.announcement.incarnation == announcement.incarnation)
            .map(|t| t.announcement.sequence);
        let freshness = match known_sequence {
            Some(sequence) if sequence >= announcement.sequence => return Freshness::Stale,
            Some(_) => Freshness::Later,
            None => Freshness::New,
        };
        if announcement.state == TargetState::Leaving {
            self.mark_left(now, &announcement.target, announcement.incarnation);
        }
        let mut announcement = announcement.clone();
        if self.has_left(&announcement.target, announcement.incarnation) {
            announcement.state = TargetState::Leaving;
        }
        let target = Target { announcement, at };
        self.targets
            .insert(target.announcement.target.clone(), target);
        freshness
    }

    /// Returns a target's latest announcement, with the state as known here.
    pub fn target(&self, target: &TargetId) -> Option<&Announcement> {
        self.targets.get(target).map(|t| &t.announcement)
    }

    /// Returns the latest announcements of all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|t| &t.announcement)
    }

    /// Marks an incarnation of a target as leaving; returns false if that was known.
    pub fn mark_left(&mut self, now: Instant, target: &TargetId, incarnation: Incarnation) -> bool {
        if self.has_left(target, incarnation) {
            return false;
        }
        let left = Left {
            incarnation,
            at: now,
        };
        self.left.insert(target.clone(), left);
        let known = self.targets.get_mut(target);
        if let Some(found) = known.filter(|t| t.announcement.incarnation == incarnation) {
            found.announcement.state = TargetState::Leaving;
        }
        true
    }

    fn has_left(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        let left = self.left.get(target);
        left.is_some_and(|left| left.incarnation == incarnation)
    }

    /// Removes entries, targets and marks of leaving targets that are past their time to live;
    /// returns the removed targets.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.entries.retain(|_, entry| age(entry.at) <= ENTRY_TTL);
        self.left.retain(|_, left| age(left.at) <= LEFT_TTL);
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| age(target.at) > ANNOUNCE_TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for target in &expired {
            self.targets.swap_remove(target);
        }
        expired
    }

    /// Records the entries that are present in the store.
    pub fn record_entries(&mut self, now: Instant, entries: Vec<EntryInfo>) {
        for info in entries {
            self.record_entry(now, info);
        }
    }

    fn record_entry(&mut self, now: Instant, info: EntryInfo) {
        if info.entry != self.me {
            let entry = Entry { info, at: now };
            self.entries.insert(entry.info.entry.clone(), entry);
        }
    }

    /// Returns the other entries in the view.
    pub fn entries(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values().map(|entry| &entry.info)
    }

    /// Returns the known owners of shards.
    pub fn owners(&self) -> &IndexMap<ShardId, ShardOwner> {
        &self.owners
    }

    /// Records owners of shards, of which the highest epoch wins; returns true if any is new.
    pub fn merge_owners(&mut self, owners: impl IntoIterator<Item = ShardOwner>) -> bool {
        let mut is_new = false;
        for owner in owners {
            let known = self.owners.get(&owner.shard);
            if known.is_none_or(|known| known.epoch < owner.epoch) {
                is_new = true;
                self.owners.insert(owner.shard, owner);
            }
        }
        is_new
    }

    /// Returns the control addresses of the entries to gossip with.
    pub fn peers(&self, my_addr: SocketAddr) -> IndexSet<SocketAddr> {
        let known = self.entries().map(|info| info.rpc_addr);
        let seeds = self.seeds.iter().copied();
        let hints = self.hints.keys().copied();
        let mut peers: IndexSet<SocketAddr> = known.chain(seeds).chain(hints).collect();
        peers.swap_remove(&my_addr);
        peers
    }

    /// Returns the gossip for another entry, with the targets if `with_targets` is set.
    pub fn gossip(&self, now: Instant, from: EntryInfo, with_targets: bool) -> Gossip {
        let targets = self.targets.values().map(|target| HeardTarget {
            announcement: target.announcement.clone(),
            age: now.saturating_duration_since(target.at),
        });
        Gossip {
            from,
            entries: self.entries().cloned().collect(),
            owners: self.owners.values().cloned().collect(),
            leaving: self
                .left
                .iter()
                .map(|(target, left)| (target.clone(), left.incarnation))
                .collect(),
            demand: Vec::new(),
            tables: None::<TablesDoc>,
            targets: targets.filter(|_| with_targets).collect(),
            wants_targets: !self.is_ready(now),
            is_stopping: false,
        }
    }

    /// Merges another entry's gossip into the view; returns the targets that are new here.
    ///
    /// Only what an entry itself reports, by gossip or in the store, keeps it in the view, so that
    /// entries that repeat what others said cannot keep a lost one alive.
    pub fn merge(&mut self, now: Instant, gossip: &Gossip, is_reply: bool) -> Vec<Announcement> {
        if gossip.is_stopping {
            self.entries.swap_remove(&gossip.from.entry);
        } else {
            self.record_entry(now, gossip.from.clone());
        }
        for info in &gossip.entries {
            if info.entry != self.me && !self.entries.contains_key(&info.entry) && is_reply {
                self.add_hint(info.rpc_addr);
            }
        }
        for (target, incarnation) in &gossip.leaving {
            self.mark_left(now, target, *incarnation);
        }
        self.has_peer_view |= is_reply && !gossip.wants_targets;
        let mut new_targets = Vec::new();
        for HeardTarget { announcement, age } in &gossip.targets {
            let at = now.checked_sub(*age).unwrap_or(now);
            let is_known = self.targets.contains_key(&announcement.target);
            if !is_known && self.record_announcement_at(now, at, announcement) == Freshness::New {
                new_targets.extend(self.target(&announcement.target).cloned());
            }
        }
        new_targets
    }

    /// Adds the address of an entry that is known only from another entry's gossip.
    fn add_hint(&mut self, addr: SocketAddr) {
        if self.hints.len() < MAX_HINTS {
            self.hints.entry(addr).or_insert(0);
        }
    }

    /// Records that an entry did not respond.
    pub fn record_failure(&mut self, addr: SocketAddr) {
        if let Some(failures) = self.hints.get_mut(&addr) {
            *failures += 1;
            if *failures >= MAX_FAILURES {
                self.hints.swap_remove(&addr);
            }
        }
    }

    /// Returns true if the view is complete enough for routing: a peer's view was merged, or there
    /// was time to build one from announcements.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.has_peer_view || now.saturating_duration_since(self.began) >= FIRST_VIEW_WAIT
    }
}
