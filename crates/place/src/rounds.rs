//! One round of decisions: the periodic work first, then the waiting jobs in their order.

use base::prelude::*;
use tables::Priority;

use crate::cfg::Choice;
use crate::choose::{Blocked, Candidate, Eligibility};
use crate::interference::ClassId;
use crate::placer::Placer;
use crate::queue::{Due, WaitState};
use crate::rows::Pending;
use crate::types::{Decision, EvictReason};

/// The interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which waiting jobs are retried, since estimates decay with time.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum age of a service's sample that counts towards the common slowdown.
const COMMON_SAMPLE_MAX_AGE: Duration = Duration::from_secs(60);
/// For how many urgent jobs of one lane a single attempt pre-empts tasks.
const MAX_URGENT_PER_ATTEMPT: usize = 64;

/// Where the last round stopped in each team's lanes, if it reached its scan or skip limit.
#[derive(Debug, Default)]
pub(crate) struct Cursors {
    at: IndexMap<(Priority, Eligibility, TeamName), Due>,
}

/// The remaining limits of one pass over the queue, and the kinds of jobs it could not place.
#[derive(Debug)]
struct Pass {
    priority: Priority,
    eligibility: Eligibility,
    scans_left: usize,
    skips_left: usize,
    /// Kinds of jobs without a feasible worker; free capacity only shrinks within a pass.
    infeasible: IndexMap<Kind, Blocked>,
}

/// The properties that decide whether a job can be placed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kind {
    class: ClassId,
    granted: Resources,
    standing: bool,
    selective: bool,
    deferrable: bool,
    probe: bool,
}

/// A team's turn within one round.
#[derive(Debug)]
struct Turn {
    team: TeamName,
    ratio: f64,
    after: Option<Due>,
}

impl Placer {
    /// Returns at most `limit` decisions; the next call returns the rest.
    ///
    /// The resources of a placement are allocated at once.
    pub fn decide(&mut self, now: Instant, limit: usize) -> Vec<Decision> {
        let mut out = std::mem::take(&mut self.backlog);
        out.retain(|decision| self.is_current(decision));
        let due = self
            .last_tick
            .is_none_or(|last| now.saturating_duration_since(last) >= TICK_INTERVAL);
        if due {
            self.tick(now, &mut out);
        }
        if self.dirty && out.len() < limit {
            self.dirty = false;
            self.place_reserved(now, limit, &mut out);
            self.place_waiting(now, limit, &mut out);
        }
        if out.len() > limit {
            self.backlog = out.split_off(limit);
        }
        out
    }

    fn is_current(&self, decision: &Decision) -> bool {
        match decision {
            Decision::Place { job, .. } => self.ledger.pending.contains_key(job),
            Decision::Throttle { key, .. } | Decision::Evict { key, .. } => {
                self.ledger.tasks.contains_key(key)
            }
        }
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Instant, out: &mut Vec<Decision>) {
        self.last_tick = Some(now);
        let retry = self
            .last_retry
            .is_none_or(|last| now.saturating_duration_since(last) >= RETRY_INTERVAL);
        if retry {
            self.last_retry = Some(now);
            self.dirty = true;
            self.update_eligibility_thresholds(now);
        }
        self.update_discovered(now);
        self.queue.age(now);
        for job in self.reservations.expired(now) {
            self.release(&job);
        }
        let quarantined: Vec<_> = self.health.quarantined().iter().cloned().collect();
        for worker in quarantined {
            self.reindex(now, &worker);
        }
        self.common_slowdown
            .update(now, &self.ledger, COMMON_SAMPLE_MAX_AGE);
        self.process_service_samples(now);
        self.repeat_evictions(now, out);
        self.evict_outgrown(now, out);
        self.evacuate(now, out);
        self.update_escalations(now, out);
    }

    /// Repeats evictions that had no effect.
    fn repeat_evictions(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let wait = self.cfg.queue.evict_retry;
        for (key, (why, decided)) in &mut self.evicting {
            if now.saturating_duration_since(*decided) >= wait {
                *decided = now;
                let (key, why) = (key.clone(), *why);
                out.push(Decision::Evict { key, why });
            }
        }
    }

    /// Evicts the tasks of leaving workers, except those about to end.
    fn evacuate(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for worker in self.leaving.clone() {
            let keys: Vec<_> = self
                .tasks_on(&worker)
                .filter(|task| task.evicting.is_none())
                .filter(|task| !self.is_ending(now, task, Duration::ZERO))
                .map(|task| task.task.key.clone())
                .collect();
            for key in keys {
                self.evict(now, &key, EvictReason::Leaving, out);
            }
        }
    }

