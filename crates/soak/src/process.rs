//! The simulated processes: the real actors, which can be killed, paused and restarted.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::ManualClock;
use base::prelude::*;
use companion::{AdmitEvent, AdmitMeta, CompanionCfg, StoredResponse};
use entry::{AdminEvent, EntryCfg, RequestEvent, StoreToken};
use ports::store::StoreReply;
use ports::worker::WorkerReply;
use route::{AttemptEnd, RequestMeta};
use tables::TablesDoc;
use wire::{Call, CallResponse, CallToken, JobRef, JobSpec};

use crate::ports::{Outbox, Output, ProcId, ProcIncarnation, ProcPorts};

/// The port for RPCs.
const RPC_PORT: u16 = 7000;

/// The port for HTTP requests.
const HTTP_PORT: u16 = 8000;

/// An input of a process.
#[derive(Clone, Debug)]
pub(crate) enum Arrival {
    Call {
        id: u64,
        call: Call,
    },
    Response {
        token: CallToken,
        response: Result<CallResponse>,
    },
    Store {
        token: StoreToken,
        reply: Result<StoreReply>,
    },
    Worker {
        id: u64,
        reply: Result<WorkerReply>,
    },
    Submit {
        job: usize,
        spec: Box<JobSpec>,
    },
    Cancel {
        asked: Instant,
        pool: PoolName,
        jobs: Vec<(usize, JobRef)>,
    },
    Status {
        asked: Instant,
        pool: PoolName,
        job: usize,
        of: JobRef,
    },
    Tables,
    Admit {
        request: usize,
        meta: Box<RequestMeta>,
    },
    Ended {
        request: usize,
        id: RequestId,
        end: AttemptEnd,
    },
    Answered {
        id: RequestId,
        end: AttemptEnd,
    },
    Begin {
        delivery: u64,
        meta: AdmitMeta,
    },
    Finished {
        id: RequestId,
        response: Option<Arc<StoredResponse>>,
    },
    Stop,
}

/// The program of a process, with the settings that all its incarnations share.
#[derive(Clone, Debug)]
pub(crate) enum Program {
    Entry(EntryCfg),
    Companion(CompanionCfg),
}

enum Node {
    Entry(entry::Node),
    Companion(companion::Node),
}

/// A process, alive or not.
pub(crate) struct Proc {
    pub(crate) id: ProcId,
    pub(crate) name: Name,
    pub(crate) program: Program,
    pub(crate) number: u32,
    pub(crate) paused_until: Option<Instant>,
    /// Pauses the process for this long after it decides its next grant, before the grant is sent.
    pub(crate) pause_at_grant: Option<Duration>,
    pub(crate) is_cut_off: bool,
    pub(crate) wake_at: Option<Instant>,
    inbox: Vec<Arrival>,
    node: Option<Node>,
}

/// What a process needs to start a new incarnation.
pub(crate) struct StartContext<'a> {
    pub(crate) clock: &'a Arc<ManualClock>,
    pub(crate) outbox: &'a Outbox,
    pub(crate) log: &'a slog::Logger,
    pub(crate) now: Instant,
    pub(crate) seed: u64,
}

impl Proc {
    pub(crate) fn new(id: ProcId, name: Name, program: Program) -> Self {
        Self {
            id,
            name,
            program,
            number: 0,
            paused_until: None,
            pause_at_grant: None,
            is_cut_off: false,
            wake_at: None,
            inbox: Vec::new(),
            node: None,
        }
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.node.is_some()
    }

    pub(crate) fn incarnation(&self) -> ProcIncarnation {
        ProcIncarnation {
            proc: self.id,
            number: self.number,
        }
    }

    pub(crate) fn is_current(&self, incarnation: ProcIncarnation) -> bool {
        self.is_alive() && self.number == incarnation.number
    }

    pub(crate) fn zone(&self) -> &ZoneName {
        match &self.program {
            Program::Entry(cfg) => &cfg.zone,
            Program::Companion(cfg) => &cfg.zone,
        }
    }

