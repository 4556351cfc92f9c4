//! The account as text, largest loss first.

use std::fmt;

use base::prelude::*;

use super::causes::{Cause, Delays, absences, delays};
use super::day::{Day, Job, Span};

/// What an account cannot tell.
const LEGEND: &str = "\
share: of the declared work of the route's jobs, or of the time that its standing tasks were wanted
a late job counts once, under its longest delay; seconds are of that delay
past 3: later than three times the objective
not in the logs: the caller's wait before its submission was accepted, latency of standing tasks
over target, work thrown away; scheduled jobs and jobs without an objective are not judged
";

/// The multiple of its objective after which a job hardly has value.
const PAST: i128 = 3;

/// What one route lost for one cause.
#[derive(Clone, Debug, Default)]
struct Loss {
    jobs: u32,
    past: u32,
    ms: i128,
    /// The declared work of the late jobs, or the time that standing tasks were away.
    part: i128,
    /// The delays of the late jobs.
    longest: i128,
}

/// A loss with its route and its share.
#[derive(Clone, Copy, Debug)]
struct Row<'a> {
    share: f64,
    route: &'a str,
    cause: Cause,
    loss: &'a Loss,
}

/// What one route's callers asked for.
#[derive(Clone, Debug, Default)]
struct Route {
    accepted: u32,
    completed: u32,
    late: u32,
    /// The declared work, or the time that standing tasks were wanted.
    whole: i128,
    losses: IndexMap<Cause, Loss>,
}

/// Jobs of one entry's callers.
#[derive(Clone, Debug, Default)]
struct Entry {
    accepted: u32,
    late: u32,
}

/// The account of a day.
#[derive(Debug)]
pub struct Report<'a> {
    day: &'a Day,
    routes: IndexMap<&'a str, Route>,
    entries: IndexMap<&'a str, Entry>,
}

impl<'a> Report<'a> {
    pub fn new(day: &'a Day) -> Self {
        let mut report = Self {
            day,
            routes: IndexMap::new(),
            entries: IndexMap::new(),
        };
        for job in day.jobs.values() {
            report.add(job);
        }
        report
    }

    fn add(&mut self, job: &'a Job) {
        let route = self.routes.entry(&job.route).or_default();
        route.accepted += 1;
        route.completed += u32::from(job.state == "Completed");
        let is_late = if job.is_standing {
            route.add_standing(job, self.day);
            false
        } else {
            route.add_finite(job, self.day)
        };
        if let Some(entry) = &job.entry {
            let entry = self.entries.entry(entry).or_default();
            entry.accepted += 1;
            entry.late += u32::from(is_late);
        }
    }

    /// Returns the losses, largest share first.
    fn rows(&self) -> Vec<Row<'_>> {
        let mut rows: Vec<Row<'_>> = self.routes.iter().flat_map(route_rows).collect();
        rows.sort_by(|a, b| b.share.total_cmp(&a.share));
        rows
    }
}

fn route_rows<'a>((name, route): (&&'a str, &'a Route)) -> impl Iterator<Item = Row<'a>> {
    let name = *name;
    let losses = route.losses.iter().filter(|(_, loss)| loss.part > 0);
    losses.map(move |(cause, loss)| Row {
        share: loss.part as f64 / route.whole.max(1) as f64,
        route: name,
        cause: *cause,
        loss,
    })
}

impl Route {
    fn add_standing(&mut self, job: &Job, day: &Day) {
        let until = job.ended.unwrap_or(day.end);
        self.whole += job.tasks * (until - job.accepted);
        for (cause, ms) in absences(job, until, &day.takeovers) {
            let loss = self.losses.entry(cause).or_default();
            loss.jobs += u32::from(ms > 0);
            loss.ms += ms;
            loss.part += ms;
            loss.longest = loss.longest.max(ms);
        }
    }

    /// Adds a job that ends by itself; returns true if it was late.
    fn add_finite(&mut self, job: &Job, day: &Day) -> bool {
        let Some(objective) = job.objective.filter(|_| !job.is_scheduled) else {
            return false;
        };
        if job.state == "Cancelled" {
            return false;
        }
        self.whole += job.core_ms;
        let took = job.ended.unwrap_or(day.end) - job.accepted;
        let (cause, ms) = match (job.state.as_str(), job.ended) {
            ("Failed", _) => (Cause::Failed, took),
            _ if took <= objective => return false,
            (_, None) => (Cause::Unfinished, took),
            (_, Some(ended)) => longest(&delays(job, ended, &day.takeovers)),
        };
        self.late += 1;
        let loss = self.losses.entry(cause).or_default();
        loss.jobs += 1;
        loss.past += u32::from(took > PAST * objective);
        loss.ms += ms;
        loss.part += job.core_ms;
        loss.longest = loss.longest.max(ms);
        true
    }
}

fn longest(delays: &Delays) -> (Cause, i128) {
    let longest = delays.iter().max_by_key(|(_, ms)| **ms);
    longest.map_or((Cause::Run, 0), |(cause, ms)| (*cause, *ms))
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "route                 accepted completed  late")?;
        for (name, route) in &self.routes {
            let (accepted, completed, late) = (route.accepted, route.completed, route.late);
            writeln!(f, "{name:<22}{accepted:>8}{completed:>10}{late:>6}")?;
        }
        writeln!(f, "\n share  jobs past 3  seconds longest  route, cause")?;
        for row in self.rows() {
            let Row { share, route, .. } = row;
            let Loss { jobs, past, .. } = row.loss;
            let (seconds, longest) = (row.loss.ms as f64 / 1e3, row.loss.longest as f64 / 1e3);
            let cause = row.cause.name();
            writeln!(
                f,
                "{share:>6.3}{jobs:>6}{past:>7}{seconds:>9.1}{longest:>8.1}  {route}, {cause}"
            )?;
        }
        self.write_rest(f)?;
        write!(f, "\n{LEGEND}")
    }
}

impl Report<'_> {
    fn write_rest(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let day = self.day;
        writeln!(f, "\nentry                             accepted  late")?;
        for (name, entry) in &self.entries {
            writeln!(f, "{name:<32}{:>10}{:>6}", entry.accepted, entry.late)?;
        }
        writeln!(f)?;
        let lasted: Vec<String> = day.takeovers.iter().map(|s| seconds(*s)).collect();
        writeln!(f, "takeovers: {} ({})", lasted.len(), lasted.join(", "))?;
        for ((state, reason), refusals) in &day.refusals {
            let never = refusals
                .jobs
                .iter()
                .filter(|id| !day.jobs.contains_key(*id));
            writeln!(
                f,
                "refused: {} answers to {} jobs, {} never accepted, {state}: {reason}",
                refusals.answers,
                refusals.jobs.len(),
                never.count()
            )?;
        }
        for (why, count) in &day.rejected {
            writeln!(f, "starts rejected: {count}, {why}")?;
        }
        let orders: u32 = day.throttles.values().sum();
        let by_percent = day.throttles.iter().map(|(p, n)| format!("{n} to {p}%"));
        let by_percent: Vec<String> = by_percent.collect();
        writeln!(f, "throttle orders: {orders} ({})", by_percent.join(", "))?;
        writeln!(f, "best-effort tasks moved: {}", day.moved)
    }
}

fn seconds(span: Span) -> String {
    format!("{:.1} s", span.len() as f64 / 1e3)
}
