//! Waiting jobs, grouped by what decides their placement, so that only the first of a group is
//! tried.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use base::prelude::*;
use tables::Priority;

use crate::cfg::QueueCfg;
use crate::interference::ClassId;
use crate::types::PlacementRequest;

/// The order within one team and priority: when a job is due, then arrival.
pub(crate) type Due = (Instant, u64);

/// What the jobs of one lane have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    class: ClassId,
    resources: Resources,
    standing: bool,
    /// Set for a job that has failed: it has a lane of its own, since it may run on fewer workers.
    retry: Option<JobId>,
}

/// A waiting job.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: PlacementRequest,
    pub(crate) class: ClassId,
    /// The current priority, which aging raises from low to normal.
    pub(crate) priority: Priority,
    pub(crate) due: Due,
    pub(crate) since: Instant,
    /// Since when it is held back to protect services.
    pub(crate) held_back: Option<Instant>,
    /// Since when it has been first in its lane without finding capacity.
    pub(crate) blocked: Option<Instant>,
    /// A human-readable reason why it waits.
    pub(crate) reason: Option<Name>,
    /// Its state in the queue.
    pub(crate) state: WaitState,
}

/// The state of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitState {
    /// In its lane.
    Lane,
    /// Its placement is pending.
    Pending,
    /// It waits for a large enough worker to join.
    Parked,
}

/// Jobs of one team and priority, in lanes of like jobs.
#[derive(Debug, Default)]
struct Lanes {
    lanes: IndexMap<Shape, BTreeMap<Due, JobId>>,
    heads: BTreeMap<Due, Shape>,
}

/// All waiting jobs.
#[derive(Debug)]
pub(crate) struct Queue {
    cfg: QueueCfg,
    pub(crate) jobs: IndexMap<JobId, Waiting>,
    teams: [IndexMap<TeamName, Lanes>; 3],
    parked: IndexSet<JobId>,
    aging: BTreeSet<(Instant, JobId)>,
    /// When each unfinished job was first queued, so that an evicted one keeps its place in the
    /// queue.
    first_queued: IndexMap<JobId, Instant>,
    arrivals: u64,
}

impl Lanes {
    fn insert(&mut self, shape: Shape, due: Due, job: JobId) {
        let lane = self.lanes.entry(shape.clone()).or_default();
        if let Some((&head, _)) = lane.first_key_value() {
            if head < due {
                lane.insert(due, job);
                return;
            }
            self.heads.remove(&head);
        }
        lane.insert(due, job);
        self.heads.insert(due, shape);
    }

    fn remove(&mut self, shape: &Shape, due: &Due) {
        let Some(lane) = self.lanes.get_mut(shape) else {
            return;
        };
        lane.remove(due);
        if self.heads.remove(due).is_none() {
            return;
        }
        match lane.first_key_value() {
            Some((&head, _)) => {
                self.heads.insert(head, shape.clone());
            }
            None => {
                self.lanes.swap_remove(shape);
            }
        }
    }

    fn next_after(&self, after: Option<Due>) -> Option<(Due, &JobId)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let (due, shape) = self.heads.range((from, Bound::Unbounded)).next()?;
        Some((*due, self.lanes.get(shape)?.get(due)?))
    }
}

