//! Callers with requests, the threads of entries and companions that carry them, and targets.

use base::prelude::*;
use companion::{AdmitMeta, AdmitStep, StoredResponse};
use rand::Rng;
use route::{AttemptEnd, RequestMeta, RequestStep, SendStep};
use tables::Priority;
use ureq::http::HeaderMap;

use crate::ports::Life;
use crate::process::{Arrival, proc_at};
use crate::requests::{Delivery, Request, Told};
use crate::world::{Caller, Happening, World};

/// The longest time that a target takes for a request.
const MAX_SERVICE: Duration = Duration::from_millis(80);

/// The probability that a target takes ten times as long, or longer than anybody waits.
const SLOW: f64 = 0.02;

/// The probability that a caller of an unknown outcome asks again with the same key.
const RETRIES: f64 = 0.7;

impl World {
    pub(crate) fn request_caller(&mut self, caller: Caller) {
        match caller {
            Caller::NewRequest => self.next_request(),
            Caller::Retry(meta, idempotent) => self.admit(*meta, idempotent),
            Caller::AttemptTimeout { request, attempt } => {
                self.attempt_ends(request, attempt, AttemptEnd::NoResponse);
            }
            Caller::RequestArrives(delivery) => self.request_arrives(delivery),
            Caller::TargetDone(delivery) => self.target_done(delivery),
            Caller::CompanionAnswers { delivery, end } => self.companion_answers(delivery, end),
            _ => {}
        }
    }

