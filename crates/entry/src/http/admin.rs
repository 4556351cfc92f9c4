//! Jobs and operator calls under `/v1/`.

use std::io::{Cursor, Read};

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::debug;
use tables::{Priority, Route, RouteKind};
use tiny_http::{Method, Request, Response};
use wire::hop::header_of;
use wire::{JobRef, JobSpec, Outcome, SubmitReply, header};

use super::proxy::respond;
use super::{Front, refusal};
use crate::event::AdminEvent;

/// The largest body of an operator call, in bytes.
const MAX_ADMIN_BODY: u64 = 1024 * 1024;

/// What a submission may set; the route says the rest.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
struct JobBody {
    team: Option<TeamName>,
    class: Option<ClassName>,
    priority: Option<Priority>,
    cores: Option<f64>,
    memory_mib: Option<u64>,
    accelerators: Option<u32>,
    run_time_ms: Option<u64>,
    after: Option<JobKey>,
    payload: Option<Name>,
}

/// A pool and one of its jobs, by id or key.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct JobQuery {
    pool: PoolName,
    jobs: Vec<JobRef>,
}

impl Front {
    pub(super) fn serve_admin(&self, mut req: Request) {
        let mut body = Vec::new();
        if req
            .as_reader()
            .take(MAX_ADMIN_BODY)
            .read_to_end(&mut body)
            .is_err()
        {
            return;
        }
        let path = req.url().split('?').next().unwrap_or_default().to_owned();
        let response = match (req.method(), path.as_str()) {
            (Method::Get, "/v1/health/live") => text(200, "live\n"),
            (Method::Get, "/v1/health/ready") => self.ready(),
            (Method::Get, "/v1/status") => self.answer(self.ask(AdminEvent::Status)),
            (Method::Get, "/v1/tables") => self.answer(self.ask(AdminEvent::Tables)),
            (Method::Post, "/v1/jobs/query") => self.query(&body),
            (Method::Post, "/v1/jobs/cancel") => self.cancel(&body),
            _ => text(404, "no such call\n"),
        };
        respond(req, response);
    }

    fn ready(&self) -> Response<Cursor<Vec<u8>>> {
        match self.ask(AdminEvent::Tables).flatten() {
            Some(_) => text(200, "ready\n"),
            None => text(503, "no tables yet\n"),
        }
    }

    fn answer(&self, answer: Option<impl Serialize>) -> Response<Cursor<Vec<u8>>> {
        match answer {
            Some(answer) => json_response(200, &answer),
            None => text(503, "no answer in time\n"),
        }
    }

    fn query(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let Ok(query) = serde_json::from_slice::<JobQuery>(body) else {
            return text(400, "expected {\"pool\": .., \"jobs\": [..]}\n");
        };
        let statuses: Vec<_> = query
            .jobs
            .into_iter()
            .map(|job| {
                self.ask(|reply| AdminEvent::Job(query.pool.clone(), job, reply))
                    .flatten()
            })
            .collect();
        json_response(200, &statuses)
    }

    fn cancel(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let Ok(query) = serde_json::from_slice::<JobQuery>(body) else {
            return text(400, "expected {\"pool\": .., \"jobs\": [..]}\n");
        };
        self.answer(self.ask(|reply| AdminEvent::Cancel(query.pool, query.jobs, reply)))
    }

    /// Submits a job under a batch or standing route.
    pub(super) fn serve_submit(&self, req: Request, route: &Route, body: &[u8]) {
        let Some(key) = header_of(&req, header::IDEMPOTENCY_KEY).map(JobKey::from) else {
            return respond(
                req,
                refusal(400, Outcome::RefusedNotRun, "no-idempotency-key", None),
            );
        };
        let parsed = if body.is_empty() {
            Ok(JobBody::default())
        } else {
            serde_json::from_slice::<JobBody>(body)
        };
        let response = match parsed {
            Ok(parsed) => self.submit(job_spec(route, key, parsed)),
            Err(e) => {
                debug!(self.log, "entry: unreadable job: {}", e);
                refusal(400, Outcome::RefusedNotRun, "malformed-job", None)
            }
        };
        respond(req, response);
    }

    fn submit(&self, spec: JobSpec) -> Response<Cursor<Vec<u8>>> {
        let retry = Some(Duration::from_secs(1));
        match self.ask(|reply| AdminEvent::Submit(Box::new(spec), reply)) {
            Some(SubmitReply::Accepted { job, known }) => json_response(
                if known { 200 } else { 201 },
                &json!({"job": job, "known": known}),
            ),
            Some(SubmitReply::Refused { reason }) => {
                refusal(503, Outcome::RefusedNotRun, &reason, retry)
            }
            Some(SubmitReply::NotOwner) => refusal(503, Outcome::RefusedNotRun, "no-owner", retry),
            Some(SubmitReply::Unknown) | None => {
                refusal(504, Outcome::Unknown, "commit-unknown", retry)
            }
        }
    }
}

/// Joins what the route says with what the caller sets.
fn job_spec(route: &Route, key: JobKey, body: JobBody) -> JobSpec {
    let mut resources = route.resources;
    if let Some(cores) = body
        .cores
        .filter(|cores| cores.is_finite() && *cores >= 0.0)
    {
        resources.cpu_milli = (cores * 1000.0).round() as u64;
    }
    resources.memory_mib = body.memory_mib.unwrap_or(resources.memory_mib);
    resources.accelerators = body.accelerators.unwrap_or(resources.accelerators);
    let run_time = body
        .run_time_ms
        .map(Duration::from_millis)
        .or(route.run_time);
    JobSpec {
        key,
        route: route.name.clone(),
        pool: route.pool.clone(),
        team: body.team.unwrap_or_else(|| route.team.clone()),
        class: body.class.unwrap_or_else(|| route.class.clone()),
        priority: body.priority.unwrap_or(route.priority),
        resources,
        run_time: if route.kind == RouteKind::Standing {
            None
        } else {
            run_time
        },
        finish_within: route.finish_within,
        max_failures: route.max_failures,
        after: body.after,
        payload: body.payload.unwrap_or_else(|| "".into()),
    }
}

fn text(status: u16, body: &str) -> Response<Cursor<Vec<u8>>> {
    Response::from_string(body).with_status_code(status)
}

fn json_response(status: u16, body: &impl Serialize) -> Response<Cursor<Vec<u8>>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Some(h) = super::header("Content-Type", "application/json") {
        response.add_header(h);
    }
    response
}
