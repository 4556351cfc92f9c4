//! The actor that decides on requests.

use base::prelude::*;
use route::{RequestMeta, RequestStep, Router};
use stakker::{CX, after};
use tables::Tables;
use wire::{Announcement, Answer};

use crate::EntryCfg;
use crate::event::RequestEvent;
use crate::ports::Ports;

/// How often requests past their deadline are dropped from the table.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Decides where requests go and what becomes of them.
pub(crate) struct RequestActor {
    router: Router,
}

impl RequestActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<EntryCfg>, _ports: Ports, seed: u64) -> Option<Self> {
        let this = Self {
            router: Router::new(cfg.zone.clone(), seed),
        };
        this.sweep_later(cx);
        Some(this)
    }

    fn sweep_later(&self, cx: CX![]) {
        after!(SWEEP_EVERY, [cx], |this, cx| {
            this.router.sweep(cx.now());
            this.sweep_later(cx);
        });
    }

    pub(crate) fn set_tables(&mut self, _cx: CX![], tables: Arc<Tables>) {
        self.router.set_tables(tables);
    }

    pub(crate) fn target(&mut self, _cx: CX![], msg: Announcement) {
        self.router.target(msg);
    }

    pub(crate) fn target_gone(&mut self, _cx: CX![], target: TargetId) {
        self.router.target_gone(&target);
    }

    pub(crate) fn event(&mut self, cx: CX![], event: RequestEvent) {
        match event {
            RequestEvent::Admit(meta, reply) => reply.send(self.admit(cx.now(), meta)),
            RequestEvent::Ended(id, end, reply) => {
                reply.send(self.router.ended(cx.now(), &id, &end));
            }
        }
    }

    fn admit(&mut self, now: Instant, meta: RequestMeta) -> RequestStep {
        self.router.admit(now, meta)
    }

    pub(crate) fn answer(&mut self, _cx: CX![], _id: u64, _answer: Result<Answer>) {}

    pub(crate) fn stop(&mut self, _cx: CX![]) {}
}