    /// Kills the current incarnation, if any, and starts a new one.
    pub(crate) fn start(&mut self, ctx: &StartContext<'_>) {
        self.kill();
        self.number += 1;
        let ports = Arc::new(ProcPorts {
            incarnation: self.incarnation(),
            outbox: ctx.outbox.clone(),
        });
        let clock = Arc::clone(ctx.clock) as Arc<dyn Clock>;
        let log = ctx.log.new(slog::o!("process" => self.name.to_string()));
        self.node = Some(match &self.program {
            Program::Entry(cfg) => {
                let cfg = Arc::new(EntryCfg {
                    entry: EntryId::from(format!("{}-{}", self.name, self.number)),
                    ..cfg.clone()
                });
                let ports = entry::Ports {
                    clock,
                    store: Arc::clone(&ports) as _,
                    calls: ports,
                    log,
                };
                Node::Entry(entry::Node::new(&cfg, &ports, ctx.now, ctx.seed))
            }
            Program::Companion(cfg) => {
                let cfg = Arc::new(CompanionCfg {
                    incarnation: Incarnation(ctx.seed),
                    ..cfg.clone()
                });
                let ports = companion::Ports {
                    clock,
                    worker: Arc::clone(&ports) as _,
                    calls: ports,
                    log,
                };
                Node::Companion(companion::Node::new(&cfg, &ports, ctx.now, ctx.seed))
            }
        });
    }

    /// Ends the incarnation at once; its pending responders are dropped.
    pub(crate) fn kill(&mut self) {
        self.node = None;
        self.inbox.clear();
        self.paused_until = None;
        self.pause_at_grant = None;
        self.wake_at = None;
    }

    /// Delivers an arrival to the actors, or queues it while the process is paused.
    pub(crate) fn deliver(&mut self, arrival: Arrival, outbox: &Outbox) {
        if self.paused_until.is_some() {
            self.inbox.push(arrival);
            return;
        }
        let incarnation = self.incarnation();
        match &mut self.node {
            Some(Node::Entry(node)) => {
                if let Some(event) = entry_event(arrival, incarnation, outbox) {
                    node.deliver(event);
                }
            }
            Some(Node::Companion(node)) => {
                if let Some(event) = companion_event(arrival, incarnation, outbox) {
                    node.deliver(event);
                }
            }
            None => {}
        }
    }

    /// Ends a pause and delivers what arrived during it.
    pub(crate) fn resume(&mut self, outbox: &Outbox) {
        self.paused_until = None;
        for arrival in std::mem::take(&mut self.inbox) {
            self.deliver(arrival, outbox);
        }
    }

    /// Runs what is due, unless the process is paused; returns when to run it next.
    pub(crate) fn run(&mut self, now: Instant) -> Option<Instant> {
        if self.paused_until.is_some() {
            return None;
        }
        match self.node.as_mut()? {
            Node::Entry(node) => {
                node.run(now);
                node.next_due()
            }
            Node::Companion(node) => {
                node.run(now);
                node.next_due()
            }
        }
    }
}

/// Returns the address of a process for RPCs.
pub(crate) fn rpc_addr(proc: ProcId) -> SocketAddr {
    SocketAddr::new(ip(proc), RPC_PORT)
}

/// Returns the address of a process for HTTP requests.
pub(crate) fn http_addr(proc: ProcId) -> SocketAddr {
    SocketAddr::new(ip(proc), HTTP_PORT)
}

/// Returns the process at an address; no process has an IPv6 address.
pub(crate) fn proc_at(addr: SocketAddr) -> ProcId {
    match addr.ip() {
        IpAddr::V4(ip) => ProcId::from(ip.octets()[3]),
        IpAddr::V6(_) => ProcId::MAX,
    }
}

