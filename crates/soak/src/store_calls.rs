//! Calls of the processes to the store, and pending watches.

use base::prelude::*;
use entry::StoreToken;
use ports::store::{StoreCall, StoreReply};
use rand::Rng;

use crate::ports::ProcIncarnation;
use crate::process::Arrival;
use crate::simulation::{SimEvent, Simulation};
use crate::store::PendingWatch;

impl Simulation {
    pub(crate) fn send_store_call(
        &mut self,
        incarnation: ProcIncarnation,
        token: StoreToken,
        call: StoreCall,
    ) {
        self.count(if call.is_write() {
            "store writes"
        } else {
            "store reads"
        });
        let outcome = self.store.draw_outcome(&mut self.rng);
        let reply_after = match outcome.effect {
            Some(effect) => outcome.reply.saturating_sub(effect),
            None => outcome.reply,
        };
        if let Some(effect) = outcome.effect {
            // If the effect comes after the reply is due, the caller gets a timeout when the reply
            // is due, and the call takes effect later.
            let replies_before_effect = effect > outcome.reply;
            let error = outcome.error;
            if replies_before_effect {
                self.reply_from_store(incarnation, token, outcome.reply, Err(ErrorKind::Timeout));
            }
            let reply_after = if replies_before_effect {
                Duration::MAX
            } else {
                reply_after
            };
            self.after(
                effect,
                SimEvent::StoreEffect {
                    incarnation,
                    token,
                    call,
                    reply_after,
                    error,
                },
            );
        } else {
            let kind = outcome.error.unwrap_or(ErrorKind::Timeout);
            self.reply_from_store(incarnation, token, reply_after, Err(kind));
        }
    }

    pub(crate) fn store_effect(
        &mut self,
        incarnation: ProcIncarnation,
        token: StoreToken,
        call: StoreCall,
        reply_after: Duration,
        error: Option<ErrorKind>,
    ) {
        // A call that a paused or dead process had not sent yet leaves after the pause, or never.
        if let Some(until) = self.paused_until(incarnation)
            && self.rng.random_bool(0.5)
        {
            let event = SimEvent::StoreEffect {
                incarnation,
                token,
                call,
                reply_after,
                error,
            };
            self.queue.push(until, event);
            return;
        }
        if !self.procs[incarnation.proc].is_current(incarnation) && self.rng.random_bool(0.5) {
            return;
        }
        if matches!(call, StoreCall::Watch { .. }) && error.is_none() {
            return self.register_watch(incarnation, token, call);
        }
        let now = self.now();
        let reply = self.store.apply(now, &call);
        self.complete_ready_watches();
        let line = describe_call(&call, &reply);
        self.note(format_args!("store {}: {line}", incarnation.proc));
        if reply_after == Duration::MAX {
            return;
        }
        let reply = match error {
            Some(kind) => Err(kind),
            None => reply.map_err(|e| e.kind()),
        };
        self.reply_from_store(incarnation, token, reply_after, reply);
    }

    fn reply_from_store(
        &mut self,
        incarnation: ProcIncarnation,
        token: StoreToken,
        delay: Duration,
        reply: std::result::Result<StoreReply, ErrorKind>,
    ) {
        let reply = reply.map_err(|kind| Error::new(kind, "call", "store", "injected"));
        let arrival = Arrival::Store { token, reply };
        self.after(delay, SimEvent::Arrive(incarnation, arrival));
    }

    /// Keeps a watch pending until there are changes or its wait time is over.
    fn register_watch(&mut self, incarnation: ProcIncarnation, token: StoreToken, call: StoreCall) {
        let StoreCall::Watch { wait, .. } = &call else {
            return;
        };
        let number = self.store.next_watch;
        self.store.next_watch += 1;
        self.after(*wait, SimEvent::WatchTimeout(number));
        let watch = PendingWatch {
            incarnation,
            token,
            call,
        };
        self.store.watches.insert(number, watch);
        self.complete_ready_watches();
    }

    /// Replies to the pending watches that have changes to return.
    pub(crate) fn complete_ready_watches(&mut self) {
        let mem = &self.store.mem;
        let ready: Vec<u64> = self
            .store
            .watches
            .iter()
            .filter(|(_, watch)| match &watch.call {
                StoreCall::Watch { prefix, after, .. } => mem.has_changes(prefix, *after),
                _ => false,
            })
            .map(|(number, _)| *number)
            .collect();
        for number in ready {
            self.complete_watch(number);
        }
    }

    pub(crate) fn complete_watch(&mut self, number: u64) {
        let Some(watch) = self.store.watches.shift_remove(&number) else {
            return;
        };
        let PendingWatch {
            incarnation,
            token,
            call,
        } = watch;
        let now = self.now();
        let is_down = self.store.faults.down > 0;
        let reply = if is_down {
            Err(ErrorKind::Timeout)
        } else {
            self.store.apply(now, &call).map_err(|e| e.kind())
        };
        let delay = self.draw_up_to(Duration::from_millis(3));
        self.reply_from_store(incarnation, token, delay, reply);
    }
}

/// Formats a store call and its result, without the stored values.
fn describe_call(call: &StoreCall, reply: &Result<StoreReply>) -> String {
    let subject = match call {
        StoreCall::Get { key } | StoreCall::Delete { key, .. } => key.to_string(),
        StoreCall::Put {
            key,
            value,
            expect,
            lease,
        } => format!("{key} {} bytes {expect:?} {lease:?}", value.len()),
        StoreCall::List { prefix, after, .. } => format!("{prefix} {after:?}"),
        other => format!("{other:?}"),
    };
    let result = match reply {
        Ok(StoreReply::Done { revision }) => format!("done {revision}"),
        Ok(StoreReply::Got(kv)) => format!("got {:?}", kv.as_ref().map(|kv| kv.revision)),
        Ok(StoreReply::Listed(listed)) => format!("listed {}", listed.len()),
        Ok(StoreReply::Conflict { .. }) => "conflict".to_owned(),
        Ok(other) => format!("{other:?}"),
        Err(e) => format!("{:?}", e.kind()),
    };
    format!("{} {subject} -> {result}", call.kind())
}