    /// Places the jobs with a reservation whose capacity has become free.
    fn place_reserved(&mut self, now: Instant, limit: usize, out: &mut Vec<Decision>) {
        for job in self.reservations.jobs() {
            if out.len() >= limit {
                self.dirty = true;
                return;
            }
            let Some(reservation) = self.reservations.get(&job).cloned() else {
                continue;
            };
            let Some(row) = self.ledger.workers.get(&reservation.worker) else {
                self.release(&job);
                continue;
            };
            let waits = self.queue.jobs.get(&job);
            let Some(waiting) = waits.filter(|w| w.state == WaitState::Lane) else {
                self.release(&job);
                continue;
            };
            let candidate = self.candidate(now, waiting);
            let usable = row.present && !row.view.leaving;
            let free = if reservation.exclusive {
                self.ledger.free(row)
            } else {
                self.ledger.free_for_any(row)
            };
            if !usable || self.health.is_quarantined(&reservation.worker) {
                self.release(&job);
            } else if candidate.granted.fits(&free) {
                self.release(&job);
                self.place_on(now, &candidate, reservation.worker, out);
            }
        }
    }

    fn place_waiting(&mut self, now: Instant, limit: usize, out: &mut Vec<Decision>) {
        self.preemptions_left = self.cfg.queue.max_preemptions;
        let by_level =
            self.cfg.choice == Choice::InterferenceAware && self.cfg.features.eligibility_levels;
        for priority in [Priority::Urgent, Priority::Normal, Priority::Low] {
            // Jobs go first to the best workers for their class, then to any other worker.
            let passes: &[Eligibility] = if by_level {
                &[Eligibility::Best, Eligibility::Good, Eligibility::Any]
            } else {
                &[Eligibility::Any]
            };
            for &eligibility in passes {
                let pass = Pass {
                    priority,
                    eligibility,
                    scans_left: self.cfg.scan_limit,
                    skips_left: self.cfg.skip_limit,
                    infeasible: IndexMap::new(),
                };
                self.run_pass(now, pass, limit, out);
                if out.len() >= limit {
                    self.dirty = true;
                    return;
                }
            }
        }
    }

    fn run_pass(&mut self, now: Instant, mut pass: Pass, limit: usize, out: &mut Vec<Decision>) {
        let mut turns = self.turns(&pass);
        while out.len() < limit {
            // The team with the lowest ratio of its share to its quota goes first.
            let least = turns.iter_mut().min_by(|a, b| a.ratio.total_cmp(&b.ratio));
            let Some(turn) = least else {
                break;
            };
            let Some((due, job)) = self.queue.next(pass.priority, &turn.team, turn.after) else {
                let done = turn.team.clone();
                self.cursors
                    .at
                    .swap_remove(&(pass.priority, pass.eligibility, done.clone()));
                turns.retain(|turn| turn.team != done);
                continue;
            };
            if pass.scans_left == 0 || pass.skips_left == 0 {
                self.save_cursors(&pass, &turns);
                self.dirty = true;
                return;
            }
            turn.after = Some(due);
            if self.place_job(now, &job, &mut pass, out) {
                turn.ratio = self.quotas.ratio(&self.ledger, &turn.team, Resources::ZERO);
            }
        }
    }

    fn turns(&self, pass: &Pass) -> Vec<Turn> {
        let (priority, eligibility) = (pass.priority, pass.eligibility);
        let turn = |team: TeamName| Turn {
            ratio: self.quotas.ratio(&self.ledger, &team, Resources::ZERO),
            after: self
                .cursors
                .at
                .get(&(priority, eligibility, team.clone()))
                .copied(),
            team,
        };
        self.queue.teams(priority).into_iter().map(turn).collect()
    }

    /// Saves where the next round continues, so that jobs far back in the queue are tried too.
    fn save_cursors(&mut self, pass: &Pass, turns: &[Turn]) {
        for turn in turns {
            if let Some(after) = turn.after {
                let key = (pass.priority, pass.eligibility, turn.team.clone());
                self.cursors.at.insert(key, after);
            }
        }
    }

    /// Places a job and returns true, or records why it waits and tries to get capacity for it.
    fn place_job(
        &mut self,
        now: Instant,
        job: &JobId,
        pass: &mut Pass,
        out: &mut Vec<Decision>,
    ) -> bool {
        let Some(waiting) = self.queue.jobs.get(job) else {
            return false;
        };
        let team = waiting.request.team.clone();
        let candidate = self.candidate(now, waiting);
        match self.find_place(now, &candidate, &team, pass) {
            Ok(worker) => {
                self.release(job);
                self.place_on(now, &candidate, worker, out);
                true
            }
            Err(_) if pass.eligibility != Eligibility::Any && !candidate.urgent => false,
            Err(blocked) => {
                if blocked == Blocked::Interference {
                    self.queue.note_held_back(now, job);
                }
                self.queue
                    .set_reason(job, reason(blocked, &candidate, &team));
                if blocked == Blocked::NoCapacity && self.preemptions_left > 0 {
                    self.preempt_or_reserve(now, &candidate, &team, out);
                }
                false
            }
        }
    }

