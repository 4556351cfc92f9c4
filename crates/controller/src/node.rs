//! The actor of an entry: takes part in the election and owns the jobs while elected.

mod cordoning;
mod lookups;
mod ownership;
mod stats;
mod waiting;

use base::prelude::*;
use base::unix_ms;
use crossbeam_channel::Sender;
use host::KeyUpdate;
use jobs::owner::{AdviceRequest, OwnerRecord, Replacement};
use jobs::report::{SyncReply, SyncReport};
use jobs::{Effect, JobReply, JobRequest, Owner, RouteRef, Token};
use ports::store::{KeyValue, StoreCall, StoreReply};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use report::OperationMetrics;
use slog::{Logger, info, warn};
use stakker::{CX, FixedTimerKey, call};
use wire::Responder;

use self::waiting::Waiting;
use crate::cfg::CordonCfg;
use crate::cordons::CordonReader;
use crate::elector::{Clocks, Elector, ElectorCfg};
use crate::load::Load;
use crate::{Event, StoreToken};

/// The maximum random delay of a claim, so that entries do not all claim at once.
const CLAIM_JITTER: Duration = Duration::from_millis(60);

/// When callers retry while no entry owns the jobs: about how long an election takes.
const ELECTION_RETRY: Duration = Duration::from_secs(1);

/// The delay before a failed load call is retried.
const LOAD_RETRY: Duration = Duration::from_millis(200);

/// The settings of an entry's actor.
#[derive(Clone, Debug)]
pub struct NodeCfg {
    /// The election.
    pub elector: ElectorCfg,
    /// The workers' lease: how long they run tasks after their last acknowledged report.
    pub worker_lease: Duration,
    /// How long the states of ended jobs can be queried.
    pub retention: Duration,
    /// How operators cordon availability zones; `None` if they can't.
    pub cordon: Option<CordonCfg>,
}

/// The calls that an entry's actor makes; each returns at once.
pub trait Ports: Send + Sync + std::fmt::Debug {
    /// Submits a store call; the reply arrives as [`Event::Store`] with the token.
    fn store(&self, token: StoreToken, call: StoreCall);

    /// Forwards a caller's request to the owner and sends its reply to the responder.
    fn forward(&self, to: &OwnerRecord, request: JobRequest, responder: Responder<JobReply>);

    /// Calls the placement advisor; the reply arrives as [`Event::Advised`].
    fn advise(&self, request: AdviceRequest);

    /// Notifies an owner that another entry has taken over; a failure is only logged.
    fn notify_replaced(&self, previous: &OwnerRecord, by: Replacement);
}

/// The actor's state.
pub(crate) struct Controller {
    cfg: NodeCfg,
    clock: Arc<dyn Clock>,
    ports: Arc<dyn Ports>,
    operation_metrics: Arc<OperationMetrics>,
    log: Logger,
    rng: SmallRng,
    elector: Elector,
    election_sent: Option<Clocks>,
    load: Option<Load>,
    owner: Option<Owner>,
    /// Reads the cordoned zones while this entry owns the jobs, or is about to.
    cordons: Option<CordonReader>,
    callers: IndexMap<Token, Responder<JobReply>>,
    /// Requests that wait for an election that is under way.
    waiting: Vec<Waiting>,
    companions: IndexMap<Token, Responder<SyncReply>>,
    /// The latest report of each VM that arrived while the jobs were being loaded.
    early_reports: IndexMap<Name, (SyncReport, Responder<SyncReply>)>,
    lookups: IndexMap<u64, Token>,
    /// The callers whose submission is looked up because the owner's reply was lost, with its route.
    unanswered: IndexMap<Token, RouteRef>,
    next: u64,
    timer: FixedTimerKey,
    /// Whether [`Controller::run`] is queued behind events that were delivered together.
    is_run_queued: bool,
    /// Since when an owner is expected, while there is none.
    expected_since: Option<Instant>,
}

impl Controller {
    pub(crate) fn init(
        cx: CX![],
        cfg: NodeCfg,
        clock: Arc<dyn Clock>,
        ports: Arc<dyn Ports>,
        operation_metrics: Arc<OperationMetrics>,
        log: Logger,
        seed: u64,
    ) -> Option<Self> {
        call!([cx], run());
        Some(Self {
            elector: Elector::new(cfg.elector.clone()),
            cordons: cfg.cordon.clone().map(CordonReader::new),
            cfg,
            clock,
            ports,
            operation_metrics,
            log,
            rng: SmallRng::seed_from_u64(seed),
            election_sent: None,
            load: None,
            owner: None,
            callers: IndexMap::new(),
            waiting: Vec::new(),
            companions: IndexMap::new(),
            early_reports: IndexMap::new(),
            lookups: IndexMap::new(),
            unanswered: IndexMap::new(),
            next: 0,
            timer: FixedTimerKey::default(),
            is_run_queued: true,
            expected_since: None,
        })
    }

