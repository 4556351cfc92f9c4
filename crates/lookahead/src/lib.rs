//! Looks ahead at waiting tasks and at room that will be free soon.
//!
//! Answers small tasks that stream into every gap while a large one, which comes before them, fits
//! nowhere: the large one gets a reservation on the worker that has room for it first, and the others
//! use that room only if they likely end before, or leave enough.

use std::hash::Hash;

use base::prelude::*;

/// How long a reservation lasts at most: well below the three seconds after which a job that could
/// be placed counts as forgotten.
pub const MAX_HOLD: Duration = Duration::from_millis(1500);

/// How long a task gets no reservation after one that expired.
pub const PAUSE: Duration = Duration::from_millis(1500);

/// How much earlier another worker has to have room for a reservation to move there.
pub const BETTER_BY: Duration = Duration::from_millis(300);

/// One in this many workers may be reserved.
pub const WORKERS_PER_RESERVATION: usize = 10;

/// Resources that a running task is expected to release.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// When.
    pub at: Instant,
    /// How much.
    pub resources: Resources,
}

/// What a worker has free now and soon.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// What is free now.
    pub free: Resources,
    /// What will be released.
    pub releases: Vec<Release>,
}

impl Room {
    /// Returns what is free at a time if nothing starts until then.
    pub fn at(&self, at: Instant) -> Resources {
        let released = self.releases.iter().filter(|r| r.at <= at);
        released.fold(self.free, |free, release| free + release.resources)
    }

    /// Returns when the room first suffices.
    pub fn earliest(&self, now: Instant, need: &Resources) -> Option<Instant> {
        if need.fits(&self.free) {
            return Some(now);
        }
        let mut releases: Vec<&Release> = self.releases.iter().collect();
        releases.sort_by_key(|r| r.at);
        let mut free = self.free;
        let first = releases.into_iter().find(|release| {
            free += release.resources;
            need.fits(&free)
        });
        first.map(|release| release.at.max(now))
    }
}

/// Room on a worker that is kept for a task.
#[derive(Clone, Debug)]
pub struct Reservation<K, U> {
    /// The task.
    pub task: K,
    /// Its urgency; the least value goes first.
    pub urgency: U,
    /// What it needs.
    pub need: Resources,
    /// When it is expected to start.
    pub starts: Instant,
    /// When the reservation expires.
    pub until: Instant,
}

impl<K, U: Ord> Reservation<K, U> {
    /// Returns true if another task may start on the worker: it is more urgent, likely ends before the
    /// reserved time, or leaves enough room then.
    pub fn admits(&self, urgency: &U, need: Resources, likely_end: Instant, room: &Room) -> bool {
        *urgency < self.urgency
            || likely_end <= self.starts
            || (need + self.need).fits(&room.at(self.starts))
    }
}

/// The reservations, one a worker at most.
#[derive(Clone, Debug)]
pub struct Reservations<K, U> {
    by_worker: IndexMap<Name, Reservation<K, U>>,
    /// Tasks whose reservation expired, with the time until which they get none.
    paused: IndexMap<K, Instant>,
}

impl<K, U> Default for Reservations<K, U> {
    fn default() -> Self {
        Self {
            by_worker: IndexMap::new(),
            paused: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, U: Ord> Reservations<K, U> {
    /// Returns the reservation on a worker.
    pub fn on(&self, worker: &Name) -> Option<&Reservation<K, U>> {
        self.by_worker.get(worker)
    }

    /// Returns the worker that is reserved for a task.
    pub fn worker_of(&self, task: &K) -> Option<&Name> {
        let mut reservations = self.by_worker.iter();
        let found = reservations.find(|(_, r)| r.task == *task);
        found.map(|(worker, _)| worker)
    }

    /// Returns how many workers are reserved.
    pub fn len(&self) -> usize {
        self.by_worker.len()
    }

    /// Returns true if no worker is reserved.
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// Gives up reservations that have expired and those that are not wanted any more: the task does
    /// not wait, or the worker does not take it.
    pub fn retain(&mut self, now: Instant, is_wanted: impl Fn(&Name, &Reservation<K, U>) -> bool) {
        self.paused.retain(|_, until| *until > now);
        let paused = &mut self.paused;
        self.by_worker.retain(|worker, reservation| {
            if reservation.until <= now {
                paused.insert(reservation.task.clone(), now + PAUSE);
                return false;
            }
            is_wanted(worker, reservation)
        });
    }

    /// Reserves the worker with the earliest start for a task that fits nowhere now; `starts` has the
    /// workers that take it, of `workers` in all. Returns true if it has a reservation then.
    pub fn reserve(
        &mut self,
        now: Instant,
        (task, urgency, need): (K, U, Resources),
        starts: &[(Name, Instant)],
        workers: usize,
    ) -> bool {
        if self.paused.contains_key(&task) {
            return false;
        }
        let held = self.worker_of(&task).cloned();
        let free = starts
            .iter()
            .filter(|(worker, _)| held.as_ref() == Some(worker) || self.on(worker).is_none());
        let Some((worker, at)) = free.min_by_key(|(_, at)| *at) else {
            return held.is_some_and(|held| self.by_worker.swap_remove(&held).is_none());
        };
        let mut until = now + MAX_HOLD;
        if let Some(held) = &held {
            let held_start = starts.iter().find(|(worker, _)| worker == held);
            let until_before = self.on(held).map(|r| r.until);
            until = until_before.unwrap_or(until);
            if let Some((_, held_start)) = held_start
                && *at + BETTER_BY >= *held_start
            {
                if let Some(reservation) = self.by_worker.get_mut(held) {
                    reservation.starts = *held_start;
                    reservation.urgency = urgency;
                }
                return true;
            }
            self.by_worker.swap_remove(held);
        }
        if self.len() >= workers.div_ceil(WORKERS_PER_RESERVATION) || *at > until {
            return false;
        }
        let reservation = Reservation {
            task,
            urgency,
            need,
            starts: *at,
            until,
        };
        self.by_worker.insert(Arc::clone(worker), reservation);
        true
    }
}
