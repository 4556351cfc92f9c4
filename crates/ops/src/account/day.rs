//! What the lines tell of jobs, their runs, the ownership of jobs, refusals and throttles.

use base::prelude::*;

use crate::log_lines::Line;

/// A span of time, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: i128,
    pub to: i128,
}

impl Span {
    pub fn len(self) -> i128 {
        (self.to - self.from).max(0)
    }

    /// Returns how much of the span lies within other spans, which do not overlap.
    pub fn shared_with(self, others: &[Self]) -> i128 {
        let common = |other: &Self| Self {
            from: self.from.max(other.from),
            to: self.to.min(other.to),
        };
        others.iter().map(|other| common(other).len()).sum()
    }
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub ordered: i128,
    pub started: Option<i128>,
    pub ended: Option<i128>,
    /// How it ended, as the line tells: `Done`, `Failed`, `Stopped`, `lost`, `rejected`.
    pub how: String,
}

/// The runs of one task, in order.
#[derive(Clone, Debug, Default)]
pub struct TaskRuns {
    /// The occurrence and stage of the task.
    pub stage: (u32, u32),
    pub runs: IndexMap<String, Run>,
}

/// A job that was accepted.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub route: String,
    pub accepted: i128,
    pub tasks: i128,
    pub is_standing: bool,
    pub is_scheduled: bool,
    /// The objective and the declared critical path; `None` in logs from before they were written.
    pub objective: Option<i128>,
    pub path: i128,
    pub core_ms: i128,
    pub ended: Option<i128>,
    /// The state at its end, as the line tells.
    pub state: String,
    pub runs: IndexMap<String, TaskRuns>,
    /// The entry that answered its submission.
    pub entry: Option<String>,
}

/// Refused submissions for one reason.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    pub answers: u32,
    pub jobs: IndexSet<String>,
}

/// A day, as its lines tell it.
#[derive(Clone, Debug, Default)]
pub struct Day {
    pub jobs: IndexMap<String, Job>,
    /// From the end of an owner until all workers of it are heard or lapsed.
    pub takeovers: Vec<Span>,
    /// Refusals by state of the ownership and reason.
    pub refusals: IndexMap<(&'static str, String), Refusals>,
    /// How often a start was rejected, by reason.
    pub rejected: IndexMap<String, u32>,
    /// Throttle orders by percent.
    pub throttles: IndexMap<i128, u32>,
    pub moved: u32,
    pub end: i128,
    /// Since when nobody owns the jobs, or a takeover goes on.
    away_since: Option<i128>,
    last_of_owner: Option<i128>,
}

impl Day {
    /// Reads lines in order of time.
    pub fn read(lines: &[Line]) -> Self {
        let mut day = Self::default();
        for line in lines {
            day.end = line.unix_ms;
            match line.msg.strip_prefix("owner: ") {
                Some(event) => {
                    day.read_owner_line(event, line);
                    day.last_of_owner = Some(line.unix_ms);
                }
                None => day.read_entry_line(&line.msg, line),
            }
        }
        day.close_takeover(day.end);
        day
    }

    fn read_owner_line(&mut self, event: &str, line: &Line) {
        let at = line.unix_ms;
        match event {
            "job accepted" => self.accept(line),
            "job ended" => self.end_job(line),
            "run ordered" => self.update_run(line, |_| ()),
            "run started" | "run adopted" => self.update_run(line, |run| {
                run.started.get_or_insert(at);
            }),
            "run ended" => {
                let how = line.text("how").unwrap_or("unknown");
                self.end_run(line, how);
            }
            "run lost" | "run vanished" => self.end_run(line, "lost"),
            "start withdrawn" => self.end_run(line, "withdrawn"),
            "start rejected" => {
                let why = line.text("why").unwrap_or("unknown").to_owned();
                *self.rejected.entry(why).or_default() += 1;
                self.end_run(line, "rejected");
            }
            "fillers paced" => {
                let percent = line.number("percent").unwrap_or_default();
                *self.throttles.entry(percent).or_default() += 1;
            }
            "throttled best-effort task moved" => self.moved += 1,
            "took over" if line.number("workers") == Some(0) => self.close_takeover(at),
            "all workers of the predecessor are heard or lapsed" => self.close_takeover(at),
            _ => {}
        }
    }

