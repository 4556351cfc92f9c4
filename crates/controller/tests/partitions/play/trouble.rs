//! The jobs of a play, and the failures of its links and machines.

use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;
use controller::Event;
use jobs::owner::OWNER_KEY;
use jobs::{JobReply, JobRequest, JobSpec, RouteRef, RouteTerms, StageSpec, TaskId};
use ports::store::{Expect, StoreCall};
use rand::Rng;
use wire::Responder;

use super::{ENTRIES, FIRST_VM, Play, STORE, VMS};
use crate::entry::Suspension;
use crate::network::Site;
use crate::vm::POOL;

const ROUTE: &str = "checks";

const ADDRESS: &str = "desk.example/checks/";

const SITES: usize = FIRST_VM + VMS;

/// How long a caller waits.
const CALLER_WAITS: Duration = Duration::from_secs(3);

pub(super) fn job_id(at: usize) -> String {
    format!("{at:016x}")
}

/// Returns how long a run of a task lasts, the same in each play of a seed.
pub(super) fn lasts(seed: u64, task: &TaskId) -> Duration {
    let mut hasher = DefaultHasher::new();
    (seed, task).hash(&mut hasher);
    Duration::from_millis(500 + hasher.finish() % 9000)
}

impl Play {
    /// Submits a job to a random entry.
    pub(super) fn submit(&mut self) {
        let id: JobId = job_id(self.jobs.len()).as_str().into();
        let tasks = self.rng.random_range(1..6);
        self.jobs.push(tasks);
        let stage = StageSpec {
            tasks,
            resources: Resources::new(1, 100, 0),
            estimate_ms: 1000,
            ..StageSpec::default()
        };
        let request = JobRequest::Submit {
            job: id.clone(),
            address: ADDRESS.into(),
            spec: Box::new(JobSpec {
                payload: "payload".into(),
                stages: vec![stage],
                schedule: None,
            }),
            terms: Box::new(RouteTerms {
                route: ROUTE.into(),
                pool: POOL.into(),
                priority: 0,
                attempts: 3,
                stretch: 2.0,
                slack_ms: 500,
                advice: None,
            }),
        };
        let accepted = Arc::clone(&self.accepted);
        let responder = Responder::new(move |reply| {
            if reply == JobReply::Accepted {
                accepted.lock().insert(id);
            }
        });
        let at = self.rng.random_range(0..ENTRIES);
        let entry = &mut self.entries[at];
        let deadline = entry.clock.now() + CALLER_WAITS;
        entry.deliver(Event::Caller(Box::new(request), deadline, responder));
    }

    /// Lets something fail, or heals all links.
    pub(super) fn fail(&mut self) {
        match self.rng.random_range(0..16) {
            0..=3 => self.partition(),
            4 => self.cut_some(),
            5 | 6 => {
                self.note(None, "all links heal".into());
                self.network.heal();
            }
            7 | 8 => self.suspend(),
            9 => self.revoke_key(),
            10 => self.replace_worker(),
            11 | 12 => {
                let at = self.rng.random_range(0..VMS);
                let vm = &mut self.vms[at];
                vm.is_draining ^= true;
                let what = format!("worker of vm-{at} drains: {}", vm.is_draining);
                self.note(None, what);
            }
            13 => {
                let at = self.rng.random_range(0..VMS);
                self.note(None, format!("worker of vm-{at} leaves"));
                self.vms[at].leave();
            }
            14 => self.cancel(),
            _ => {
                let at = self.rng.random_range(0..VMS);
                self.note(None, format!("companion of vm-{at} restarts"));
                self.vms[at].restart_companion();
            }
        }
    }

    /// Begins another life of a worker, under the same id or another.
    fn replace_worker(&mut self) {
        let at = self.rng.random_range(0..VMS);
        self.note(None, format!("worker of vm-{at} restarts"));
        self.vms[at].worker += u64::from(self.rng.random_bool(0.5));
        self.vms[at].restart_worker();
    }

    /// Ends what has failed for good, so that all jobs can complete.
    pub(super) fn heal(&mut self) {
        self.network.heal();
        for vm in &mut self.vms {
            vm.is_draining = false;
            if vm.is_gone() {
                vm.worker += 1;
                vm.restart_worker();
            }
        }
    }

    /// Cancels a random job; its tasks need not be done any more.
    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.jobs.len());
        self.jobs[at] = 0;
        let request = JobRequest::Cancel {
            job: job_id(at).as_str().into(),
            route: RouteRef {
                name: ROUTE.into(),
                address: ADDRESS.into(),
            },
        };
        self.note(None, format!("job {at} is cancelled"));
        let entry = self.rng.random_range(0..ENTRIES);
        let entry = &mut self.entries[entry];
        let deadline = entry.clock.now() + CALLER_WAITS;
        let responder = Responder::new(drop);
        entry.deliver(Event::Caller(Box::new(request), deadline, responder));
    }

    /// Cuts some machines, the owner's among them as often as not, off from the others, in both
    /// directions or in one.
    fn partition(&mut self) {
        self.network.heal();
        let owner = self
            .owner
            .as_ref()
            .map(|(name, _)| super::entry_number(name));
        let with_owner = self.rng.random_bool(0.5);
        let share = self.rng.random_range(0.2..0.7);
        let side: Vec<bool> = (0..SITES)
            .map(|site| match site {
                STORE => false,
                site if owner.is_some_and(|at| at + 1 == site) => with_owner,
                _ => self.rng.random_bool(share),
            })
            .collect();
        let ways = [(true, true), (true, true), (true, false), (false, true)];
        let (out, back) = ways[self.rng.random_range(0..ways.len())];
        let away: Vec<Site> = (0..SITES).filter(|site| side[*site]).collect();
        self.note(None, format!("cut off: {away:?}, out {out}, back {back}"));
        for from in 0..SITES {
            for to in 0..SITES {
                if (side[from] && !side[to] && out) || (!side[from] && side[to] && back) {
                    self.network.cut(from, to);
                }
            }
        }
    }

    /// Cuts single links in one direction.
    fn cut_some(&mut self) {
        for _ in 0..12 {
            let (from, to) = (
                self.rng.random_range(0..SITES),
                self.rng.random_range(0..SITES),
            );
            self.note(None, format!("cut from {from} to {to}"));
            self.network.cut(from, to);
        }
    }

    fn suspend(&mut self) {
        let kinds = [Suspension::Process, Suspension::Vm];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let at = match &self.owner {
            Some((name, _)) if self.rng.random_bool(0.7) => super::entry_number(name),
            _ => self.rng.random_range(0..ENTRIES),
        };
        let time = self.random(500, 8000);
        self.note(
            None,
            format!("entry-{at} is suspended for {time:?}, {kind:?}"),
        );
        self.entries[at].suspend(self.now + time, kind);
    }

    /// Deletes the owner's key, though its lease goes on.
    fn revoke_key(&mut self) {
        self.note(None, "the owner's key is revoked".into());
        let delete = StoreCall::Delete {
            key: OWNER_KEY.into(),
            expect: Expect::Any,
        };
        let deleted = self.store.call(self.base + self.now, &delete);
        assert!(deleted.is_ok(), "{deleted:?}");
        self.watch_owner();
    }
}
