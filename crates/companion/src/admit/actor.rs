//! The actor around the table of request ids.

use base::prelude::*;
use stakker::{CX, after};
use wire::{Reply, RevokeReply};

use super::RequestTable;
use crate::CompanionCfg;
use crate::event::AdmitEvent;

/// How often ended ids are forgotten.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

/// Decides which requests run at the target.
pub(crate) struct AdmitActor {
    table: RequestTable,
}

impl AdmitActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<CompanionCfg>) -> Option<Self> {
        let this = Self {
            table: RequestTable::new(cfg.incarnation, cfg.slots),
        };
        this.sweep_later(cx);
        Some(this)
    }

    fn sweep_later(&self, cx: CX![]) {
        after!(SWEEP_EVERY, [cx], |this, cx| {
            this.table.sweep(cx.now());
            this.sweep_later(cx);
        });
    }

    pub(crate) fn event(&mut self, cx: CX![], event: AdmitEvent) {
        match event {
            AdmitEvent::Begin(meta, reply) => self.table.begin(cx.now(), &meta, reply),
            AdmitEvent::Finished(id, answer) => self.table.finished(cx.now(), &id, answer),
        }
    }

    pub(crate) fn revoke(
        &mut self,
        cx: CX![],
        id: RequestId,
        incarnation: Incarnation,
        reply: Reply<RevokeReply>,
    ) {
        reply.send(self.table.revoke(cx.now(), &id, incarnation));
    }

    pub(crate) fn leave(&mut self, _cx: CX![]) {
        self.table.leave();
    }

    /// Returns how many requests run.
    pub(crate) fn in_flight(&self, _cx: CX![]) -> u32 {
        self.table.running()
    }
}
