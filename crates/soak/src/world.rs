//! The run itself: processes, store, workers and the queue of what happens next.

use base::ManualClock;
use base::prelude::*;
use ports::store::StoreCall;
use ports::worker::{WorkerCall, WorkerReply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Call, CallResponse, CallToken};

use crate::account::Account;
use crate::cfg::SoakCfg;
use crate::fate::Link;
use crate::jobs::Jobs;
use crate::log;
use crate::plan::{Fault, FaultKind, plan_faults};
use crate::ports::{Life, Out, Outbox, ProcId};
use crate::process::{Arrival, Birth, Proc, proc_at};
use crate::queue::Queue;
use crate::report::Report;
use crate::requests::Requests;
use crate::store_side::StoreSide;
use crate::trace::Trace;
use crate::vm::Vm;

/// The longest time between a decision and its message's leaving the process.
const MAX_DEPARTURE: Duration = Duration::from_micros(500);

/// The longest time of a call to the worker beside a companion.
const MAX_WORKER_CALL: Duration = Duration::from_millis(2);

/// What is to happen.
#[derive(Debug)]
pub(crate) enum Happening {
    Depart(Life, Out),
    Arrive(Life, Arrival),
    /// A call arrives at whichever life its address has then.
    Deliver {
        to: ProcId,
        call: u64,
        msg: Call,
    },
    Answered {
        call: u64,
        answer: Result<CallResponse>,
    },
    StoreEffect {
        life: Life,
        token: entry::StoreToken,
        call: StoreCall,
        reply_after: Duration,
        error: Option<ErrorKind>,
    },
    WatchEnds(u64),
    WorkerEffect {
        life: Life,
        vm: usize,
        number: u32,
        id: u64,
        call: WorkerCall,
    },
    Wake(Life),
    Resume(Life),
    Kill(Life),
    Restart(ProcId),
    ReplaceVm(usize),
    FaultBegins(Fault),
    FaultEnds(Fault),
    Caller(Caller),
}

/// What callers and operators do.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    NewJob,
    Submit(usize),
    GiveUp {
        job: usize,
        tried: u32,
    },
    LookAtJobs,
    LookAtTables,
    NewRequest,
    Retry(Box<route::RequestMeta>, bool),
    AttemptTimeout {
        request: usize,
        attempt: u64,
    },
    RequestArrives(u64),
    TargetDone(u64),
    CompanionAnswers {
        delivery: u64,
        end: route::AttemptEnd,
    },
    Apply {
        operator: u32,
        based_on: u64,
    },
}

/// A call that awaits its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCall {
    pub(crate) life: Life,
    pub(crate) token: CallToken,
}

/// A run under way.
pub struct World {
    pub(crate) cfg: SoakCfg,
    pub(crate) clock: Arc<ManualClock>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) trace: Trace,
    pub(crate) queue: Queue<Happening>,
    pub(crate) outbox: Outbox,
    pub(crate) log: slog::Logger,
    pub(crate) procs: Vec<Proc>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) store: StoreSide,
    pub(crate) calls: IndexMap<u64, OpenCall>,
    next_call: u64,
    pub(crate) bad_links: u32,
    pub(crate) jobs: Jobs,
    pub(crate) requests: Requests,
    pub(crate) generations: IndexMap<(ProcId, u32), Generation>,
    pub(crate) account: Account,
    pub(crate) faults: IndexMap<String, u64>,
    pub(crate) operations: IndexMap<&'static str, u64>,
    pub(crate) violations: Vec<String>,
    pub(crate) is_quiet: bool,
}