    fn token(&mut self) -> Token {
        self.next += 1;
        Token(self.next)
    }

    /// Runs what is due and sets the timer for the next due time.
    fn run(&mut self, cx: CX![]) {
        self.is_run_queued = false;
        let now = cx.now();
        if self.election_sent.is_none() {
            let nonce = Nonce(self.rng.random());
            if let Some(call) = self.elector.run(now, nonce) {
                self.election_call(now, call);
            }
        }
        self.read_cordons(now);
        self.serve_waiting(now);
        let may_lead = self.elector.may_lead(now, self.clock.boot_time());
        // A resumption takes two calls of the store; its owner need not send the reports back.
        let is_waiting = self.elector.is_resuming();
        if let Some(owner) = self.owner.as_mut().filter(|_| !is_waiting) {
            let began = self.clock.now();
            if let Some(at) = self.elector.proved_at() {
                owner.ownership_proved(at);
            }
            let effects = if may_lead {
                owner.run(now, unix_ms(self.clock.wall()))
            } else {
                owner.pause()
            };
            self.record_run(began);
            self.export_stats();
            self.carry_out(cx, effects);
        }
        let due = [
            self.elector.next_due(),
            self.owner.as_ref().map(|o| o.next_due(now)),
            self.cordons.as_ref().and_then(CordonReader::next_due),
            self.waiting_due(),
        ];
        let due = due.into_iter().flatten().min();
        cx.timer_del(self.timer);
        if let Some(due) = due {
            // A due time in the past must not make the loop spin.
            let due = due.max(now + Duration::from_millis(1));
            self.timer = stakker::at!(due, [cx], run());
        }
    }

    fn election_call(&mut self, now: Instant, call: StoreCall) {
        self.election_sent = Some((now, self.clock.boot_time()));
        self.ports.store(StoreToken::Election, call);
    }

