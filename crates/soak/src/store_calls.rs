//! Calls of the processes to the store, and watches that wait.

use base::prelude::*;
use entry::StoreToken;
use ports::store::{StoreCall, StoreReply};
use rand::Rng;

use crate::ports::Life;
use crate::process::Arrival;
use crate::store_side::WaitingWatch;
use crate::world::{Happening, World};

impl World {
    pub(crate) fn call_store(&mut self, life: Life, token: StoreToken, call: StoreCall) {
        self.count(if call.is_write() {
            "store writes"
        } else {
            "store reads"
        });
        let fate = self.store.draw(&mut self.rng);
        let reply_after = match fate.effect {
            Some(effect) => fate.reply.saturating_sub(effect),
            None => fate.reply,
        };
        if let Some(effect) = fate.effect {
            // A reply that comes before a late effect is an error told on its own.
            let told_early = effect > fate.reply;
            let error = fate.error;
            if told_early {
                self.reply_from_store(life, token, fate.reply, Err(ErrorKind::Timeout));
            }
            let reply_after = if told_early {
                Duration::MAX
            } else {
                reply_after
            };
            self.after(
                effect,
                Happening::StoreEffect {
                    life,
                    token,
                    call,
                    reply_after,
                    error,
                },
            );
        } else {
            let kind = fate.error.unwrap_or(ErrorKind::Timeout);
            self.reply_from_store(life, token, reply_after, Err(kind));
        }
    }

    pub(crate) fn store_effect(
        &mut self,
        life: Life,
        token: StoreToken,
        call: StoreCall,
        reply_after: Duration,
        error: Option<ErrorKind>,
    ) {
        // What a paused or dead process was about to send leaves later, or never.
        if let Some(until) = self.paused_until(life)
            && self.rng.random_bool(0.5)
        {
            let what = Happening::StoreEffect {
                life,
                token,
                call,
                reply_after,
                error,
            };
            self.queue.push(until, what);
            return;
        }
        if !self.procs[life.proc].is_life(life) && self.rng.random_bool(0.5) {
            return;
        }
        if matches!(call, StoreCall::Watch { .. }) && error.is_none() {
            return self.park_watch(life, token, call);
        }
        let now = self.now();
        let reply = self.store.apply(now, &call);
        self.answer_watches();
        let line = describe_store(&call, &reply);
        self.note(format_args!("store {}: {line}", life.proc));
        if reply_after == Duration::MAX {
            return;
        }
        let reply = match error {
            Some(kind) => Err(kind),
            None => reply.map_err(|e| e.kind()),
        };
        self.reply_from_store(life, token, reply_after, reply);
    }

    fn reply_from_store(
        &mut self,
        life: Life,
        token: StoreToken,
        delay: Duration,
        reply: std::result::Result<StoreReply, ErrorKind>,
    ) {
        let reply = reply.map_err(|kind| Error::new(kind, "call", "store", "injected"));
        let arrival = Arrival::Store { token, reply };
        self.after(delay, Happening::Arrive(life, arrival));
    }

    /// Holds a watch until there are changes or its wait ends.
    fn park_watch(&mut self, life: Life, token: StoreToken, call: StoreCall) {
        let StoreCall::Watch { wait, .. } = &call else {
            return;
        };
        let number = self.store.next_watch;
        self.store.next_watch += 1;
        self.after(*wait, Happening::WatchEnds(number));
        let watch = WaitingWatch { life, token, call };
        self.store.watches.insert(number, watch);
        self.answer_watches();
    }

    /// Answers the watches that have something to tell.
    pub(crate) fn answer_watches(&mut self) {
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
            self.watch_ends(number);
        }
    }

    pub(crate) fn watch_ends(&mut self, number: u64) {
        let Some(watch) = self.store.watches.shift_remove(&number) else {
            return;
        };
        let WaitingWatch { life, token, call } = watch;
        let now = self.now();
        let is_down = self.store.faults.down > 0;
        let reply = if is_down {
            Err(ErrorKind::Timeout)
        } else {
            self.store.apply(now, &call).map_err(|e| e.kind())
        };
        let delay = self.draw_up_to(Duration::from_millis(3));
        self.reply_from_store(life, token, delay, reply);
    }
}

/// Describes a call to the store without its values.
fn describe_store(call: &StoreCall, reply: &Result<StoreReply>) -> String {
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
