//! The simulation: processes, store, workers and the event queue.

use base::ManualClock;
use base::prelude::*;
use ports::store::StoreCall;
use ports::worker::{WorkerCall, WorkerReply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Call, CallResponse, CallToken};

use crate::audit::RunAudit;
use crate::cfg::SoakCfg;
use crate::fault_plan::{Fault, FaultKind, plan_faults};
use crate::jobs::Jobs;
use crate::link::Link;
use crate::log;
use crate::ports::{Outbox, Output, ProcId, ProcIncarnation};
use crate::process::{Arrival, Proc, StartContext, proc_at};
use crate::queue::Queue;
use crate::report::Report;
use crate::requests::Requests;
use crate::store::SimStore;
use crate::trace::Trace;
use crate::vm::Vm;

/// The longest time from a decision of a process to the departure of its message.
const MAX_DEPARTURE_DELAY: Duration = Duration::from_micros(500);

/// The longest one-way delay of a call from a companion to its worker.
const MAX_WORKER_DELAY: Duration = Duration::from_millis(2);

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Depart(ProcIncarnation, Output),
    Arrive(ProcIncarnation, Arrival),
    /// A call arrives at the process, whichever incarnation runs by then.
    Deliver {
        to: ProcId,
        call: u64,
        msg: Call,
    },
    Response {
        call: u64,
        response: Result<CallResponse>,
    },
    StoreEffect {
        incarnation: ProcIncarnation,
        token: entry::StoreToken,
        call: StoreCall,
        reply_after: Duration,
        error: Option<ErrorKind>,
    },
    WatchTimeout(u64),
    WorkerEffect {
        incarnation: ProcIncarnation,
        vm: usize,
        number: u32,
        id: u64,
        call: WorkerCall,
    },
    Wake(ProcIncarnation),
    Resume(ProcIncarnation),
    Kill(ProcIncarnation),
    Restart(ProcId),
    ReplaceVm(usize),
    FaultBegins(Fault),
    FaultEnds(Fault),
    Caller(CallerAction),
}

/// An action of a caller or an operator, or an event in the course of a request.
#[derive(Clone, Debug)]
pub(crate) enum CallerAction {
    NewJob,
    Submit(usize),
    SubmitTimeout {
        job: usize,
        try_number: u32,
    },
    PollJobs,
    PollTables,
    NewRequest,
    Retry(Box<route::RequestMeta>, bool),
    AttemptTimeout {
        request: usize,
        attempt: u64,
    },
    RequestArrives(u64),
    TargetDone(u64),
    CompanionResponds {
        delivery: u64,
        end: route::AttemptEnd,
    },
    Apply {
        operator: u32,
        based_on: u64,
    },
}

/// A call between processes that has no response yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    pub(crate) incarnation: ProcIncarnation,
    pub(crate) token: CallToken,
}

/// A simulated run.
pub struct Simulation {
    pub(crate) cfg: SoakCfg,
    pub(crate) clock: Arc<ManualClock>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) trace: Trace,
    pub(crate) queue: Queue<SimEvent>,
    pub(crate) outbox: Outbox,
    pub(crate) log: slog::Logger,
    pub(crate) procs: Vec<Proc>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) store: SimStore,
    pub(crate) calls: IndexMap<u64, PendingCall>,
    next_call: u64,
    pub(crate) faulty_links: u32,
    pub(crate) jobs: Jobs,
    pub(crate) requests: Requests,
    pub(crate) generations: IndexMap<(ProcId, u32), Generation>,
    pub(crate) audit: RunAudit,
    pub(crate) faults: IndexMap<String, u64>,
    pub(crate) operations: IndexMap<&'static str, u64>,
    pub(crate) violations: Vec<String>,
    pub(crate) is_quiet: bool,
}