fn ip(proc: ProcId) -> IpAddr {
    let last = u8::try_from(proc).expect("fewer than 256 processes");
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn entry_event(
    arrival: Arrival,
    incarnation: ProcIncarnation,
    outbox: &Outbox,
) -> Option<entry::Event> {
    use entry::Event;
    Some(match arrival {
        Arrival::Call { id, call } => return entry_call(id, call, incarnation, outbox),
        Arrival::Response { token, response } => Event::Call(token, response),
        Arrival::Store { token, reply } => Event::Store(token, reply),
        Arrival::Submit { job, spec } => Event::Admin(AdminEvent::Submit(
            spec,
            outbox.responder(incarnation, move |reply| Output::Submitted { job, reply }),
        )),
        Arrival::Cancel { asked, pool, jobs } => {
            let (jobs, refs) = jobs.into_iter().unzip();
            let reply = outbox.responder(incarnation, move |statuses| Output::Cancelled {
                jobs,
                asked,
                statuses,
            });
            Event::Admin(AdminEvent::Cancel(pool, refs, reply))
        }
        Arrival::Status {
            asked,
            pool,
            job,
            of,
        } => Event::Admin(AdminEvent::Job(
            pool,
            of,
            outbox.responder(incarnation, move |status| Output::Status {
                job,
                asked,
                status,
            }),
        )),
        Arrival::Tables => {
            let reply = outbox.responder(incarnation, |doc| Output::Tables { doc });
            Event::Admin(AdminEvent::Tables(reply))
        }
        Arrival::Admit { request, meta } => Event::Request(RequestEvent::Admit(
            *meta,
            outbox.responder(incarnation, move |step| Output::Step { request, step }),
        )),
        Arrival::Ended { request, id, end } => Event::Request(RequestEvent::Ended(
            id,
            end,
            outbox.responder(incarnation, move |step| Output::Step { request, step }),
        )),
        Arrival::Answered { id, end } => Event::Request(RequestEvent::Answered(id, end)),
        Arrival::Stop => Event::Stop,
        Arrival::Worker { .. } | Arrival::Begin { .. } | Arrival::Finished { .. } => return None,
    })
}

fn entry_call(
    id: u64,
    call: Call,
    incarnation: ProcIncarnation,
    outbox: &Outbox,
) -> Option<entry::Event> {
    use entry::Event;
    macro_rules! respond {
        (|$response:ident| $out:expr) => {
            outbox.responder(incarnation, move |response| Output::Response {
                call: id,
                response: response.map(|$response| $out),
            })
        };
    }
    Some(match call {
        Call::Announce(msg) => {
            Event::Announce(msg, respond!(|a| CallResponse::Announce(Box::new(a))))
        }
        Call::Poll(msg) => Event::Poll(msg, respond!(|a| CallResponse::Poll(Box::new(a)))),
        Call::Done(msg) => Event::Done(msg, respond!(|a| CallResponse::Done(a))),
        Call::Gossip(msg) => Event::Gossip(msg, respond!(|a| CallResponse::Gossip(Box::new(a)))),
        Call::Submit(shard, job) => {
            Event::Submit(shard, job, respond!(|a| CallResponse::Submit(a)))
        }
        Call::Job(shard, job) => Event::Job(shard, job, respond!(|a| CallResponse::Job(a))),
        Call::Cancel(shard, jobs) => {
            Event::Cancel(shard, jobs, respond!(|a| CallResponse::Cancel(a)))
        }
        Call::Claim(shard, claim, replaces) => {
            Event::Claim(shard, claim, replaces, respond!(|a| CallResponse::Claim(a)))
        }
        Call::Revoke(..) | Call::Drain | Call::Tables => return None,
    })
}

fn companion_event(
    arrival: Arrival,
    incarnation: ProcIncarnation,
    outbox: &Outbox,
) -> Option<companion::Event> {
    use companion::Event;
    Some(match arrival {
        Arrival::Call {
            id,
            call: Call::Revoke(request, expected, uptime),
        } => {
            let reply = outbox.responder(incarnation, move |response| Output::Response {
                call: id,
                response: response.map(CallResponse::Revoke),
            });
            Event::Revoke(request, expected, uptime, reply)
        }
        Arrival::Call {
            id,
            call: Call::Tables,
        } => Event::Tables(
            outbox.responder(incarnation, move |response| Output::Response {
                call: id,
                response: response
                    .map(|doc: Option<TablesDoc>| CallResponse::Tables(doc.map(Box::new))),
            }),
        ),
        Arrival::Response { token, response } => Event::Call(token, response),
        Arrival::Worker { id, reply } => Event::Worker(id, reply),
        Arrival::Begin { delivery, meta } => Event::Admit(AdmitEvent::Begin(
            meta,
            outbox.responder(incarnation, move |step| Output::Admit { delivery, step }),
        )),
        Arrival::Finished { id, response } => Event::Admit(AdmitEvent::Finished(id, response)),
        Arrival::Stop => Event::Drain,
        _ => return None,
    })
}
