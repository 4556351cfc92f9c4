//! Callers that send requests, the threads that serve them on entries and companions, and targets.

use base::prelude::*;
use companion::{AdmitMeta, AdmitStep, StoredResponse};
use rand::Rng;
use route::{AttemptEnd, RequestMeta, RequestStep, SendStep};
use tables::Priority;
use ureq::http::HeaderMap;

use crate::ports::ProcIncarnation;
use crate::process::{Arrival, proc_at};
use crate::requests::{Delivery, Request, RequestOutcome};
use crate::simulation::{CallerAction, SimEvent, Simulation};

/// The longest ordinary service time of a target.
const MAX_SERVICE_TIME: Duration = Duration::from_millis(80);

/// The probability that a target takes 100 times as long, which can exceed every deadline.
const SLOW_PROBABILITY: f64 = 0.02;

/// The probability that a request with an idempotency key is retried with it after it was refused
/// or its outcome is unknown.
const RETRY_PROBABILITY: f64 = 0.7;

impl Simulation {
    pub(crate) fn handle_request_caller(&mut self, action: CallerAction) {
        match action {
            CallerAction::NewRequest => self.next_request(),
            CallerAction::Retry(meta, idempotent) => self.admit(*meta, idempotent),
            CallerAction::AttemptTimeout { request, attempt } => {
                self.attempt_ends(request, attempt, AttemptEnd::NoResponse);
            }
            CallerAction::RequestArrives(delivery) => self.request_arrives(delivery),
            CallerAction::TargetDone(delivery) => self.target_done(delivery),
            CallerAction::CompanionResponds { delivery, end } => {
                self.companion_responds(delivery, end)
            }
            _ => {}
        }
    }

    fn next_request(&mut self) {
        if self.is_quiet {
            return;
        }
        let every = self.cfg.request_every * 2;
        let gap = self.draw_up_to(every);
        self.after(gap, SimEvent::Caller(CallerAction::NewRequest));
        let idempotent = self.rng.random_bool(0.5);
        let number = self.requests.all.len();
        let route = if idempotent { "style-check" } else { "settle" };
        let with_key = !idempotent && self.rng.random_bool(0.7);
        let meta = RequestMeta {
            id: RequestId::from(""),
            route: route.into(),
            team: "editors".into(),
            priority: Priority::Normal,
            deadline: self.now(),
            key: with_key.then(|| format!("key-{number}").into()),
        };
        self.admit(meta, idempotent);
    }

    fn admit(&mut self, meta: RequestMeta, idempotent: bool) {
        let Some(entry) = self.draw_entry() else {
            return;
        };
        self.count("requests");
        let allowed = if idempotent { 2 } else { 5 };
        let meta = RequestMeta {
            id: format!("r-{}", self.requests.all.len()).into(),
            deadline: self.now() + Duration::from_secs(allowed),
            ..meta
        };
        let request = self.requests.add(Request {
            meta: meta.clone(),
            idempotent,
            entry,
            attempt: 0,
            outcome: None,
            runs: 0,
            response_is_own: false,
        });
        let meta = Box::new(meta);
        self.send_to_entry(entry, Arrival::Admit { request, meta });
    }

    /// Executes a step that the entry decided for the thread that serves a request.
    pub(crate) fn apply_request_step(&mut self, request: usize, step: Option<RequestStep>) {
        match step {
            Some(RequestStep::Send(send)) => self.send_attempt(request, &send),
            Some(RequestStep::Answer) => self.end_request(request, RequestOutcome::Answered),
            Some(RequestStep::Refuse { .. }) => {
                self.end_request(request, RequestOutcome::RefusedNotRun)
            }
            Some(RequestStep::Unknown { .. }) | None => {
                self.end_request(request, RequestOutcome::Unknown)
            }
        }
    }

    fn send_attempt(&mut self, request: usize, send: &SendStep) {
        let to = proc_at(send.addr);
        self.requests.next_attempt += 1;
        let attempt = self.requests.next_attempt;
        self.requests.all[request].attempt = attempt;
        self.note(format_args!("request {request} as {} to {to}", send.id));
        let action = CallerAction::AttemptTimeout { request, attempt };
        self.after(send.timeout, SimEvent::Caller(action));

        let sent = &self.requests.all[request];
        let from = sent.entry.proc;
        let meta = AdmitMeta {
            id: send.id.clone(),
            incarnation: send.incarnation,
            uptime: send.uptime,
            deadline: sent.meta.deadline,
            priority: sent.meta.priority,
            is_repeat: send.is_repeat,
        };
        let mut transmission = self.link(from, to).draw(&mut self.rng);
        // A connection never duplicates a request; retries by the entry are marked as repeats.
        transmission.arrivals.truncate(1);
        for delay in transmission.arrivals {
            let delivery = self.requests.next_delivery;
            self.requests.next_delivery += 1;
            let sent = Delivery {
                request,
                attempt,
                companion: ProcIncarnation {
                    proc: to,
                    number: 0,
                },
                meta: meta.clone(),
            };
            self.requests.deliveries.insert(delivery, sent);
            self.after(
                delay,
                SimEvent::Caller(CallerAction::RequestArrives(delivery)),
            );
        }
    }