    fn next_request(&mut self) {
        if self.is_quiet {
            return;
        }
        let every = self.cfg.request_every * 2;
        let gap = self.draw_up_to(every);
        self.after(gap, Happening::Caller(Caller::NewRequest));
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
        let Some(life) = self.draw_entry() else {
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
            life,
            attempt: 0,
            told: None,
            runs: 0,
            answer_is_own: false,
        });
        let meta = Box::new(meta);
        self.send_to_entry(life, Arrival::Admit { request, meta });
    }

    /// Does what the entry's decisions ask of the thread that serves a request.
    pub(crate) fn step(&mut self, request: usize, step: Option<RequestStep>) {
        match step {
            Some(RequestStep::Send(send)) => self.send_attempt(request, &send),
            Some(RequestStep::Answer) => self.tell(request, Told::Answered),
            Some(RequestStep::Refuse { .. }) => self.tell(request, Told::RefusedNotRun),
            Some(RequestStep::Unknown { .. }) | None => self.tell(request, Told::Unknown),
        }
    }

    fn send_attempt(&mut self, request: usize, send: &SendStep) {
        let to = proc_at(send.addr);
        self.requests.next_attempt += 1;
        let attempt = self.requests.next_attempt;
        self.requests.all[request].attempt = attempt;
        self.note(format_args!("request {request} as {} to {to}", send.id));
        let what = Caller::AttemptTimeout { request, attempt };
        self.after(send.timeout, Happening::Caller(what));

        let sent = &self.requests.all[request];
        let from = sent.life.proc;
        let meta = AdmitMeta {
            id: send.id.clone(),
            incarnation: send.incarnation,
            uptime: send.uptime,
            deadline: sent.meta.deadline,
            priority: sent.meta.priority,
            is_repeat: send.is_repeat,
        };
        let mut fate = self.link(from, to).draw(&mut self.rng);
        // A connection never delivers one request twice; the entry's own repeats are marked.
        fate.arrivals.truncate(1);
        for delay in fate.arrivals {
            let delivery = self.requests.next_delivery;
            self.requests.next_delivery += 1;
            let sent = Delivery {
                request,
                attempt,
                companion: Life {
                    proc: to,
                    number: 0,
                },
                meta: meta.clone(),
            };
            self.requests.deliveries.insert(delivery, sent);
            self.after(delay, Happening::Caller(Caller::RequestArrives(delivery)));
        }
    }

    fn request_arrives(&mut self, delivery: u64) {
        let sent = self.requests.deliveries[&delivery].clone();
        let proc = &self.procs[sent.companion.proc];
        if !proc.is_alive() {
            return self.attempt_ends(sent.request, sent.attempt, AttemptEnd::NotSent);
        }
        let life = proc.life();
        self.requests.deliveries[&delivery].companion = life;
        let meta = sent.meta;
        self.arrive(life, Arrival::Begin { delivery, meta });
    }

    /// Does what the companion's decisions ask of the thread that serves a request.
    pub(crate) fn admitted(&mut self, delivery: u64, step: Option<AdmitStep>) {
        let sent = self.requests.deliveries[&delivery].clone();
        let Some(step) = step else { return };
        self.note(format_args!("delivery {delivery}: {step:?}"));
        let end = match step {
            AdmitStep::Run => return self.run_at_target(delivery, sent.request),
            AdmitStep::Answer { answer, load } => {
                let own = *answer.body == *sent.meta.id.as_str().as_bytes()
                    && self.requests.is_own_work(sent.request, &sent.meta.id);
                self.requests.all[sent.request].answer_is_own = own;
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
        if let Err(text) = self.requests.ran(request) {
            self.breach(text);
        }
        let slow = self.rng.random_bool(SLOW);
        let takes = self.draw_up_to(MAX_SERVICE) * if slow { 100 } else { 1 };
        self.after(takes, Happening::Caller(Caller::TargetDone(delivery)));
    }

    fn target_done(&mut self, delivery: u64) {
        let sent = self.requests.deliveries[&delivery].clone();
        let Delivery {
            companion, meta, ..
        } = sent;
        if !self.procs[companion.proc].is_life(companion) {
            return;
        }
        let answer = Arc::new(StoredResponse {
            status: 200,
            headers: HeaderMap::new(),
            body: meta.id.as_str().into(),
        });
        let finished = Arrival::Finished {
            id: meta.id,
            answer: Some(answer),
        };
        self.arrive(companion, finished);
        let id = &self.requests.deliveries[&delivery].meta.id;
        let own = self.requests.is_own_work(sent.request, id);
        self.requests.all[sent.request].answer_is_own = own;
        let end = AttemptEnd::Answered {
            took: Duration::from_millis(10),
            load: 0,
            status: 200,
        };
        self.send_end(delivery, end);
    }

    fn send_end(&mut self, delivery: u64, end: AttemptEnd) {
        let sent = &self.requests.deliveries[&delivery];
        let to = self.requests.all[sent.request].life.proc;
        let from = sent.companion.proc;
        let fate = self.link(from, to).draw(&mut self.rng);
        for delay in fate.arrivals {
            let end = end.clone();
            let what = Caller::CompanionAnswers { delivery, end };
            self.after(delay, Happening::Caller(what));
        }
    }

    fn companion_answers(&mut self, delivery: u64, end: AttemptEnd) {
        let sent = &self.requests.deliveries[&delivery];
        self.attempt_ends(sent.request, sent.attempt, end);
    }

    /// Tells the entry how an attempt ended, if it still waits for that one.
    fn attempt_ends(&mut self, request: usize, attempt: u64, end: AttemptEnd) {
        let sent = &mut self.requests.all[request];
        if sent.attempt != attempt || sent.told.is_some() {
            return;
        }
        sent.attempt = 0;
        let (life, id) = (sent.life, sent.meta.id.clone());
        if !self.procs[life.proc].is_life(life) {
            return;
        }
        if matches!(end, AttemptEnd::Answered { .. }) {
            // The thread passes a whole answer on without asking.
            self.arrive(life, Arrival::Answered { id, end });
            return self.tell(request, Told::Answered);
        }
        self.arrive(life, Arrival::Ended { request, id, end });
    }

    fn tell(&mut self, request: usize, told: Told) {
        if self.requests.all[request].told.is_some() {
            return;
        }
        self.note(format_args!("request {request}: {told:?}"));
        self.count(match told {
            Told::Answered => "requests answered",
            Told::RefusedNotRun => "requests refused",
            Told::Unknown => "requests unknown",
        });
        if let Err(text) = self.requests.tell(request, told) {
            self.breach(text);
        }
        let sent = &self.requests.all[request];
        let may_retry = sent.meta.key.is_some() && told != Told::Answered;
        if may_retry && !self.is_quiet && self.rng.random_bool(RETRIES) {
            let (meta, idempotent) = (Box::new(sent.meta.clone()), sent.idempotent);
            let delay = self.draw_up_to(Duration::from_secs(5));
            let retry = Caller::Retry(meta, idempotent);
            self.after(delay, Happening::Caller(retry));
        }
    }
}