    fn read_entry_line(&mut self, msg: &str, line: &Line) {
        let last = self.last_of_owner.unwrap_or(line.unix_ms);
        match msg {
            // The predecessor may have ended without a line: its last one tells when.
            "entry: elected" => {
                self.away_since.get_or_insert(last);
            }
            "entry: no longer the owner" => {
                self.away_since.get_or_insert(line.unix_ms);
            }
            "entry: ownership resumed" => self.close_takeover(line.unix_ms),
            "entry: answered" if line.text("verb") == Some("submit") => self.read_answer(line),
            _ => {}
        }
    }

    fn close_takeover(&mut self, at: i128) {
        if let Some(from) = self.away_since.take() {
            self.takeovers.push(Span { from, to: at });
        }
    }

    fn accept(&mut self, line: &Line) {
        let Some(id) = line.text("job") else { return };
        let job = self.jobs.entry(id.to_owned()).or_default();
        job.route = line.text("route").unwrap_or("unknown").to_owned();
        job.accepted = line.unix_ms;
        job.tasks = line.number("tasks").unwrap_or_default();
        job.is_standing = line.is_true("standing");
        job.is_scheduled = line.is_true("scheduled");
        job.objective = line.number("objective_ms");
        job.path = line.number("path_ms").unwrap_or_default();
        job.core_ms = line.number("core_ms").unwrap_or_default();
    }

    fn end_job(&mut self, line: &Line) {
        if let Some(job) = line.text("job").and_then(|id| self.jobs.get_mut(id)) {
            job.ended = Some(line.unix_ms);
            job.state = line.text("state").unwrap_or("unknown").to_owned();
        }
    }

    fn read_answer(&mut self, line: &Line) {
        let path = line.text("path").unwrap_or_default();
        let id = path.rsplit('/').next().unwrap_or_default();
        let told = line.text("told").unwrap_or_default();
        if told == "Accepted" {
            if let Some(job) = self.jobs.get_mut(id) {
                job.entry.get_or_insert_with(|| line.source.clone());
            }
            return;
        }
        let state = match self.away_since {
            Some(_) => "while jobs had no owner",
            None => "while owned",
        };
        let reason = reason(told).to_owned();
        let refusals = self.refusals.entry((state, reason)).or_default();
        refusals.answers += 1;
        refusals.jobs.insert(id.to_owned());
    }

    fn update_run(&mut self, line: &Line, change: impl FnOnce(&mut Run)) {
        let Some((id, task, attempt, stage)) = line.text("run").and_then(run_parts) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = job.runs.entry(task.to_owned()).or_default();
        task.stage = stage;
        let run = task.runs.entry(attempt.to_owned()).or_insert(Run {
            ordered: line.unix_ms,
            started: None,
            ended: None,
            how: String::new(),
        });
        change(run);
    }

    fn end_run(&mut self, line: &Line, how: &str) {
        self.update_run(line, |run| {
            run.ended = Some(line.unix_ms);
            how.clone_into(&mut run.how);
        });
    }
}

/// Returns the reason of an answer, `Refused { reason: "...", .. }`, or its name.
fn reason(told: &str) -> &str {
    told.split('"')
        .nth(1)
        .or_else(|| told.split_whitespace().next())
        .unwrap_or("unknown")
}

/// Splits `JOB.OCCURRENCE.STAGE.INDEX#ATTEMPT` into job, task, attempt, and occurrence and stage.
fn run_parts(run: &str) -> Option<(&str, &str, &str, (u32, u32))> {
    let (task, attempt) = run.split_once('#')?;
    let mut parts = task.split('.');
    let job = parts.next()?;
    let stage = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((job, task, attempt, stage))
}
