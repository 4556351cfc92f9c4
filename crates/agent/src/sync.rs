//! Reports to the owner, and its replies.

use std::net::SocketAddr;

use base::prelude::*;
use jobs::owner::OwnerRecord;
use jobs::report::{RejectKind, SharedStatus, SyncReply, SyncReport};
use slog::{info, warn};

use crate::provenance::{Source, age_ms};
use crate::starts::Ordered;
use crate::state::{Action, AgentState};

/// How many reports may be in flight: one that the owner holds open, and one with newer state.
const MAX_IN_FLIGHT: usize = 2;

/// Delay before the next report after a failed one; doubles with each further failure.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The maximum delay before the next report after failed ones: a fraction of the worker's lease.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(800);

/// A report in flight.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    sent_at: Instant,
    /// A lower bound of the worker's clock when the report was sent, in milliseconds.
    clock_ms: Option<u64>,
    incarnation: Incarnation,
    /// The worker's capacity in the report.
    capacity: Resources,
    /// Whether the worker was heard again after an earlier report may have said that it is gone.
    is_heard_again: bool,
}

/// The reports in flight, and the owner that they are sent to.
#[derive(Debug, Default)]
pub(crate) struct Syncs {
    pub(crate) owner: Option<(SocketAddr, Epoch)>,
    owner_name: Name,
    /// Whether the state has changed since the last report.
    pub(crate) has_changes: bool,
    last_number: u64,
    in_flight: IndexMap<u64, SentReport>,
    /// The status that the owner is expected to hold.
    shared_status: SharedStatus,
    /// Whether this owner has replied to a report.
    has_reply: bool,
    /// Whether the owner takes changes to the status in place of a whole one.
    owner_takes_changes: bool,
    /// The number of the last report with a whole status.
    last_whole: u64,
    /// Failed reports since the last reply.
    failures: u32,
    not_before: Option<Instant>,
}

impl Syncs {
    /// Returns when the next report is to be sent after a delay.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.owner.and(self.not_before)
    }

    /// Returns how many reports may be in flight. An owner that has not replied yet may still load
    /// its jobs while all companions report to it, so each sends one report.
    fn max_in_flight(&self) -> usize {
        if self.has_reply { MAX_IN_FLIGHT } else { 1 }
    }

    /// Delays the next report; an owner or a link that is overloaded gets fewer of them.
    fn back_off(&mut self, now: Instant) {
        let delay = RETRY_AFTER * 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        self.not_before = Some(now + delay.min(MAX_RETRY_AFTER));
    }

    /// Makes the next report carry a whole status.
    fn send_whole_status(&mut self) {
        self.shared_status.clear();
        self.has_changes = true;
    }
}

impl AgentState {
    /// Records the owner of the jobs, unless its epoch is not higher than the known one's.
    pub fn owner_seen(&mut self, record: &OwnerRecord) {
        let owner = (record.addr, record.epoch);
        if self
            .syncs
            .owner
            .is_some_and(|(_, epoch)| epoch >= record.epoch)
        {
            return;
        }
        info!(self.log, "companion: new owner";
            "owner" => %record.name, "epoch" => record.epoch.0,
            "before" => self.syncs.owner.map(|(_, epoch)| epoch.0), "replied" => self.epoch.0,
            "fence" => self.worker.as_ref().map(|w| w.fence));
        self.syncs.owner = Some(owner);
        self.syncs.owner_name = Arc::clone(&record.name);
        self.syncs.in_flight.clear();
        self.syncs.not_before = None;
        self.syncs.failures = 0;
        self.syncs.has_reply = false;
        self.syncs.owner_takes_changes = false;
        self.syncs.shared_status.clear();
    }

    /// Returns the address of the owner, which reports are sent to.
    pub fn owner_addr(&self) -> Option<SocketAddr> {
        self.syncs.owner.map(|(addr, _)| addr)
    }

