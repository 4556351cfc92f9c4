//! The actor that owns the table of request ids.

use base::prelude::*;
use stakker::{CX, after};
use wire::{Responder, RevokeReply};

use super::{RequestTable, TableLimits};
use crate::CompanionCfg;
use crate::event::AdmitEvent;

/// Interval between sweeps that forget old ids.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

/// Interval between checks for requests past their deadline.
const EXPIRE_EVERY: Duration = Duration::from_millis(20);

/// Decides which requests run at the target.
pub(crate) struct AdmitActor {
    table: RequestTable,
}

impl AdmitActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<CompanionCfg>) -> Option<Self> {
        let limits = TableLimits::new(cfg.slots, cfg.connections);
        let this = Self {
            table: RequestTable::new(cfg.incarnation, limits, cx.now()),
        };
        this.sweep_later(cx);
        this.expire_later(cx);
        Some(this)
    }

    fn sweep_later(&self, cx: CX![]) {
        after!(SWEEP_EVERY, [cx], |this, cx| {
            this.table.sweep(cx.now());
            this.sweep_later(cx);
        });
    }

    fn expire_later(&self, cx: CX![]) {
        after!(EXPIRE_EVERY, [cx], |this, cx| {
            this.table.expire(cx.now());
            this.expire_later(cx);
        });
    }

    pub(crate) fn event(&mut self, cx: CX![], event: AdmitEvent) {
        match event {
            AdmitEvent::Begin(meta, reply) => self.table.begin(cx.now(), &meta, reply),
            AdmitEvent::Finished(id, response) => self.table.finished(cx.now(), &id, response),
        }
    }

    pub(crate) fn revoke(
        &mut self,
        cx: CX![],
        id: RequestId,
        incarnation: Incarnation,
        uptime: Duration,
        reply: Responder<RevokeReply>,
    ) {
        reply.send(self.table.revoke(cx.now(), &id, incarnation, uptime));
    }

    pub(crate) fn leave(&mut self, cx: CX![]) {
        self.table.leave(cx.now());
    }

    /// Returns how many requests run or wait for a slot.
    pub(crate) fn in_flight(&self, _cx: CX![]) -> u32 {
        self.table.load()
    }
}