    fn request_arrives(&mut self, delivery: u64) {
        let sent = self.requests.deliveries[&delivery].clone();
        let proc = &self.procs[sent.companion.proc];
        if !proc.is_alive() {
            return self.attempt_ends(sent.request, sent.attempt, AttemptEnd::NotSent);
        }
        let incarnation = proc.incarnation();
        self.requests.deliveries[&delivery].companion = incarnation;
        let meta = sent.meta;
        self.arrive(incarnation, Arrival::Begin { delivery, meta });
    }

    /// Executes a step that the companion decided for the thread that serves a delivery.
    pub(crate) fn apply_admit_step(&mut self, delivery: u64, step: Option<AdmitStep>) {
        let sent = self.requests.deliveries[&delivery].clone();
        let Some(step) = step else { return };
        self.note(format_args!("delivery {delivery}: {step:?}"));
        let end = match step {
            AdmitStep::Run => return self.run_at_target(delivery, sent.request),
            AdmitStep::Answer { answer, load } => {
                let own = *answer.body == *sent.meta.id.as_str().as_bytes()
                    && self.requests.is_same_operation(sent.request, &sent.meta.id);
                self.requests.all[sent.request].response_is_own = own;
                AttemptEnd::Answered {
                    took: Duration::from_millis(10),
                    load,
                    status: answer.status,
                }
            }
            AdmitStep::NotRun { reason } => AttemptEnd::NotRun {
                reason: reason.into(),
            },
            AdmitStep::Lost { reason } => AttemptEnd::Lost {
                reason: reason.into(),
            },
        };
        self.send_end(delivery, end);
    }

    fn run_at_target(&mut self, delivery: u64, request: usize) {
        self.count("runs at targets");
        if let Err(text) = self.requests.record_run(request) {
            self.record_violation(text);
        }
        let slow = self.rng.random_bool(SLOW_PROBABILITY);
        let takes = self.draw_up_to(MAX_SERVICE_TIME) * if slow { 100 } else { 1 };
        self.after(takes, SimEvent::Caller(CallerAction::TargetDone(delivery)));
    }

    fn target_done(&mut self, delivery: u64) {
        let sent = self.requests.deliveries[&delivery].clone();
        let Delivery {
            companion, meta, ..
        } = sent;
        if !self.procs[companion.proc].is_current(companion) {
            return;
        }
        let response = Arc::new(StoredResponse {
            status: 200,
            headers: HeaderMap::new(),
            body: meta.id.as_str().into(),
        });
        let finished = Arrival::Finished {
            id: meta.id,
            response: Some(response),
        };
        self.arrive(companion, finished);
        let id = &self.requests.deliveries[&delivery].meta.id;
        let own = self.requests.is_same_operation(sent.request, id);
        self.requests.all[sent.request].response_is_own = own;
        let end = AttemptEnd::Answered {
            took: Duration::from_millis(10),
            load: 0,
            status: 200,
        };
        self.send_end(delivery, end);
    }

    fn send_end(&mut self, delivery: u64, end: AttemptEnd) {
        let sent = &self.requests.deliveries[&delivery];
        let to = self.requests.all[sent.request].entry.proc;
        let from = sent.companion.proc;
        let transmission = self.link(from, to).draw(&mut self.rng);
        for delay in transmission.arrivals {
            let end = end.clone();
            let action = CallerAction::CompanionResponds { delivery, end };
            self.after(delay, SimEvent::Caller(action));
        }
    }

    fn companion_responds(&mut self, delivery: u64, end: AttemptEnd) {
        let sent = &self.requests.deliveries[&delivery];
        self.attempt_ends(sent.request, sent.attempt, end);
    }

    /// Reports the end of an attempt to the entry if the entry still waits for that attempt.
    fn attempt_ends(&mut self, request: usize, attempt: u64, end: AttemptEnd) {
        let sent = &mut self.requests.all[request];
        if sent.attempt != attempt || sent.outcome.is_some() {
            return;
        }
        sent.attempt = 0;
        let (entry, id) = (sent.entry, sent.meta.id.clone());
        if !self.procs[entry.proc].is_current(entry) {
            return;
        }
        if matches!(end, AttemptEnd::Answered { .. }) {
            // The thread forwards a complete response without waiting for a decision.
            self.arrive(entry, Arrival::Answered { id, end });
            return self.end_request(request, RequestOutcome::Answered);
        }
        self.arrive(entry, Arrival::Ended { request, id, end });
    }

    fn end_request(&mut self, request: usize, outcome: RequestOutcome) {
        if self.requests.all[request].outcome.is_some() {
            return;
        }
        self.note(format_args!("request {request}: {outcome:?}"));
        self.count(match outcome {
            RequestOutcome::Answered => "requests answered",
            RequestOutcome::RefusedNotRun => "requests refused",
            RequestOutcome::Unknown => "requests unknown",
        });
        if let Err(text) = self.requests.record_outcome(request, outcome) {
            self.record_violation(text);
        }
        let sent = &self.requests.all[request];
        let may_retry = sent.meta.key.is_some() && outcome != RequestOutcome::Answered;
        if may_retry && !self.is_quiet && self.rng.random_bool(RETRY_PROBABILITY) {
            let (meta, idempotent) = (Box::new(sent.meta.clone()), sent.idempotent);
            let delay = self.draw_up_to(Duration::from_secs(5));
            let retry = CallerAction::Retry(meta, idempotent);
            self.after(delay, SimEvent::Caller(retry));
        }
    }
}