impl Queue {
    pub(crate) fn new(cfg: QueueCfg) -> Self {
        Self {
            cfg,
            jobs: IndexMap::new(),
            teams: Default::default(),
            parked: IndexSet::new(),
            aging: BTreeSet::new(),
            first_queued: IndexMap::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn add(
        &mut self,
        now: Instant,
        request: PlacementRequest,
        class: ClassId,
        parked: bool,
    ) {
        self.remove(&request.job);
        self.arrivals += 1;
        let first = *self.first_queued.entry(request.job.clone()).or_insert(now);
        // Standing work is due when first queued: it serves callers as soon as it runs and
        // has no finish time to plan for.
        let due = match (request.finish_by, request.run_time) {
            (Some(by), _) => by,
            (None, None) => first,
            (None, Some(_)) => first + self.cfg.implicit_deadline,
        };
        let job = request.job.clone();
        let waiting = Waiting {
            class,
            priority: request.priority,
            due: (due, self.arrivals),
            since: now,
            held_back: None,
            blocked: None,
            reason: None,
            state: WaitState::Pending,
            request,
        };
        if waiting.priority == Priority::Low {
            self.aging.insert((now + self.cfg.aging, job.clone()));
        }
        self.jobs.insert(job.clone(), waiting);
        if parked {
            self.park(&job);
        } else {
            self.make_ready(&job);
        }
    }

    pub(crate) fn remove(&mut self, job: &JobId) -> Option<Waiting> {
        self.detach(job);
        let waiting = self.jobs.swap_remove(job)?;
        if waiting.priority == Priority::Low {
            let aged = waiting.since + self.cfg.aging;
            self.aging.remove(&(aged, job.clone()));
        }
        Some(waiting)
    }

    /// Forgets when a job was first queued.
    pub(crate) fn forget(&mut self, job: &JobId) {
        self.first_queued.swap_remove(job);
    }

    /// Puts a job into its lane.
    pub(crate) fn make_ready(&mut self, job: &JobId) {
        self.detach(job);
        let Some(waiting) = self.jobs.get_mut(job) else {
            return;
        };
        waiting.state = WaitState::Lane;
        let team = waiting.request.team.clone();
        let (shape, due) = (shape_of(waiting), waiting.due);
        let lanes = self.teams[rank(waiting.priority)].entry(team).or_default();
        lanes.insert(shape, due, job.clone());
    }

    /// Parks a job until a large enough worker joins.
    pub(crate) fn park(&mut self, job: &JobId) {
        self.detach(job);
        if let Some(waiting) = self.jobs.get_mut(job) {
            waiting.state = WaitState::Parked;
            self.parked.insert(job.clone());
        }
    }

    /// Removes a job from its lane while its placement is pending.
    pub(crate) fn make_pending(&mut self, job: &JobId) {
        self.detach(job);
    }

    fn detach(&mut self, job: &JobId) {
        let Some(waiting) = self.jobs.get_mut(job) else {
            return;
        };
        let was = std::mem::replace(&mut waiting.state, WaitState::Pending);
        match was {
            WaitState::Pending => {}
            WaitState::Parked => {
                self.parked.swap_remove(job);
            }
            WaitState::Lane => {
                let shape = shape_of(waiting);
                let teams = &mut self.teams[rank(waiting.priority)];
                if let Some(lanes) = teams.get_mut(&waiting.request.team) {
                    lanes.remove(&shape, &waiting.due);
                    if lanes.heads.is_empty() {
                        teams.swap_remove(&waiting.request.team);
                    }
                }
            }
        }
    }

    /// Raises low-priority jobs that have waited long enough to normal priority.
    pub(crate) fn age(&mut self, now: Instant) {
        while let Some((at, job)) = self.aging.first().cloned()
            && at <= now
        {
            self.aging.pop_first();
            let Some(state) = self.jobs.get(&job).map(|waiting| waiting.state) else {
                continue;
            };
            self.detach(&job);
            if let Some(waiting) = self.jobs.get_mut(&job) {
                waiting.priority = Priority::Normal;
            }
            match state {
                WaitState::Lane => self.make_ready(&job),
                WaitState::Parked => self.park(&job),
                WaitState::Pending => {}
            }
        }
    }

    /// Returns the teams with jobs in lanes at a priority.
    pub(crate) fn teams(&self, priority: Priority) -> Vec<TeamName> {
        self.teams[rank(priority)].keys().cloned().collect()
    }

    /// Returns the first job of the team's first lane that comes after `after`.
    pub(crate) fn next(
        &self,
        priority: Priority,
        team: &TeamName,
        after: Option<Due>,
    ) -> Option<(Due, JobId)> {
        let lanes = self.teams[rank(priority)].get(team)?;
        let (due, job) = lanes.next_after(after)?;
        Some((due, job.clone()))
    }

    /// Returns the classes of the jobs in lanes, some more than once.
    pub(crate) fn classes(&self) -> impl Iterator<Item = ClassId> {
        let teams = self.teams.iter().flat_map(IndexMap::values);
        teams.flat_map(|lanes| lanes.lanes.keys().map(|shape| shape.class))
    }

    /// Returns up to `most` first jobs of the lane that a job is in.
    pub(crate) fn lane_of(&self, job: &JobId, most: usize) -> Vec<JobId> {
        let Some(waiting) = self.jobs.get(job) else {
            return Vec::new();
        };
        let lanes = self.teams[rank(waiting.priority)].get(&waiting.request.team);
        lanes
            .and_then(|lanes| lanes.lanes.get(&shape_of(waiting)))
            .map(|lane| lane.values().take(most).cloned().collect())
            .unwrap_or_default()
    }

    pub(crate) fn parked(&self) -> &IndexSet<JobId> {
        &self.parked
    }

    /// Returns for how long a job has found no capacity; starts the measurement on the first call.
    pub(crate) fn blocked_for(&mut self, now: Instant, job: &JobId) -> Duration {
        let waiting = self.jobs.get_mut(job);
        let since = waiting.map(|waiting| *waiting.blocked.get_or_insert(now));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records that a job is held back to protect services.
    pub(crate) fn note_held_back(&mut self, now: Instant, job: &JobId) {
        if let Some(waiting) = self.jobs.get_mut(job) {
            waiting.held_back.get_or_insert(now);
        }
    }

    /// Returns why a job waits: its own reason, or that of the first job in its lane.
    pub(crate) fn reason(&self, job: &JobId) -> Option<Name> {
        let waiting = self.jobs.get(job)?;
        if waiting.reason.is_some() || waiting.state != WaitState::Lane {
            return waiting.reason.clone();
        }
        let first = self.lane_of(job, 1).pop()?;
        self.jobs.get(&first)?.reason.clone()
    }

    /// Sets the reason why a job waits.
    pub(crate) fn set_reason(&mut self, job: &JobId, reason: Name) {
        if let Some(waiting) = self.jobs.get_mut(job) {
            waiting.reason = Some(reason);
        }
    }
}

fn rank(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}

fn shape_of(waiting: &Waiting) -> Shape {
    Shape {
        class: waiting.class,
        resources: waiting.request.resources,
        standing: waiting.request.run_time.is_none(),
        retry: (waiting.request.failures > 0).then(|| waiting.request.job.clone()),
    }
}