impl World {
    /// Sets up a run.
    pub fn new(cfg: SoakCfg) -> Self {
        let clock = Arc::new(ManualClock::new());
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            trace: Trace::new(cfg.prints),
            log: log::logger(cfg.prints),
            cfg,
            clock,
            queue: Queue::new(),
            outbox: Outbox::default(),
            procs: Vec::new(),
            vms: Vec::new(),
            store: StoreSide::new(),
            calls: IndexMap::new(),
            next_call: 0,
            bad_links: 0,
            jobs: Jobs::default(),
            requests: Requests::default(),
            generations: IndexMap::new(),
            account: Account::default(),
            faults: IndexMap::new(),
            operations: IndexMap::new(),
            violations: Vec::new(),
            is_quiet: false,
        };
        world.build();
        let faults = plan_faults(&mut world.rng, world.cfg.span, world.cfg.fault_every);
        let start = world.now();
        for fault in faults {
            world
                .queue
                .push(start + fault.at, Happening::FaultBegins(fault));
        }
        world
    }

    /// Runs to the end and tells what was found.
    pub fn run(mut self) -> Report {
        let start = self.now();
        let broken_before = base::Promise::total_broken();
        self.run_until(start + self.cfg.span);
        self.is_quiet = true;
        self.heal();
        self.run_until(start + self.cfg.span + self.cfg.quiet);
        self.finish();
        let broken = base::Promise::total_broken() - broken_before;
        if broken > 0 {
            let text = format!("{broken} checks inside the program failed");
            self.violations.push(text);
        }
        Report {
            seed: self.cfg.seed,
            faults: self.faults,
            operations: self.operations,
            promises: base::Promise::counts().to_vec(),
            violations: self.violations,
            trace_hash: self.trace.hash(),
            trace_lines: self.trace.lines(),
        }
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(at) = self.queue.next_at().filter(|at| *at <= end) {
            self.advance_to(at);
            while let Some(what) = self.queue.pop_due(self.now()) {
                self.happen(what);
                self.send_all();
            }
        }
        self.advance_to(end);
    }

    fn advance_to(&self, at: Instant) {
        let ahead = at.saturating_duration_since(self.now());
        self.clock.advance(ahead);
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn after(&mut self, delay: Duration, what: Happening) {
        let at = self.now() + delay;
        self.queue.push(at, what);
    }

    pub(crate) fn draw_up_to(&mut self, max: Duration) -> Duration {
        self.rng.random_range(Duration::ZERO..=max)
    }

    pub(crate) fn count(&mut self, operation: &'static str) {
        *self.operations.entry(operation).or_default() += 1;
    }

    pub(crate) fn note(&mut self, what: std::fmt::Arguments<'_>) {
        self.trace.line(self.clock.elapsed(), what);
    }

    pub(crate) fn breach(&mut self, text: String) {
        self.note(format_args!("VIOLATION {text}"));
        let at = self.clock.elapsed().as_secs_f64();
        self.violations.push(format!("{at:.3} {text}"));
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Depart(life, out) => self.depart(life, out),
            Happening::Arrive(life, arrival) => self.arrive(life, arrival),
            Happening::Deliver { to, call, msg } => self.deliver(to, call, msg),
            Happening::Answered { call, answer } => self.answered(call, answer),
            Happening::StoreEffect {
                life,
                token,
                call,
                reply_after,
                error,
            } => self.store_effect(life, token, call, reply_after, error),
            Happening::WatchEnds(watch) => self.watch_ends(watch),
            Happening::WorkerEffect {
                life,
                vm,
                number,
                id,
                call,
            } => self.worker_effect(life, vm, number, id, call),
            Happening::Wake(life) => self.wake(life),
            Happening::Resume(life) => self.resume(life),
            Happening::Kill(life) => self.kill(life),
            Happening::Restart(proc) => self.restart(proc),
            Happening::ReplaceVm(vm) => self.replace_vm(vm),
            Happening::FaultBegins(fault) => self.fault_begins(fault),
            Happening::FaultEnds(fault) => self.fault_ends(fault),
            Happening::Caller(caller) => self.caller(caller),
        }
    }

    /// Sends off what the processes gave out since the last time.
    fn send_all(&mut self) {
        for (life, out) in self.outbox.take() {
            if matches!(out, Out::Tables { .. }) {
                // Judged in the order in which the process answered.
                self.caller_hears(life, out);
                continue;
            }
            self.pause_at_grant(life, &out);
            let delay = self.draw_up_to(MAX_DEPARTURE);
            self.after(delay, Happening::Depart(life, out));
        }
    }

    fn pause_at_grant(&mut self, life: Life, out: &Out) {
        let is_grant = matches!(
            out,
            Out::Answer { answer: Some(CallResponse::Poll(reply)), .. } if has_start(reply)
        );
        let proc = &mut self.procs[life.proc];
        if is_grant
            && proc.is_life(life)
            && let Some(lasts) = proc.pause_at_grant.take()
        {
            self.count("grants held over a pause");
            self.pause(life.proc, lasts);
        }
    }

    pub(crate) fn run_proc(&mut self, proc: ProcId) {
        let now = self.now();
        let life = self.procs[proc].life();
        let Some(due) = self.procs[proc].run(now) else {
            return;
        };
        let is_sooner = self.procs[proc]
            .wake_at
            .is_none_or(|at| due < at || at <= now);
        if is_sooner {
            self.procs[proc].wake_at = Some(due);
            self.queue.push(due.max(now), Happening::Wake(life));
        }
    }

    fn wake(&mut self, life: Life) {
        let now = self.now();
        let proc = &mut self.procs[life.proc];
        if proc.is_life(life) && proc.wake_at.is_some_and(|at| at <= now) {
            proc.wake_at = None;
            self.run_proc(life.proc);
        }
    }

    pub(crate) fn start(&mut self, proc: ProcId) {
        let seed = self.rng.random();
        let birth = Birth {
            clock: &self.clock,
            outbox: &self.outbox,
            log: &self.log,
            now: self.clock.now(),
            seed,
        };
        self.procs[proc].start(&birth);
        self.run_proc(proc);
    }

    fn kill(&mut self, life: Life) {
        if self.procs[life.proc].is_life(life) {
            self.procs[life.proc].kill();
        }
    }

    fn restart(&mut self, proc: ProcId) {
        let on_lost_vm = self.vms.iter().any(|vm| vm.companion == proc && vm.is_lost);
        if self.procs[proc].is_alive() || on_lost_vm {
            return;
        }
        self.note(format_args!("restart {proc}"));
        self.start(proc);
    }

    pub(crate) fn pause(&mut self, proc: ProcId, lasts: Duration) {
        let until = self.now() + lasts;
        let p = &mut self.procs[proc];
        if !p.is_alive() || p.paused_until.is_some() {
            return;
        }
        p.paused_until = Some(until);
        let life = p.life();
        self.note(format_args!("pause {proc} for {lasts:?}"));
        self.queue.push(until, Happening::Resume(life));
    }

    fn resume(&mut self, life: Life) {
        let proc = life.proc;
        if !self.procs[proc].is_life(life) || self.procs[proc].paused_until.is_none() {
            return;
        }
        self.note(format_args!("resume {proc}"));
        let timers_first = self.rng.random_bool(0.5);
        if timers_first {
            self.procs[proc].paused_until = None;
            self.run_proc(proc);
        }
        self.procs[proc].resume(&self.outbox);
        self.procs[proc].wake_at = None;
        self.run_proc(proc);
    }

    /// Hands something to a process, if the life that it is meant for still lasts.
    pub(crate) fn arrive(&mut self, life: Life, arrival: Arrival) {
        if !self.procs[life.proc].is_life(life) {
            return;
        }
        self.procs[life.proc].take(arrival, &self.outbox);
        self.run_proc(life.proc);
    }

    /// Returns the link between two processes.
    pub(crate) fn link(&self, a: ProcId, b: ProcId) -> Link {
        let base = if self.bad_links > 0 {
            Link::BAD
        } else {
            Link::SOUND
        };
        let is_cut = self.procs[a].is_cut_off || self.procs[b].is_cut_off;
        Link {
            lose: if is_cut { 1.0 } else { base.lose },
            ..base
        }
    }

    fn depart(&mut self, life: Life, out: Out) {
        if let Some(until) = self.paused_until(life) {
            self.queue.push(until, Happening::Depart(life, out));
            return;
        }
        let is_alive = self.procs[life.proc].is_life(life);
        match out {
            Out::Answer { call, answer } => self.send_answer(life, call, answer, is_alive),
            _ if !is_alive => self.drop_out(out),
            Out::Store { token, call } => self.call_store(life, token, call),
            Out::Worker { id, call } => self.call_worker(life, id, call),
            Out::Call {
                to,
                token,
                timeout,
                call,
            } => self.send_call(life, proc_at(to), token, timeout, call),
            other => self.caller_hears(life, other),
        }
    }

    pub(crate) fn paused_until(&self, life: Life) -> Option<Instant> {
        let proc = &self.procs[life.proc];
        proc.paused_until.filter(|_| proc.is_life(life))
    }

    fn send_call(
        &mut self,
        life: Life,
        to: ProcId,
        token: CallToken,
        timeout: Duration,
        msg: Call,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.count("calls");
        self.calls.insert(call, OpenCall { life, token });
        self.after(
            timeout,
            Happening::Answered {
                call,
                answer: Err(peer_error(ErrorKind::Timeout)),
            },
        );
        if to >= self.procs.len() {
            return;
        }
        let mut fate = self.link(life.proc, to).draw(&mut self.rng);
        if matches!(msg, Call::Submit(..)) {
            // A connection never delivers one request twice, and this one is not repeatable.
            fate.arrivals.truncate(1);
        }
        for delay in fate.arrivals {
            let msg = msg.clone();
            self.after(delay, Happening::Deliver { to, call, msg });
        }
    }

    fn deliver(&mut self, to: ProcId, call: u64, msg: Call) {
        self.note(format_args!("call {call} at {to}: {msg:?}"));
        if !self.procs[to].is_alive() {
            let answer = Err(peer_error(ErrorKind::Interrupted));
            self.after(MAX_DEPARTURE, Happening::Answered { call, answer });
            return;
        }
        let life = self.procs[to].life();
        self.arrive(
            life,
            Arrival::Call {
                id: call,
                call: msg,
            },
        );
    }

    fn send_answer(&mut self, life: Life, call: u64, answer: Option<CallResponse>, is_alive: bool) {
        let Some(open) = self.calls.get(&call).copied() else {
            return;
        };
        let answer = answer
            .filter(|_| is_alive)
            .ok_or_else(|| peer_error(ErrorKind::Interrupted));
        let fate = self.link(life.proc, open.life.proc).draw(&mut self.rng);
        for delay in fate.arrivals {
            let answer = answer.clone();
            self.after(delay, Happening::Answered { call, answer });
        }
    }

    fn answered(&mut self, call: u64, answer: Result<CallResponse>) {
        let Some(open) = self.calls.swap_remove(&call) else {
            return;
        };
        match &answer {
            Ok(answer) => self.note(format_args!("answer to call {call}: {answer:?}")),
            Err(e) => self.note(format_args!("no answer to call {call}: {e}")),
        }
        let token = open.token;
        self.arrive(open.life, Arrival::Answer { token, answer });
    }

    fn call_worker(&mut self, life: Life, id: u64, call: WorkerCall) {
        let Some(at) = self.vms.iter().position(|vm| vm.companion == life.proc) else {
            return;
        };
        let takes = self.draw_up_to(MAX_WORKER_CALL);
        let now = self.now();
        let vm = &mut self.vms[at];
        vm.busy_until = vm.busy_until.max(now) + takes;
        let number = vm.number;
        let effect_at = vm.busy_until;
        let what = Happening::WorkerEffect {
            life,
            vm: at,
            number,
            id,
            call,
        };
        self.queue.push(effect_at, what);
    }

    fn worker_effect(&mut self, life: Life, vm: usize, number: u32, id: u64, call: WorkerCall) {
        if let Some(until) = self.paused_until(life) {
            let what = Happening::WorkerEffect {
                life,
                vm,
                number,
                id,
                call,
            };
            self.queue.push(until, what);
            return;
        }
        let now = self.now();
        let place = &mut self.vms[vm];
        let is_life = self.procs[life.proc].is_life(life);
        if !is_life || place.is_lost || place.number != number {
            return;
        }
        let reply = place.call(now, &call);
        if !matches!(
            call,
            WorkerCall::List | WorkerCall::Usage | WorkerCall::Renew { .. }
        ) {
            self.note(format_args!(
                "worker {vm}: {call:?} -> {:?}",
                reply_kind(&reply)
            ));
        }
        let takes = self.draw_up_to(MAX_WORKER_CALL);
        self.after(
            takes,
            Happening::Arrive(life, Arrival::Worker { id, reply }),
        );
    }

    pub(crate) fn count_fault(&mut self, kind: FaultKind) {
        *self.faults.entry(format!("{kind:?}")).or_default() += 1;
    }
}

fn reply_kind(reply: &Result<WorkerReply>) -> std::result::Result<&WorkerReply, ErrorKind> {
    reply.as_ref().map_err(Error::kind)
}

fn has_start(reply: &wire::PollReply) -> bool {
    match &reply.answer {
        wire::PollOutcome::Owner { orders, .. } => orders
            .iter()
            .any(|order| matches!(order, wire::Order::Start(_))),
        wire::PollOutcome::NotOwner { .. } => false,
    }
}

fn peer_error(kind: ErrorKind) -> Error {
    Error::new(kind, "call", "peer", "injected")
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("cfg", &self.cfg)
            .finish_non_exhaustive()
    }
}
