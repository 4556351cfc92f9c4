//! The processes of a run: the real actors, killed, paused and started again.

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

use crate::ports::{Life, LifePorts, Out, Outbox, ProcId};

/// The port of control calls.
const RPC_PORT: u16 = 7000;

/// The port of requests.
const HTTP_PORT: u16 = 8000;

/// What reaches a process.
#[derive(Clone, Debug)]
pub(crate) enum Arrival {
    Call {
        id: u64,
        call: Call,
    },
    Answer {
        token: CallToken,
        answer: Result<CallResponse>,
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
        answer: Option<Arc<StoredResponse>>,
    },
    Stop,
}

/// Which program a process runs, with its settings but for what each life draws.
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
    /// Pauses the process for this long at its next grant, before the grant leaves.
    pub(crate) pause_at_grant: Option<Duration>,
    pub(crate) is_cut_off: bool,
    pub(crate) wake_at: Option<Instant>,
    inbox: Vec<Arrival>,
    node: Option<Node>,
}

/// What a new life of a process is made of.
pub(crate) struct Birth<'a> {
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

    pub(crate) fn life(&self) -> Life {
        Life {
            proc: self.id,
            number: self.number,
        }
    }

    pub(crate) fn is_life(&self, life: Life) -> bool {
        self.is_alive() && self.number == life.number
    }

    pub(crate) fn zone(&self) -> &ZoneName {
        match &self.program {
            Program::Entry(cfg) => &cfg.zone,
            Program::Companion(cfg) => &cfg.zone,
        }
    }

    /// Starts a new life.
    pub(crate) fn start(&mut self, birth: &Birth<'_>) {
        self.kill();
        self.number += 1;
        let ports = Arc::new(LifePorts {
            life: self.life(),
            outbox: birth.outbox.clone(),
        });
        let clock = Arc::clone(birth.clock) as Arc<dyn Clock>;
        let log = birth.log.new(slog::o!("process" => self.name.to_string()));
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
                Node::Entry(entry::Node::new(&cfg, &ports, birth.now, birth.seed))
            }
            Program::Companion(cfg) => {
                let cfg = Arc::new(CompanionCfg {
                    incarnation: Incarnation(birth.seed),
                    ..cfg.clone()
                });
                let ports = companion::Ports {
                    clock,
                    worker: Arc::clone(&ports) as _,
                    calls: ports,
                    log,
                };
                Node::Companion(companion::Node::new(&cfg, &ports, birth.now, birth.seed))
            }
        });
    }

    /// Ends the life at once; whatever it owed is dropped.
    pub(crate) fn kill(&mut self) {
        self.node = None;
        self.inbox.clear();
        self.paused_until = None;
        self.pause_at_grant = None;
        self.wake_at = None;
    }

    /// Hands an arrival to the actors, or keeps it until a pause ends.
    pub(crate) fn take(&mut self, arrival: Arrival, outbox: &Outbox) {
        if self.paused_until.is_some() {
            self.inbox.push(arrival);
            return;
        }
        let life = self.life();
        match &mut self.node {
            Some(Node::Entry(node)) => {
                if let Some(event) = entry_event(arrival, life, outbox) {
                    node.deliver(event);
                }
            }
            Some(Node::Companion(node)) => {
                if let Some(event) = companion_event(arrival, life, outbox) {
                    node.deliver(event);
                }
            }
            None => {}
        }
    }

    /// Ends a pause and hands over what arrived meanwhile.
    pub(crate) fn resume(&mut self, outbox: &Outbox) {
        self.paused_until = None;
        for arrival in std::mem::take(&mut self.inbox) {
            self.take(arrival, outbox);
        }
    }

    /// Runs what is due, unless the process is paused; returns when it has to run next.
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

/// Returns the address of a process for control calls.
pub(crate) fn rpc_addr(proc: ProcId) -> SocketAddr {
    SocketAddr::new(ip(proc), RPC_PORT)
}

/// Returns the address of a process for requests.
pub(crate) fn http_addr(proc: ProcId) -> SocketAddr {
    SocketAddr::new(ip(proc), HTTP_PORT)
}

/// Returns the process at an address.
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

