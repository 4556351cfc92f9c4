//! One entry's view of the fleet: targets, other entries, owners of shards.

use std::net::SocketAddr;

use base::prelude::*;
use tables::TablesDoc;
use wire::timing::ANNOUNCE_TTL;
use wire::{Announcement, EntryInfo, Gossip, HeardTarget, ShardOwner, TargetState};

/// How long an entry counts as there after it was last heard.
const ENTRY_TTL: Duration = Duration::from_secs(5);

/// How long a target that left is told to other entries.
const LEFT_TTL: Duration = Duration::from_secs(60);

/// How long an entry without peers waits for companions to announce themselves.
const FIRST_VIEW: Duration = Duration::from_secs(3);

/// How many entries are asked because another one heard of them.
const MAX_HINTS: usize = 64;

/// How often such an entry may fail to answer.
const MAX_FAILURES: u32 = 3;

/// What an announcement tells that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A target that was not known, or a new life of its companion.
    New,
    /// Something later of a known life.
    Later,
    /// Nothing: something later was heard before.
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

/// Who is there, as far as one entry knows.
#[derive(Debug)]
pub struct View {
    me: EntryId,
    began: Instant,
    seeds: Vec<SocketAddr>,
    /// Entries that others heard of, with how often they did not answer.
    hints: IndexMap<SocketAddr, u32>,
    targets: IndexMap<TargetId, Target>,
    entries: IndexMap<EntryId, Entry>,
    owners: IndexMap<ShardId, ShardOwner>,
    left: IndexMap<TargetId, Left>,
    has_peer_view: bool,
}

impl View {
    /// Creates an empty view; `seeds` are control addresses of entries to ask first.
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

    /// Takes a companion's announcement.
    pub fn announced(&mut self, now: Instant, announcement: &Announcement) -> Heard {
        self.announced_at(now, now, announcement)
    }

    fn announced_at(&mut self, now: Instant, at: Instant, announcement: &Announcement) -> Heard {
        let known = self.targets.get(&announcement.target);
        let same_life = known
            .filter(|t| t.announcement.incarnation == announcement.incarnation)
            .map(|t| t.announcement.sequence);
        let heard = match same_life {
            Some(sequence) if sequence >= announcement.sequence => return Heard::Stale,
            Some(_) => Heard::Later,
            None => Heard::New,
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
        heard
    }

    /// Returns a target's announcement, with its state as known here.
    pub fn target(&self, target: &TargetId) -> Option<&Announcement> {
        self.targets.get(target).map(|t| &t.announcement)
    }

    /// Returns the announcements of all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|t| &t.announcement)
    }

    /// Marks a life of a target as leaving; `false` if that was known.
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

    /// Forgets what was not heard for long; returns the targets that fell silent.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.entries.retain(|_, entry| age(entry.at) <= ENTRY_TTL);
        self.left.retain(|_, left| age(left.at) <= LEFT_TTL);
        let silent: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| age(target.at) > ANNOUNCE_TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for target in &silent {
            self.targets.swap_remove(target);
        }
        silent
    }

    /// Takes the entries that are present in the store.
    pub fn present(&mut self, now: Instant, entries: Vec<EntryInfo>) {
        for info in entries {
            self.heard_entry(now, info);
        }
    }

    fn heard_entry(&mut self, now: Instant, info: EntryInfo) {
        if info.entry != self.me {
            let entry = Entry { info, at: now };
            self.entries.insert(entry.info.entry.clone(), entry);
        }
    }

    /// Returns the other entries that were heard of lately.
    pub fn entries(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values().map(|entry| &entry.info)
    }

    /// Returns the owners of shards, as far as known.
    pub fn owners(&self) -> &IndexMap<ShardId, ShardOwner> {
        &self.owners
    }

    /// Takes owners of shards; the highest term wins. Returns whether any is new.
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

    /// Returns the control addresses of the entries to tell what is known here.
    pub fn peers(&self, my_addr: SocketAddr) -> IndexSet<SocketAddr> {
        let known = self.entries().map(|info| info.rpc_addr);
        let seeds = self.seeds.iter().copied();
        let hints = self.hints.keys().copied();
        let mut peers: IndexSet<SocketAddr> = known.chain(seeds).chain(hints).collect();
        peers.swap_remove(&my_addr);
        peers
    }

    /// Returns what is told to another entry, with the targets where it lacks them.
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

    /// Takes what another entry told of itself and others; returns the targets that are new here.
    ///
    /// Only what an entry tells of itself keeps it in the view: entries that repeat
    /// one another's words cannot keep a lost one alive.
    pub fn merge(&mut self, now: Instant, gossip: &Gossip, is_answer: bool) -> Vec<Announcement> {
        if gossip.is_stopping {
            self.entries.swap_remove(&gossip.from.entry);
        } else {
            self.heard_entry(now, gossip.from.clone());
        }
        for info in &gossip.entries {
            if info.entry != self.me && !self.entries.contains_key(&info.entry) && is_answer {
                self.hint_at(info.rpc_addr);
            }
        }
        for (target, incarnation) in &gossip.leaving {
            self.mark_left(now, target, *incarnation);
        }
        self.has_peer_view |= is_answer && !gossip.wants_targets;
        let mut news = Vec::new();
        for HeardTarget { announcement, age } in &gossip.targets {
            let at = now.checked_sub(*age).unwrap_or(now);
            let is_known = self.targets.contains_key(&announcement.target);
            if !is_known && self.announced_at(now, at, announcement) == Heard::New {
                news.extend(self.target(&announcement.target).cloned());
            }
        }
        news
    }

    /// Takes up an entry that another one heard of, to be asked itself.
    fn hint_at(&mut self, addr: SocketAddr) {
        if self.hints.len() < MAX_HINTS {
            self.hints.entry(addr).or_insert(0);
        }
    }

    /// Takes notice that an entry did not answer.
    pub fn not_answered(&mut self, addr: SocketAddr) {
        if let Some(failures) = self.hints.get_mut(&addr) {
            *failures += 1;
            if *failures >= MAX_FAILURES {
                self.hints.swap_remove(&addr);
            }
        }
    }

    /// Tells whether the view can be routed by: a peer's was taken in, or there was time to build one.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.has_peer_view || now.saturating_duration_since(self.began) >= FIRST_VIEW
    }
}
