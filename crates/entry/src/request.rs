//! The actor that routes requests.

use base::prelude::*;
use route::{NextAction, RequestStep, Router};
use stakker::{Actor, CX, after, call};
use tables::Tables;
use wire::{
    Announcement, Call, CallResponse, CallToken, ClaimReply, Component, Responder, ShardOwner,
};

use crate::EntryCfg;
use crate::event::RequestEvent;
use crate::member::MemberActor;
use crate::ports::Ports;

/// How often requests past their deadline are dropped from the table.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A control call in flight, with the request whose thread waits for it.
struct PendingCall {
    id: RequestId,
    is_claim: bool,
    reply: Responder<RequestStep>,
}

/// Decides where requests are sent and how they end.
pub(crate) struct RequestActor {
    ports: Ports,
    router: Router,
    member: Option<Actor<MemberActor>>,
    owners: IndexMap<ShardId, ShardOwner>,
    pending: IndexMap<u64, PendingCall>,
    next_call: u64,
}

impl RequestActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<EntryCfg>, ports: Ports, seed: u64) -> Option<Self> {
        let this = Self {
            ports,
            router: Router::new(cfg.entry.clone(), cfg.zone.clone(), seed),
            member: None,
            owners: IndexMap::new(),
            pending: IndexMap::new(),
            next_call: 0,
        };
        this.schedule_sweep(cx);
        Some(this)
    }

    fn schedule_sweep(&self, cx: CX![]) {
        after!(SWEEP_INTERVAL, [cx], |this, cx| {
            this.router.sweep(cx.now());
            if let Some(member) = &this.member {
                call!([member, cx], set_demand(this.router.demand()));
            }
            this.schedule_sweep(cx);
        });
    }

    pub(crate) fn set_tables(&mut self, _cx: CX![], tables: Arc<Tables>) {
        self.router.set_tables(tables);
    }

    pub(crate) fn set_member(&mut self, _cx: CX![], member: Actor<MemberActor>) {
        self.member = Some(member);
    }

    pub(crate) fn peer_demand(&mut self, cx: CX![], entry: EntryId, demand: Vec<(Name, f64)>) {
        self.router.peer_demand(cx.now(), entry, demand);
    }

    pub(crate) fn peer_gone(&mut self, _cx: CX![], entry: EntryId) {
        self.router.peer_gone(&entry);
    }

    pub(crate) fn set_owners(&mut self, _cx: CX![], owners: IndexMap<ShardId, ShardOwner>) {
        self.owners = owners;
    }

    pub(crate) fn target(&mut self, _cx: CX![], msg: Announcement) {
        self.router.target_announced(msg);
    }

    pub(crate) fn target_leaving(
        &mut self,
        _cx: CX![],
        target: TargetId,
        incarnation: Incarnation,
    ) {
        self.router.target_leaving(&target, incarnation);
    }

    pub(crate) fn target_gone(&mut self, _cx: CX![], target: TargetId) {
        self.router.target_gone(&target);
    }

    pub(crate) fn event(&mut self, cx: CX![], event: RequestEvent) {
        let now = cx.now();
        match event {
            RequestEvent::Admit(meta, reply) => {
                let id = meta.id.clone();
                let next = self.router.admit(now, meta);
                self.advance(now, id, next, reply);
            }
            RequestEvent::Ended(id, end, reply) => {
                let next = self.router.ended(now, &id, &end);
                self.advance(now, id, next, reply);
            }
            RequestEvent::Answered(id, end) => {
                // The thread has the complete response and passes it on itself.
                self.router.ended(now, &id, &end);
            }
        }
    }

    /// Hands a step to the request's thread, or makes the control call that must precede it.
    fn advance(
        &mut self,
        now: Instant,
        id: RequestId,
        next: NextAction,
        reply: Responder<RequestStep>,
    ) {
        match next {
            NextAction::Step(step) => reply.send(step),
            NextAction::Revoke {
                to,
                id: sent_as,
                incarnation,
                uptime,
                timeout,
            } => {
                let token = self.add_pending(id, false, reply);
                let call = Call::Revoke(sent_as, incarnation, uptime);
                self.ports.calls.submit(to, token, timeout, call);
            }
            NextAction::Claim {
                shard,
                claim,
                replaces,
                timeout,
            } => {
                let Some(owner) = self.owners.get(&shard) else {
                    let next = self.router.claimed(now, &id, Ok(ClaimReply::NotOwner));
                    return self.advance(now, id, next, reply);
                };
                let to = owner.rpc_addr;
                let token = self.add_pending(id, true, reply);
                let call = Call::Claim(shard, claim, replaces);
                self.ports.calls.submit(to, token, timeout, call);
            }
        }
    }

    fn add_pending(
        &mut self,
        id: RequestId,
        is_claim: bool,
        reply: Responder<RequestStep>,
    ) -> CallToken {
        self.next_call += 1;
        self.pending.insert(
            self.next_call,
            PendingCall {
                id,
                is_claim,
                reply,
            },
        );
        CallToken {
            component: Component::Request,
            id: self.next_call,
        }
    }

    pub(crate) fn call_response(&mut self, cx: CX![], id: u64, response: Result<CallResponse>) {
        let Some(PendingCall {
            id,
            is_claim,
            reply,
        }) = self.pending.swap_remove(&id)
        else {
            return;
        };
        let now = cx.now();
        let next = match response {
            Ok(CallResponse::Claim(claim)) => self.router.claimed(now, &id, Ok(claim)),
            Ok(CallResponse::Revoke(revoke)) => self.router.revoked(now, &id, &Ok(revoke)),
            Ok(_) => NextAction::Step(RequestStep::Unknown { reason: "internal" }),
            Err(e) if is_claim => self.router.claimed(now, &id, Err(e)),
            Err(e) => self.router.revoked(now, &id, &Err(e)),
        };
        self.advance(now, id, next, reply);
    }

    pub(crate) fn stop(&mut self, _cx: CX![]) {}
}