impl Simulation {
    /// Sets up the fleet, starts its processes and plans the faults.
    pub fn new(cfg: SoakCfg) -> Self {
        let clock = Arc::new(ManualClock::new());
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            trace: Trace::new(cfg.prints),
            log: log::logger(cfg.prints),
            cfg,
            clock,
            queue: Queue::new(),
            outbox: Outbox::default(),
            procs: Vec::new(),
            vms: Vec::new(),
            store: SimStore::new(),
            calls: IndexMap::new(),
            next_call: 0,
            faulty_links: 0,
            jobs: Jobs::default(),
            requests: Requests::default(),
            generations: IndexMap::new(),
            audit: RunAudit::default(),
            faults: IndexMap::new(),
            operations: IndexMap::new(),
            violations: Vec::new(),
            is_quiet: false,
        };
        simulation.set_up_fleet();
        let faults = plan_faults(
            &mut simulation.rng,
            simulation.cfg.span,
            simulation.cfg.fault_every,
        );
        let start = simulation.now();
        for fault in faults {
            simulation
                .queue
                .push(start + fault.at, SimEvent::FaultBegins(fault));
        }
        simulation
    }

    /// Runs to the end and returns the results.
    pub fn run(mut self) -> Report {
        let start = self.now();
        let broken_before = base::Promise::total_broken();
        self.run_until(start + self.cfg.span);
        self.is_quiet = true;
        self.clear_faults();
        self.run_until(start + self.cfg.span + self.cfg.quiet);
        self.check_results();
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
            while let Some(event) = self.queue.pop_due(self.now()) {
                self.handle(event);
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

    pub(crate) fn after(&mut self, delay: Duration, event: SimEvent) {
        let at = self.now() + delay;
        self.queue.push(at, event);
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

    pub(crate) fn record_violation(&mut self, text: String) {
        self.note(format_args!("VIOLATION {text}"));
        let at = self.clock.elapsed().as_secs_f64();
        self.violations.push(format!("{at:.3} {text}"));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Depart(incarnation, out) => self.depart(incarnation, out),
            SimEvent::Arrive(incarnation, arrival) => self.arrive(incarnation, arrival),
            SimEvent::Deliver { to, call, msg } => self.deliver(to, call, msg),
            SimEvent::Response { call, response } => self.complete_call(call, response),
            SimEvent::StoreEffect {
                incarnation,
                token,
                call,
                reply_after,
                error,
            } => self.store_effect(incarnation, token, call, reply_after, error),
            SimEvent::WatchTimeout(watch) => self.complete_watch(watch),
            SimEvent::WorkerEffect {
                incarnation,
                vm,
                number,
                id,
                call,
            } => self.worker_effect(incarnation, vm, number, id, call),
            SimEvent::Wake(incarnation) => self.wake(incarnation),
            SimEvent::Resume(incarnation) => self.resume(incarnation),
            SimEvent::Kill(incarnation) => self.kill(incarnation),
            SimEvent::Restart(proc) => self.restart(proc),
            SimEvent::ReplaceVm(vm) => self.replace_vm(vm),
            SimEvent::FaultBegins(fault) => self.fault_begins(fault),
            SimEvent::FaultEnds(fault) => self.fault_ends(fault),
            SimEvent::Caller(action) => self.handle_caller(action),
        }
    }

    /// Schedules the departure of all outputs collected since the last call.
    fn send_all(&mut self) {
        for (incarnation, out) in self.outbox.take() {
            if matches!(out, Output::Tables { .. }) {
                // Checked at once, in the order of the responses: a delay could reorder them.
                self.handle_output(incarnation, out);
                continue;
            }
            self.pause_at_grant(incarnation, &out);
            let delay = self.draw_up_to(MAX_DEPARTURE_DELAY);
            self.after(delay, SimEvent::Depart(incarnation, out));
        }
    }

    fn pause_at_grant(&mut self, incarnation: ProcIncarnation, out: &Output) {
        let is_grant = matches!(
            out,
            Output::Response { response: Some(CallResponse::Poll(reply)), .. } if has_start(reply)
        );
        let proc = &mut self.procs[incarnation.proc];
        if is_grant
            && proc.is_current(incarnation)
            && let Some(lasts) = proc.pause_at_grant.take()
        {
            self.count("grants held over a pause");
            self.pause(incarnation.proc, lasts);
        }
    }

    pub(crate) fn run_proc(&mut self, proc: ProcId) {
        let now = self.now();
        let incarnation = self.procs[proc].incarnation();
        let Some(due) = self.procs[proc].run(now) else {
            return;
        };
        let is_sooner = self.procs[proc]
            .wake_at
            .is_none_or(|at| due < at || at <= now);
        if is_sooner {
            self.procs[proc].wake_at = Some(due);
            self.queue.push(due.max(now), SimEvent::Wake(incarnation));
        }
    }

    fn wake(&mut self, incarnation: ProcIncarnation) {
        let now = self.now();
        let proc = &mut self.procs[incarnation.proc];
        if proc.is_current(incarnation) && proc.wake_at.is_some_and(|at| at <= now) {
            proc.wake_at = None;
            self.run_proc(incarnation.proc);
        }
    }

    pub(crate) fn start(&mut self, proc: ProcId) {
        let seed = self.rng.random();
        let ctx = StartContext {
            clock: &self.clock,
            outbox: &self.outbox,
            log: &self.log,
            now: self.clock.now(),
            seed,
        };
        self.procs[proc].start(&ctx);
        self.run_proc(proc);
    }

    fn kill(&mut self, incarnation: ProcIncarnation) {
        if self.procs[incarnation.proc].is_current(incarnation) {
            self.procs[incarnation.proc].kill();
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
        let incarnation = p.incarnation();
        self.note(format_args!("pause {proc} for {lasts:?}"));
        self.queue.push(until, SimEvent::Resume(incarnation));
    }

    fn resume(&mut self, incarnation: ProcIncarnation) {
        let proc = incarnation.proc;
        if !self.procs[proc].is_current(incarnation) || self.procs[proc].paused_until.is_none() {
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

    /// Delivers an arrival to a process if the incarnation that it is meant for still runs.
    pub(crate) fn arrive(&mut self, incarnation: ProcIncarnation, arrival: Arrival) {
        if !self.procs[incarnation.proc].is_current(incarnation) {
            return;
        }
        self.procs[incarnation.proc].deliver(arrival, &self.outbox);
        self.run_proc(incarnation.proc);
    }

    /// Returns the link between two processes.
    pub(crate) fn link(&self, a: ProcId, b: ProcId) -> Link {
        let base = if self.faulty_links > 0 {
            Link::FAULTY
        } else {
            Link::HEALTHY
        };
        let is_cut = self.procs[a].is_cut_off || self.procs[b].is_cut_off;
        Link {
            loss_rate: if is_cut { 1.0 } else { base.loss_rate },
            ..base
        }
    }

    fn depart(&mut self, incarnation: ProcIncarnation, out: Output) {
        if let Some(until) = self.paused_until(incarnation) {
            self.queue.push(until, SimEvent::Depart(incarnation, out));
            return;
        }
        let is_alive = self.procs[incarnation.proc].is_current(incarnation);
        match out {
            Output::Response { call, response } => {
                self.send_response(incarnation, call, response, is_alive)
            }
            _ if !is_alive => self.handle_lost_output(out),
            Output::Store { token, call } => self.send_store_call(incarnation, token, call),
            Output::Worker { id, call } => self.send_worker_call(incarnation, id, call),
            Output::Call {
                to,
                token,
                timeout,
                call,
            } => self.send_call(incarnation, proc_at(to), token, timeout, call),
            other => self.handle_output(incarnation, other),
        }
    }

    pub(crate) fn paused_until(&self, incarnation: ProcIncarnation) -> Option<Instant> {
        let proc = &self.procs[incarnation.proc];
        proc.paused_until.filter(|_| proc.is_current(incarnation))
    }

    fn send_call(
        &mut self,
        incarnation: ProcIncarnation,
        to: ProcId,
        token: CallToken,
        timeout: Duration,
        msg: Call,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.count("calls");
        self.calls.insert(call, PendingCall { incarnation, token });
        self.after(
            timeout,
            SimEvent::Response {
                call,
                response: Err(peer_error(ErrorKind::Timeout)),
            },
        );
        if to >= self.procs.len() {
            return;
        }
        let mut transmission = self.link(incarnation.proc, to).draw(&mut self.rng);
        if matches!(msg, Call::Submit(..)) {
            // A connection never duplicates a request, and this one is not idempotent.
            transmission.arrivals.truncate(1);
        }
        for delay in transmission.arrivals {
            let msg = msg.clone();
            self.after(delay, SimEvent::Deliver { to, call, msg });
        }
    }

    fn deliver(&mut self, to: ProcId, call: u64, msg: Call) {
        self.note(format_args!("call {call} at {to}: {msg:?}"));
        if !self.procs[to].is_alive() {
            let response = Err(peer_error(ErrorKind::Interrupted));
            self.after(MAX_DEPARTURE_DELAY, SimEvent::Response { call, response });
            return;
        }
        let incarnation = self.procs[to].incarnation();
        self.arrive(
            incarnation,
            Arrival::Call {
                id: call,
                call: msg,
            },
        );
    }

    fn send_response(
        &mut self,
        incarnation: ProcIncarnation,
        call: u64,
        response: Option<CallResponse>,
        is_alive: bool,
    ) {
        let Some(open) = self.calls.get(&call).copied() else {
            return;
        };
        let response = response
            .filter(|_| is_alive)
            .ok_or_else(|| peer_error(ErrorKind::Interrupted));
        let transmission = self
            .link(incarnation.proc, open.incarnation.proc)
            .draw(&mut self.rng);
        for delay in transmission.arrivals {
            let response = response.clone();
            self.after(delay, SimEvent::Response { call, response });
        }
    }

    fn complete_call(&mut self, call: u64, response: Result<CallResponse>) {
        let Some(open) = self.calls.swap_remove(&call) else {
            return;
        };
        match &response {
            Ok(response) => self.note(format_args!("answer to call {call}: {response:?}")),
            Err(e) => self.note(format_args!("no answer to call {call}: {e}")),
        }
        let token = open.token;
        self.arrive(open.incarnation, Arrival::Response { token, response });
    }

    fn send_worker_call(&mut self, incarnation: ProcIncarnation, id: u64, call: WorkerCall) {
        let Some(at) = self
            .vms
            .iter()
            .position(|vm| vm.companion == incarnation.proc)
        else {
            return;
        };
        let takes = self.draw_up_to(MAX_WORKER_DELAY);
        let now = self.now();
        let vm = &mut self.vms[at];
        vm.busy_until = vm.busy_until.max(now) + takes;
        let number = vm.number;
        let effect_at = vm.busy_until;
        let event = SimEvent::WorkerEffect {
            incarnation,
            vm: at,
            number,
            id,
            call,
        };
        self.queue.push(effect_at, event);
    }

    fn worker_effect(
        &mut self,
        incarnation: ProcIncarnation,
        vm: usize,
        number: u32,
        id: u64,
        call: WorkerCall,
    ) {
        if let Some(until) = self.paused_until(incarnation) {
            let event = SimEvent::WorkerEffect {
                incarnation,
                vm,
                number,
                id,
                call,
            };
            self.queue.push(until, event);
            return;
        }
        let now = self.now();
        let place = &mut self.vms[vm];
        let is_current = self.procs[incarnation.proc].is_current(incarnation);
        if !is_current || place.is_lost || place.number != number {
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
        let takes = self.draw_up_to(MAX_WORKER_DELAY);
        self.after(
            takes,
            SimEvent::Arrive(incarnation, Arrival::Worker { id, reply }),
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

impl std::fmt::Debug for Simulation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("cfg", &self.cfg)
            .finish_non_exhaustive()
    }
}
