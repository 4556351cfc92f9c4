//! What an entry does when it gains, resumes or loses ownership.

use base::prelude::*;
use jobs::owner::{OWNER_KEY, OwnerRecord, Replacement};
use jobs::report::SyncReply;
use jobs::{Owner, OwnerCfg};
use ports::store::{Revision, StoreReply};
use slog::{info, warn};
use stakker::CX;

use super::{Controller, LOAD_RETRY};
use crate::StoreToken;
use crate::cordons::CordonReader;
use crate::elector::Change;
use crate::load::{Load, LoadStep};

impl Controller {
    /// Acts on a change of ownership.
    pub(super) fn changed(&mut self, cx: CX![], change: Option<Change>) {
        match change {
            Some(Change::Elected {
                epoch,
                revision,
                previous,
            }) => {
                info!(self.log, "entry: elected"; "epoch" => epoch.0);
                self.notify_previous(previous.as_ref(), revision);
                self.operation_metrics.count("ownership", "taken");
                self.load = Some(Load::new(epoch, revision));
                self.load_next();
            }
            Some(Change::Resumed { revision }) => self.resume_owner(revision),
            Some(Change::OwnershipLost(why)) => self.stop_owner(cx, why),
            None => {}
        }
    }

    fn notify_previous(&self, previous: Option<&OwnerRecord>, revision: Revision) {
        if let (Some(previous), Some(record)) = (previous, self.elector.owner()) {
            let by = Replacement {
                record: record.clone(),
                revision,
            };
            self.ports.notify_replaced(previous, by);
        }
    }

    fn load_next(&self) {
        if let Some(load) = &self.load {
            self.ports.store(StoreToken::Load(load.epoch), load.call());
        }
    }

    /// Handles the reply to a call of the initial load.
    pub(super) fn loaded(&mut self, cx: CX![], epoch: Epoch, reply: Result<StoreReply>) {
        let Some(load) = self.load.as_mut().filter(|l| l.epoch == epoch) else {
            return;
        };
        if let Err(e) = &reply {
            warn!(self.log, "entry: load failed"; "error" => %e);
        }
        match load.handle_reply(reply) {
            LoadStep::Next => self.load_next(),
            LoadStep::Again => {
                stakker::after!(LOAD_RETRY, [cx], retry_load(epoch));
            }
            LoadStep::Done => self.start_owner(cx),
            LoadStep::GiveUp => self.step_down(cx),
        }
    }

    fn retry_load(&mut self, _cx: CX![], epoch: Epoch) {
        if self.load.as_ref().is_some_and(|l| l.epoch == epoch) {
            self.load_next();
        }
    }

    /// Steps down after a failed load, so that an entry with a better connection can take over.
    fn step_down(&mut self, cx: CX![]) {
        warn!(self.log, "entry: gives up ownership"; "why" => "the jobs cannot be read");
        self.load = None;
        self.release_early_reports();
        if let Some(call) = self.elector.step_down(cx.now()) {
            self.election_call(cx.now(), call);
        }
    }

    /// Starts the owner from the completed load.
    fn start_owner(&mut self, cx: CX![]) {
        let Some(load) = self.load.take() else {
            return;
        };
        let elector = &self.cfg.elector;
        let cfg = OwnerCfg {
            epoch: load.epoch,
            owner_key: OWNER_KEY.into(),
            owner_revision: load.revision,
            worker_lease: self.cfg.worker_lease,
            predecessor_grace: elector.lease + elector.outage_grace,
            retention: self.cfg.retention,
            cordon_bound: self.cfg.cordon.as_ref().map(|cordon| cordon.bound),
        };
        let mut owner = Owner::new(cfg, self.log.clone());
        let [jobs, progress, vms, tombstones] = load.into_parts();
        owner.load(cx.now(), &jobs, &progress, &vms, &tombstones);
        if let Some(latest) = self.cordons.as_ref().and_then(CordonReader::latest) {
            owner.observe_cordons(cx.now(), latest);
        }
        self.owner = Some(owner);
        let reports = std::mem::take(&mut self.early_reports);
        for (report, responder) in reports.into_values() {
            self.sync(cx.now(), report, responder);
        }
    }

    /// Replies to the reports that wait for a load that will not be completed.
    fn release_early_reports(&mut self) {
        for (_, responder) in self.early_reports.drain(..).map(|(_, kept)| kept) {
            responder.send(SyncReply::default());
        }
    }

    /// Goes on with the owner, or with its load, after the key has been taken again.
    fn resume_owner(&mut self, revision: Revision) {
        info!(self.log, "entry: ownership resumed"; "revision" => revision);
        self.operation_metrics.count("ownership", "resumed");
        if let Some(load) = self.load.as_mut() {
            load.revision = revision;
        }
        if let Some(owner) = self.owner.as_mut() {
            owner.resume(revision);
        }
    }

    /// Drops the owner and any load in progress after ownership has ended.
    pub(super) fn stop_owner(&mut self, cx: CX![], why: &'static str) {
        self.load = None;
        self.release_early_reports();
        let Some(owner) = self.owner.take() else {
            return;
        };
        self.operation_metrics.count("ownership", "lost");
        warn!(self.log, "entry: no longer the owner"; "epoch" => owner.epoch().0, "why" => why);
        let effects = owner.step_down();
        self.carry_out(cx, effects);
    }
}