    /// Adds a report if none is in flight, or if the state has changed since the last one.
    pub(crate) fn sync_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.syncs.owner.is_none() || self.syncs.not_before.is_some_and(|at| at > now) {
            return;
        }
        let is_due = self.syncs.in_flight.is_empty()
            || (self.syncs.has_changes && self.syncs.in_flight.len() < self.syncs.max_in_flight());
        if !is_due {
            return;
        }
        self.syncs.has_changes = false;
        self.syncs.not_before = None;
        self.syncs.last_number += 1;
        let number = self.syncs.last_number;
        if let Some(worker) = self.worker.as_mut() {
            worker.log_unresponsive(now, &self.log);
        }
        let worker = self.worker.as_ref();
        let sent = SentReport {
            sent_at: now,
            // The lease of an unresponsive worker is not renewed, so that its tasks can be moved
            // if it is gone.
            clock_ms: worker
                .filter(|w| !w.is_unresponsive(now))
                .and_then(|w| w.clock)
                .map(|c| c.at_least(now)),
            incarnation: worker.map(|w| w.heartbeat.incarnation).unwrap_or_default(),
            capacity: worker.map_or(Resources::ZERO, |w| w.heartbeat.capacity),
            is_heard_again: worker.is_some_and(|w| w.gone_fence.is_some() && !w.is_gone),
        };
        self.syncs.in_flight.insert(number, sent);
        let mut worker = self.worker_report(now);
        if let Some(report) = &mut worker {
            if !self.syncs.owner_takes_changes {
                self.syncs.shared_status.clear();
            }
            if !self.syncs.shared_status.reduce(number, report) {
                self.syncs.last_whole = number;
            }
        }
        let report = SyncReport {
            vm: Arc::clone(&self.vm),
            boot: self.boot,
            number,
            epoch: self.epoch,
            worker,
        };
        actions.push(Action::Sync(number, Box::new(report)));
    }

    /// Handles the outcome of a report.
    pub fn synced(&mut self, now: Instant, number: u64, reply: Result<SyncReply>) {
        let Some(sent) = self.syncs.in_flight.swap_remove(&number) else {
            if let Ok(reply) = &reply {
                self.log_ignored(number, reply, "a later owner is known");
            }
            return;
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                warn!(self.log, "companion: report failed"; "error" => %e);
                self.syncs.send_whole_status();
                self.syncs.back_off(now);
                return;
            }
        };
        if !reply.is_owner {
            // A later report arrived first, or the entry is not the owner any more.
            if self.syncs.in_flight.is_empty() {
                self.syncs.back_off(now);
            }
            return;
        }
        if reply.epoch < self.epoch {
            self.log_ignored(number, &reply, "the owner is an earlier one");
            return;
        }
        self.epoch = reply.epoch;
        self.syncs.failures = 0;
        self.syncs.has_reply = true;
        self.syncs.owner_takes_changes = reply.takes_changes;
        // A whole status that was sent after this report is on its way already.
        if reply.needs_status && number >= self.syncs.last_whole {
            self.syncs.send_whole_status();
        }
        if self.worker.is_none() {
            self.syncs.not_before = Some(now + RETRY_AFTER);
        }
        self.apply_reply(now, number, sent, reply);
    }

    /// Applies the owner's lease and orders, unless they are for another incarnation of the worker
    /// or made under a lower fencing token.
    fn apply_reply(&mut self, now: Instant, number: u64, sent: SentReport, reply: SyncReply) {
        let source = Source {
            owner: Arc::clone(&self.syncs.owner_name),
            epoch: reply.epoch,
            report: number,
            sent_at: sent.sent_at,
        };
        let throttles = {
            let Some(worker) = self.worker.as_mut() else {
                return;
            };
            if reply.incarnation != worker.heartbeat.incarnation
                || sent.incarnation != worker.heartbeat.incarnation
            {
                self.log_ignored(number, &reply, "they are for another incarnation");
                return;
            }
            if reply.fence < worker.fence {
                self.log_ignored(number, &reply, "the fencing token has risen");
                return;
            }
            if reply.fence > worker.fence {
                info!(self.log, "companion: fencing token raised";
                    "owner" => %source.owner, "epoch" => source.epoch.0,
                    "from" => worker.fence, "to" => reply.fence,
                    "report" => number, "report_age_ms" => age_ms(now, source.sent_at),
                    "born" => worker.heartbeat.incarnation.0);
                worker.starts.drop_unanswered();
                self.throttles.clear();
            }
            worker.fence = reply.fence;
            if sent.is_heard_again {
                // The owner ignores earlier reports from now on.
                worker.gone_fence = None;
            }
            worker.stored_ends = worker.stored_ends.max(reply.stored_ends);
            if let (Some(clock_ms), Some(lease_ms)) = (sent.clock_ms, reply.lease_ms) {
                let deadline = clock_ms.saturating_add(lease_ms);
                if worker.deadline_ms.is_none_or(|known| known < deadline) {
                    worker.deadline_ms = Some(deadline);
                    worker.leased_by = Some(source.clone());
                }
            }
            if number >= worker.starts_until_from {
                let start_lease = reply.start_lease_ms.map(Duration::from_millis);
                worker.starts_until = start_lease.map(|lease| sent.sent_at + lease);
                let until_ms = sent.clock_ms.zip(reply.start_lease_ms);
                worker.starts_until_ms = until_ms.map(|(at, lease)| at.saturating_add(lease));
                worker.starts_until_from = number;
            }
            worker.starts.acknowledge_rejects(now, &reply.noted_rejects);
            self.crashes.acknowledge(&reply.noted_crashes);
            for order in reply.starts {
                let run = order.run.clone();
                if worker.starts.order(now, order, &source) == Ordered::Repeated {
                    info!(self.log, "companion: order repeated"; "run" => %run,
                        "owner" => %source.owner, "epoch" => source.epoch.0,
                        "report" => number, "born" => worker.heartbeat.incarnation.0);
                    self.syncs.has_changes = true;
                }
            }
            if !sent.capacity.fits(&worker.heartbeat.capacity) {
                worker.starts.reject_unsent(now, RejectKind::Room);
            }
            for run in reply.stops {
                if worker.starts.order_stop(now, run.clone()) {
                    info!(self.log, "companion: stop ordered"; "run" => %run,
                        "owner" => %source.owner, "epoch" => source.epoch.0,
                        "report" => number, "report_age_ms" => age_ms(now, source.sent_at),
                        "born" => worker.heartbeat.incarnation.0, "fence" => worker.fence);
                }
            }
            reply.throttles
        };
        self.throttles.extend(throttles);
    }

    /// Logs that the orders of a reply are not carried out, if it has any.
    fn log_ignored(&self, number: u64, reply: &SyncReply, reason: &str) {
        let (starts, stops) = (reply.starts.len(), reply.stops.len());
        if starts + stops > 0 {
            warn!(self.log, "companion: orders ignored"; "reason" => reason,
                "epoch" => reply.epoch.0, "known_epoch" => self.epoch.0,
                "owner" => %self.syncs.owner_name, "fence" => reply.fence,
                "born" => reply.incarnation.0, "report" => number,
                "starts" => starts, "stops" => stops);
        }
    }
}
