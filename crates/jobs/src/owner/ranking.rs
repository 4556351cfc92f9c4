//! The order in which waiting tasks are placed.

use base::prelude::*;

use super::Owner;
use crate::Job;
use crate::job::StageInstance;

/// The urgency of the tasks of a stage; the lowest value is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// The priority of the route; 0 is placed first.
    pub priority: u32,
    /// Whether the job can still meet its objective.
    pub deadline_class: DeadlineClass,
    /// Among jobs that can be on time, the deadline, in milliseconds since the Unix epoch; among
    /// others the remaining work, in core-milliseconds, since a job's value grows more slowly than
    /// its work.
    pub rank: u64,
}

/// What a job can still achieve if its remaining critical path runs without delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineClass {
    /// Completion within its objective.
    OnTime,
    /// Completion within [`LATE_FACTOR`] times its objective, while its result still has value.
    Late,
    /// Neither; it runs when no other job wants the capacity.
    Missed,
}

/// The multiple of a job's objective after which only its recorded outcome still has value.
const LATE_FACTOR: u64 = 3;

/// Stage instances that may be placed now, by job and index, most urgent first.
pub(super) type Candidates = Vec<(Urgency, JobId, usize)>;

/// How many stage instances of a job a round takes; those of its other occurrences follow with the next.
const MAX_INSTANCES: usize = 64;

/// The delay until the next round takes them.
const OTHERS_AFTER: Duration = Duration::from_millis(10);

/// How often the throughput is updated at most, for each run: it changes within seconds.
const THROUGHPUT_INTERVAL: Duration = Duration::from_micros(5);

/// The time constant of the decay of a work class's throughput while less of it runs: the duration
/// of a few tasks.
const THROUGHPUT_MEMORY: Duration = Duration::from_secs(5);

/// Work that competes for the same capacity: the route's priority, and whether it is best-effort.
type WorkClass = (u32, bool);

/// The recent throughput of each work class in cores, and the time of the last update.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    cores: IndexMap<WorkClass, f64>,
    at: Option<Instant>,
}

/// A job that competes with others for the capacity to be on time.
#[derive(Clone, Debug)]
struct Contender {
    id: JobId,
    due_unix_ms: u64,
    /// The remaining critical path, in milliseconds.
    remaining_path_ms: u64,
    /// The remaining work, in core-milliseconds.
    work: u64,
}

impl Owner {
    /// Returns the stage instances that may be placed now, most urgent first.
    pub(super) fn candidates(&mut self, now: Instant, unix_ms: u64) -> Candidates {
        self.update_throughput(now);
        let on_time = self.on_time_jobs(unix_ms);
        let mut found = Candidates::new();
        let mut has_others = false;
        for id in &self.active {
            let may_start = self.jobs.get(id).is_some_and(|j| self.may_start(j));
            let Some(job) = self.jobs.get_mut(id).filter(|_| may_start) else {
                continue;
            };
            let (due, are_more) = job.due_instances(unix_ms, MAX_INSTANCES);
            has_others |= are_more;
            for at in due {
                let urgency = urgency(job, &job.instances[at], unix_ms, on_time.contains(id));
                found.push((urgency, id.clone(), at));
            }
        }
        if has_others {
            self.repeat_soon(now + OTHERS_AFTER);
        }
        found.sort_by_key(|(urgency, _, _)| *urgency);
        self.order_by_class(&mut found);
        self.order_by_turn(&mut found);
        found
    }

    /// Moves the stages to the end that rounds have placed since the last one that reached all.
    fn order_by_turn(&self, found: &mut Candidates) {
        if self.placed_stages.is_empty() {
            return;
        }
        let stage = |id: &JobId, at: usize| {
            let job = self.jobs.get(id);
            job.map(|job| (id.clone(), job.instances[at].stage))
        };
        let had_turn = |id: &JobId, at: usize| {
            stage(id, at).is_some_and(|stage| self.placed_stages.contains(&stage))
        };
        found.sort_by_cached_key(|(_, id, at)| had_turn(id, *at));
    }

    /// Orders the standing tasks of each priority by class, without changing their places among other
    /// tasks; those that have to spread come first, and others of the class fill up their workers.
    fn order_by_class(&self, found: &mut Candidates) {
        let key = |(urgency, id, at): &(Urgency, JobId, usize)| {
            let job = self.jobs.get(id)?;
            let stage = job.stage(&job.instances[*at]);
            let class = stage.class.clone().filter(|_| stage.standing)?;
            Some((urgency.priority, class, stage.max_per_worker.is_none()))
        };
        let places: Vec<usize> = (0..found.len())
            .filter(|i| key(&found[*i]).is_some())
            .collect();
        let mut standing: Vec<_> = places.iter().map(|i| found[*i].clone()).collect();
        standing.sort_by_key(key);
        for (place, candidate) in places.into_iter().zip(standing) {
            found[place] = candidate;
        }
    }

    fn may_start(&self, job: &Job) -> bool {
        job.stored.record.is_some() && !(job.is_inherited && self.inherited.holds_all())
    }