fn entry_event(arrival: Arrival, life: Life, outbox: &Outbox) -> Option<entry::Event> {
    use entry::Event;
    Some(match arrival {
        Arrival::Call { id, call } => return entry_call(id, call, life, outbox),
        Arrival::Answer { token, answer } => Event::Call(token, answer),
        Arrival::Store { token, reply } => Event::Store(token, reply),
        Arrival::Submit { job, spec } => Event::Admin(AdminEvent::Submit(
            spec,
            outbox.owed(life, move |reply| Out::Submitted { job, reply }),
        )),
        Arrival::Cancel { asked, pool, jobs } => {
            let (jobs, refs) = jobs.into_iter().unzip();
            let reply = outbox.owed(life, move |statuses| Out::Cancelled {
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
            outbox.owed(life, move |status| Out::Status { job, asked, status }),
        )),
        Arrival::Tables => {
            let reply = outbox.owed(life, |doc| Out::Tables { doc });
            Event::Admin(AdminEvent::Tables(reply))
        }
        Arrival::Admit { request, meta } => Event::Request(RequestEvent::Admit(
            *meta,
            outbox.owed(life, move |step| Out::Step { request, step }),
        )),
        Arrival::Ended { request, id, end } => Event::Request(RequestEvent::Ended(
            id,
            end,
            outbox.owed(life, move |step| Out::Step { request, step }),
        )),
        Arrival::Answered { id, end } => Event::Request(RequestEvent::Answered(id, end)),
        Arrival::Stop => Event::Stop,
        Arrival::Worker { .. } | Arrival::Begin { .. } | Arrival::Finished { .. } => return None,
    })
}

fn entry_call(id: u64, call: Call, life: Life, outbox: &Outbox) -> Option<entry::Event> {
    use entry::Event;
    macro_rules! owed {
        (|$answer:ident| $out:expr) => {
            outbox.owed(life, move |answer| Out::Answer {
                call: id,
                answer: answer.map(|$answer| $out),
            })
        };
    }
    Some(match call {
        Call::Announce(msg) => Event::Announce(msg, owed!(|a| CallResponse::Announce(Box::new(a)))),
        Call::Poll(msg) => Event::Poll(msg, owed!(|a| CallResponse::Poll(Box::new(a)))),
        Call::Done(msg) => Event::Done(msg, owed!(|a| CallResponse::Done(a))),
        Call::Gossip(msg) => Event::Gossip(msg, owed!(|a| CallResponse::Gossip(Box::new(a)))),
        Call::Submit(shard, job) => Event::Submit(shard, job, owed!(|a| CallResponse::Submit(a))),
        Call::Job(shard, job) => Event::Job(shard, job, owed!(|a| CallResponse::Job(a))),
        Call::Cancel(shard, jobs) => Event::Cancel(shard, jobs, owed!(|a| CallResponse::Cancel(a))),
        Call::Claim(shard, claim, replaces) => {
            Event::Claim(shard, claim, replaces, owed!(|a| CallResponse::Claim(a)))
        }
        Call::Revoke(..) | Call::Drain | Call::Tables => return None,
    })
}

fn companion_event(arrival: Arrival, life: Life, outbox: &Outbox) -> Option<companion::Event> {
    use companion::Event;
    Some(match arrival {
        Arrival::Call {
            id,
            call: Call::Revoke(request, incarnation, uptime),
        } => {
            let reply = outbox.owed(life, move |answer| Out::Answer {
                call: id,
                answer: answer.map(CallResponse::Revoke),
            });
            Event::Revoke(request, incarnation, uptime, reply)
        }
        Arrival::Call {
            id,
            call: Call::Tables,
        } => Event::Tables(outbox.owed(life, move |answer| Out::Answer {
            call: id,
            answer: answer.map(|doc: Option<TablesDoc>| CallResponse::Tables(doc.map(Box::new))),
        })),
        Arrival::Answer { token, answer } => Event::Call(token, answer),
        Arrival::Worker { id, reply } => Event::Worker(id, reply),
        Arrival::Begin { delivery, meta } => Event::Admit(AdmitEvent::Begin(
            meta,
            outbox.owed(life, move |step| Out::Admit { delivery, step }),
        )),
        Arrival::Finished { id, answer } => Event::Admit(AdmitEvent::Finished(id, answer)),
        Arrival::Stop => Event::Drain,
        _ => return None,
    })
}