    pub(crate) fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Caller(request, deadline, responder) => {
                self.caller(now, deadline, *request, responder);
            }
            Event::Forwarded(request, responder) => {
                self.serve_owned(now, None, *request, responder);
            }
            Event::Unanswered(job, route, responder) => {
                self.look_up_unanswered(&job, route, responder);
            }
            Event::Sync(report, responder) => self.sync(now, *report, responder),
            Event::OwnerKey(KeyUpdate::Current(kv)) => self.key_seen(cx, kv.as_ref()),
            Event::OwnerKey(KeyUpdate::Unreachable(e)) => {
                warn!(self.log, "entry: owner key could not be read"; "error" => %e);
                self.elector.store_failed(now);
            }
            Event::OwnerWithoutStore(epoch) => self.elector.claim_from(now, epoch),
            Event::Replaced(by) => self.replaced(cx, &by),
            Event::Store(token, reply) => self.store_reply(cx, token, reply),
            Event::Advised(stage, reply) => {
                if let Some(owner) = self.owner.as_mut() {
                    owner.handle_advice(now, &stage, reply);
                }
            }
            Event::Resign => self.resign(cx),
        }
        self.run_after_events(cx);
    }

    /// Queues one run for all events that are delivered together, so that its cost does not grow
    /// with their number.
    fn run_after_events(&mut self, cx: CX![]) {
        if !std::mem::replace(&mut self.is_run_queued, true) {
            call!([cx], run());
        }
    }

    /// Serves a caller's request here if this entry is the owner, or forwards it to the owner.
    fn caller(
        &mut self,
        now: Instant,
        deadline: Instant,
        request: JobRequest,
        responder: Responder<JobReply>,
    ) {
        match self.other_owner().filter(|_| self.owner.is_none()) {
            Some(owner) => self.ports.forward(owner, request, responder),
            None => self.serve_owned(now, Some(deadline), request, responder),
        }
    }

    /// Returns the owner if it is another entry.
    fn other_owner(&self) -> Option<&OwnerRecord> {
        let owner = self.elector.owner();
        owner.filter(|owner| owner.name != self.cfg.elector.me.name)
    }

    /// Returns this entry's owner with the wall time and a new token, if it may act now.
    fn active_owner(&mut self, now: Instant) -> Option<(&mut Owner, u64, Token)> {
        if !self.elector.may_lead(now, self.clock.boot_time()) {
            return None;
        }
        let token = self.token();
        Some((self.owner.as_mut()?, unix_ms(self.clock.wall()), token))
    }

    /// Passes a request to this entry's owner; if there is none, the request of a caller who waits until
    /// `deadline`, or of another entry, waits for an election that is under way.
    fn serve_owned(
        &mut self,
        now: Instant,
        deadline: Option<Instant>,
        request: JobRequest,
        responder: Responder<JobReply>,
    ) {
        if let Some((owner, unix_ms, token)) = self.active_owner(now) {
            owner.handle_request(now, unix_ms, token, request);
            self.callers.insert(token, responder);
        } else {
            self.wait_for_owner(now, deadline, request, responder);
        }
    }

    fn sync(&mut self, now: Instant, report: SyncReport, responder: Responder<SyncReply>) {
        // Before anything is replied from what was known before a suspension.
        self.forget_outdated_cordons(now);
        if let Some((owner, unix_ms, token)) = self.active_owner(now) {
            owner.sync(now, unix_ms, token, report);
            self.companions.insert(token, responder);
        } else if self.load.is_some() {
            self.keep_report(report, responder);
        } else {
            responder.send(SyncReply::default());
        }
    }

    /// Keeps a report until the jobs are loaded, so that companions need not send it again and
    /// again meanwhile.
    fn keep_report(&mut self, report: SyncReport, responder: Responder<SyncReply>) {
        let vm = Arc::clone(&report.vm);
        if let Some((_, earlier)) = self.early_reports.insert(vm, (report, responder)) {
            earlier.send(SyncReply::default());
        }
    }

    fn key_seen(&mut self, cx: CX![], kv: Option<&KeyValue>) {
        let jitter = self.rng.random_range(Duration::ZERO..CLAIM_JITTER);
        let before = self.elector.owner().cloned();
        let change = self.elector.key_seen(cx.now(), jitter, kv);
        let after = self.elector.owner();
        if before.as_ref() != after {
            info!(self.log, "entry: owner changed";
                "owner" => after.map(|o| o.name.to_string()), "epoch" => after.map(|o| o.epoch.0));
        }
        self.changed(cx, change);
    }

    fn replaced(&mut self, cx: CX![], by: &Replacement) {
        info!(self.log, "entry: notified of another owner";
            "owner" => %by.record.name, "epoch" => by.record.epoch.0);
        let change = self.elector.replaced(by);
        self.changed(cx, change);
    }

    fn store_reply(&mut self, cx: CX![], token: StoreToken, reply: Result<StoreReply>) {
        let now = cx.now();
        match token {
            StoreToken::Election => self.election_reply(cx, reply),
            StoreToken::Commit(epoch, id) => {
                if let Some(owner) = self.owner.as_mut().filter(|o| o.epoch() == epoch) {
                    owner.store_reply(now, id, reply);
                }
            }
            StoreToken::Load(epoch) => self.loaded(cx, epoch, reply),
            StoreToken::Cordons => self.cordons_read(now, reply),
            StoreToken::Lookup(id) => self.lookup_done(id, reply),
        }
    }

    fn election_reply(&mut self, cx: CX![], reply: Result<StoreReply>) {
        let now = cx.now();
        if let Err(e) = &reply {
            warn!(self.log, "entry: election call failed"; "error" => %e);
        }
        let is_reached = reply
            .as_ref()
            .map_or_else(|e| e.kind() == ErrorKind::Refused, |_| true);
        if let Some(owner) = self.owner.as_mut() {
            owner.store_reached(now, is_reached);
        }
        let sent = self.election_sent.take();
        let sent = sent.unwrap_or_else(|| (now, self.clock.boot_time()));
        let (next, change) = self.elector.reply(now, sent, reply);
        if let Some(next) = next {
            self.election_call(now, next);
        }
        self.changed(cx, change);
    }

    fn reply_to_caller(&mut self, token: Token, reply: JobReply) {
        if let Some(responder) = self.callers.swap_remove(&token) {
            responder.send(reply);
        }
    }

    fn carry_out(&mut self, cx: CX![], effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(token, reply) => self.reply_to_caller(token, reply),
                Effect::Sync(token, reply) => {
                    if let Some(responder) = self.companions.swap_remove(&token) {
                        responder.send(*reply);
                    }
                }
                Effect::Store(id, call) => {
                    // An owner that has just stepped down needs no reply.
                    if let Some(owner) = &self.owner {
                        self.ports
                            .store(StoreToken::Commit(owner.epoch(), id), call);
                    }
                }
                Effect::Lookup(token, job) => self.look_up(token, &job),
                Effect::Advise(request) => self.ports.advise(request),
                Effect::KeyMissing => self.elector.key_missing(cx.now()),
                Effect::ProveOwnership => self.elector.prove(cx.now()),
                Effect::StepDown(why) => {
                    self.elector.follow(cx.now());
                    self.stop_owner(cx, why);
                }
            }
        }
    }

    fn resign(&mut self, cx: CX![]) {
        if let Some(call) = self.elector.resign() {
            self.stop_owner(cx, "the process stops");
            self.election_call(cx.now(), call);
        }
    }
}

fn no_owner() -> JobReply {
    JobReply::refused("no entry owns the jobs", ELECTION_RETRY)
}

/// The sender through which threads deliver events to the actor.
pub(crate) type Events = Sender<Event>;