    /// Updates the throughput of each work class.
    fn update_throughput(&mut self, now: Instant) {
        let runs: usize = self.workers.values().map(|w| w.runs.len()).sum();
        let interval = THROUGHPUT_INTERVAL * u32::try_from(runs).unwrap_or(u32::MAX);
        let is_early = |at: Instant| now.saturating_duration_since(at) < interval;
        if self.throughput.at.is_some_and(is_early) {
            return;
        }
        let passed = self.throughput.at.replace(now);
        let passed = passed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-passed.as_secs_f64() / THROUGHPUT_MEMORY.as_secs_f64()).exp();
        let mut cores: IndexMap<WorkClass, f64> = IndexMap::new();
        for worker in self.workers.values() {
            for (id, run) in worker.runs.iter().filter(|(_, r)| !r.is_standing) {
                if let Some(job) = self.jobs.get(&id.task.job) {
                    let work_class = (job.record.terms.priority, run.is_best_effort);
                    let used =
                        run.demand_milli as f64 / 1000.0 * f64::from(run.speed_percent) / 100.0;
                    *cores.entry(work_class).or_default() += used;
                }
            }
        }
        for (work_class, known) in &mut self.throughput.cores {
            *known *= kept;
            *known = known.max(cores.swap_remove(work_class).unwrap_or_default());
        }
        self.throughput.cores.extend(cores);
    }

    /// Returns the jobs that can be on time with the capacity of their work class.
    fn on_time_jobs(&self, unix_ms: u64) -> IndexSet<JobId> {
        let mut work_classes: IndexMap<WorkClass, Vec<Contender>> = IndexMap::new();
        for id in &self.active {
            let Some(job) = self.jobs.get(id).filter(|j| self.may_start(j)) else {
                continue;
            };
            let instance = job.instances.iter().find(|p| !p.is_done());
            let Some(instance) = instance.filter(|p| !job.stage(p).standing) else {
                continue;
            };
            let work_class = (job.record.terms.priority, job.stage(instance).best_effort);
            let contender = Contender {
                id: id.clone(),
                due_unix_ms: due_unix_ms(job, instance),
                remaining_path_ms: job.remaining_path_ms(instance),
                work: job.remaining_work(),
            };
            work_classes.entry(work_class).or_default().push(contender);
        }
        let mut on_time = IndexSet::new();
        for (work_class, jobs) in work_classes {
            let cores = self
                .throughput
                .cores
                .get(&work_class)
                .copied()
                .unwrap_or_default();
            on_time.extend(feasible(jobs, cores, unix_ms));
        }
        on_time
    }
}

/// Returns the largest set of jobs that can be on time together, by the Moore-Hodgson algorithm:
/// adds jobs by deadline, and whenever one would be late, drops the one with the most remaining
/// work.
fn feasible(mut jobs: Vec<Contender>, cores: f64, unix_ms: u64) -> impl Iterator<Item = JobId> {
    jobs.sort_by_key(|j| j.due_unix_ms);
    let mut chosen: Vec<Contender> = Vec::new();
    let mut work: u128 = 0;
    for job in jobs {
        if unix_ms.saturating_add(job.remaining_path_ms) > job.due_unix_ms {
            continue;
        }
        let due = job.due_unix_ms;
        work += u128::from(job.work);
        chosen.push(job);
        let is_late = cores > 0.0 && unix_ms as f64 + work as f64 / cores > due as f64;
        if is_late && let Some(at) = (0..chosen.len()).max_by_key(|at| chosen[*at].work) {
            work -= u128::from(chosen.swap_remove(at).work);
        }
    }
    chosen.into_iter().map(|j| j.id)
}

/// Returns the deadline of an occurrence of a job, in milliseconds since the Unix epoch.
fn due_unix_ms(job: &Job, instance: &StageInstance) -> u64 {
    let released = job.released_unix_ms(instance);
    released.saturating_add(objective_ms(job))
}

/// Returns the time that an occurrence has to be on time, in milliseconds.
pub(super) fn objective_ms(job: &Job) -> u64 {
    let terms = &job.record.terms;
    let stretched = (job.critical_path_ms() as f64 * terms.stretch) as u64;
    stretched.saturating_add(terms.slack_ms)
}

/// Ranks the tasks of a stage: under overload, jobs that can be on time go before others, so that
/// no capacity is spent on results that are late anyway.
fn urgency(job: &Job, instance: &StageInstance, unix_ms: u64, is_on_time: bool) -> Urgency {
    let due = due_unix_ms(job, instance);
    let latest = due.saturating_add(objective_ms(job).saturating_mul(LATE_FACTOR - 1));
    let deadline_class = if job.stage(instance).standing || is_on_time {
        DeadlineClass::OnTime
    } else if unix_ms.saturating_add(job.remaining_path_ms(instance)) <= latest {
        DeadlineClass::Late
    } else {
        DeadlineClass::Missed
    };
    Urgency {
        priority: job.record.terms.priority,
        deadline_class,
        rank: match deadline_class {
            DeadlineClass::OnTime => due,
            DeadlineClass::Late | DeadlineClass::Missed => job.remaining_work(),
        },
    }
}
