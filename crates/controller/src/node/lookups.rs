//! Jobs that are looked up in the store: those that the owner has not loaded, and those whose submission
//! got no answer from an owner that may have stored them.

use base::prelude::*;
use jobs::owner::JOB_PREFIX;
use jobs::{JobRecord, JobReply, RouteRef, Token};
use ports::store::{StoreCall, StoreReply};
use slog::warn;
use wire::Responder;

use super::{Controller, ELECTION_RETRY};
use crate::StoreToken;

impl Controller {
    pub(super) fn look_up(&mut self, token: Token, job: &JobId) {
        self.next += 1;
        let id = self.next;
        self.lookups.insert(id, token);
        let key = format!("{JOB_PREFIX}{job}").into();
        self.ports
            .store(StoreToken::Lookup(id), StoreCall::Get { key });
    }

    /// Reads from the store whether a submission was stored before the owner's reply to it was lost.
    pub(super) fn look_up_unanswered(
        &mut self,
        job: &JobId,
        route: RouteRef,
        responder: Responder<JobReply>,
    ) {
        if self.elector.is_store_failing() {
            responder.send(JobReply::Unsure);
            return;
        }
        let token = self.token();
        self.callers.insert(token, responder);
        self.unanswered.insert(token, route);
        self.look_up(token, job);
    }

    /// Replies to the caller whose request named a job that the owner had not loaded.
    pub(super) fn lookup_done(&mut self, id: u64, reply: Result<StoreReply>) {
        let Some(token) = self.lookups.swap_remove(&id) else {
            return;
        };
        if let Some(route) = self.unanswered.swap_remove(&token) {
            self.reply_to_caller(token, outcome_of_submission(&route, reply));
            return;
        }
        let reply = match reply {
            Ok(StoreReply::Got(None)) => JobReply::Gone,
            Ok(_) => JobReply::refused("the job is not loaded", ELECTION_RETRY),
            Err(e) => {
                warn!(self.log, "entry: job lookup failed"; "error" => %e);
                JobReply::refused("the store is out of reach", ELECTION_RETRY)
            }
        };
        self.reply_to_caller(token, reply);
    }
}

/// Returns what the store tells of a submission on `route` that got no answer from the owner.
fn outcome_of_submission(route: &RouteRef, reply: Result<StoreReply>) -> JobReply {
    let Ok(StoreReply::Got(Some(item))) = reply else {
        // A write may still be on its way.
        return JobReply::Unsure;
    };
    match JobRecord::decode(&item.key, &item.value) {
        Ok(record) if record.is_of(route) => JobReply::Accepted,
        Ok(_) => JobReply::id_taken(),
        Err(_) => JobReply::Unsure,
    }
}