    /// Chooses a worker for a job, unless its kind is known to have none in this pass.
    fn find_place(
        &mut self,
        now: Instant,
        job: &Candidate,
        team: &TeamName,
        pass: &mut Pass,
    ) -> Result<WorkerId, Blocked> {
        if !self.quotas.allows(&self.ledger, team, job.granted) {
            pass.skips_left -= 1;
            return Err(Blocked::Quota);
        }
        let kind = kind_of(job);
        if let Some(blocked) = kind.as_ref().and_then(|kind| pass.infeasible.get(kind)) {
            pass.skips_left -= 1;
            return Err(*blocked);
        }
        let eligibility = if job.selective {
            pass.eligibility
        } else {
            Eligibility::Any
        };
        let chosen = self.choose(now, job, eligibility);
        if let Err(blocked) = chosen {
            pass.scans_left -= 1;
            if let Some(kind) = kind {
                pass.infeasible.insert(kind, blocked);
            }
        }
        chosen
    }

    /// Pre-empts tasks for a job without capacity, or reserves a worker for it, if it may.
    fn preempt_or_reserve(
        &mut self,
        now: Instant,
        job: &Candidate,
        team: &TeamName,
        out: &mut Vec<Decision>,
    ) {
        self.preemptions_left -= 1;
        if job.urgent {
            self.preempt_for_urgent(now, &job.job, team, out);
            return;
        }
        let may_reclaim = self.may_reclaim_quota(now, job, team)
            && !self.reservations.has_quota_reservation(team);
        if may_reclaim && self.preempt_for(now, job, team, EvictReason::Quota, out) {
            return;
        }
        let blocked = self.queue.blocked_for(now, &job.job);
        if self.cfg.features.reserve && job.large && blocked >= self.cfg.queue.reserve_after {
            self.reserve(now, job);
        }
    }

    /// Returns true if a team has been below its quota for long enough to reclaim it.
    fn may_reclaim_quota(&mut self, now: Instant, job: &Candidate, team: &TeamName) -> bool {
        let below =
            !self.quotas.is_empty() && self.quotas.ratio(&self.ledger, team, job.granted) <= 1.0;
        if !below {
            self.below_quota_since.swap_remove(team);
            return false;
        }
        let since = *self.below_quota_since.entry(team.clone()).or_insert(now);
        now.saturating_duration_since(since) >= self.cfg.queue.reclaim_after
    }

    /// Pre-empts tasks for the urgent jobs of a lane, not only for its first.
    fn preempt_for_urgent(
        &mut self,
        now: Instant,
        first: &JobId,
        team: &TeamName,
        out: &mut Vec<Decision>,
    ) {
        let mut requested = Resources::ZERO;
        for job in self.queue.lane_of(first, MAX_URGENT_PER_ATTEMPT) {
            let Some(waiting) = self.queue.jobs.get(&job) else {
                continue;
            };
            let candidate = self.candidate(now, waiting);
            requested += candidate.granted;
            if !self.quotas.allows(&self.ledger, team, requested) {
                return;
            }
            let reserved = self
                .reservations
                .get(&job)
                .is_some_and(|reservation| reservation.exclusive);
            if !reserved && !self.preempt_for(now, &candidate, team, EvictReason::Urgent, out) {
                return;
            }
        }
    }

    /// Allocates the resources of a placement and adds the decision to `out`.
    fn place_on(
        &mut self,
        now: Instant,
        job: &Candidate,
        worker: WorkerId,
        out: &mut Vec<Decision>,
    ) {
        let Some(waiting) = self.queue.jobs.get(&job.job) else {
            return;
        };
        let team = waiting.request.team.clone();
        self.below_quota_since.swap_remove(&team);
        let pending = Pending {
            worker: worker.clone(),
            granted: job.granted,
            declared: waiting.request.resources,
            class: job.class,
            team,
            spread: job.standing,
        };
        self.queue.make_pending(&job.job);
        self.ledger.add_pending(now, &job.job, pending);
        if self.health.is_quarantined(&worker) {
            self.health.probe_started(&worker, &job.job);
        }
        self.reindex(now, &worker);
        out.push(Decision::Place {
            job: job.job.clone(),
            worker,
            granted: job.granted,
        });
    }
}

/// Returns a job's kind; `None` if it failed on a worker, or is large and may be reserved for.
fn kind_of(job: &Candidate) -> Option<Kind> {
    if job.failed_on > 0 || job.large {
        return None;
    }
    Some(Kind {
        class: job.class,
        granted: job.granted,
        standing: job.standing,
        selective: job.selective,
        deferrable: job.deferrable,
        probe: job.probe,
    })
}

/// Returns a human-readable reason why a job waits.
fn reason(blocked: Blocked, job: &Candidate, team: &TeamName) -> Name {
    match blocked {
        Blocked::NoCapacity => format!("no worker has room for {}", job.granted).into(),
        Blocked::Interference => "it would slow services on every worker with room".into(),
        Blocked::Quota => format!("team {team} is at its quota").into(),
    }
}
