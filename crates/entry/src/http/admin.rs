//! Jobs and operator calls under `/v1/`.

use std::io::Cursor;

use base::PromiseCounts;
use base::prelude::*;
use report::burn::BurnSnapshot;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::debug;
use tables::{Priority, Route, RouteKind};
use tiny_http::{Method, Request, Response};
use wire::hop::{header_of, read_body};
use wire::operator::{JobSelection, JobSubmission, PromiseStatus, ShardStatus, Status, path};
use wire::{JobSpec, Outcome, SubmitReply, header};

use super::proxy::respond;
use super::{Frontend, refusal};
use crate::event::AdminEvent;

/// The largest body of an operator call, in bytes.
const MAX_ADMIN_BODY: u64 = 1024 * 1024;

/// The fields that a submission may set; the route provides the others.
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

impl Frontend {
    pub(super) fn serve_admin(&self, mut req: Request) {
        let (path, query) = split_url(req.url());
        if !is_public(&path) && !self.is_authorized(&req) {
            self.telemetry.metrics().call_refused();
            return respond(req, text(401, "wrong secret\n"));
        }
        let Ok(body) = read_body(&mut req, MAX_ADMIN_BODY) else {
            return respond(req, text(413, "body too large or cut off\n"));
        };
        let response = match (req.method(), path.as_str()) {
            (Method::Get, path::LIVE) => text(200, "live\n"),
            (Method::Get, path::READY) => self.ready(),
            (Method::Get, path::STATUS) => self.json_or_timeout(self.status()),
            (Method::Get, path::TABLES) => {
                self.json_or_timeout(self.call_actors(AdminEvent::Tables))
            }
            (Method::Get, path::METRICS) => self.metrics(),
            (Method::Get, path::BURN) => self.json_or_timeout(Some(self.burn())),
            (Method::Get, path::REPORT) => self.report(&query),
            (Method::Post, path::JOBS) => self.submit_as_operator(&body),
            (Method::Post, path::JOBS_QUERY) => self.query(&body),
            (Method::Post, path::JOBS_CANCEL) => self.cancel(&body),
            (Method::Post, path::DRAIN) => self.drain(&body),
            _ => text(404, "no such call\n"),
        };
        respond(req, response);
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let given = header_of(req, header::TOKEN);
        self.token.as_ref().is_none_or(|token| token.admits(given))
    }

    fn ready(&self) -> Response<Cursor<Vec<u8>>> {
        match self.call_actors(AdminEvent::Ready) {
            Some(true) => text(200, "ready\n"),
            _ => text(
                503,
                "not ready: no tables, no view of the targets, or stopping\n",
            ),
        }
    }

    fn status(&self) -> Option<Status> {
        let mut status = self.call_actors(AdminEvent::Status)?;
        status.store = self.call_actors(AdminEvent::StoreHealth);
        status.shards = self.update_shard_metrics();
        status.promises = Promise::counts().iter().map(promise_status).collect();
        Some(status)
    }

    fn metrics(&self) -> Response<Cursor<Vec<u8>>> {
        self.update_shard_metrics();
        if let Some(status) = self.call_actors(AdminEvent::Status) {
            self.telemetry.metrics().set_targets(status.targets.len());
        }
        match self.telemetry.metrics().encode() {
            Ok(body) => text(200, &body),
            Err(e) => text(500, &format!("{e}\n")),
        }
    }

    fn burn(&self) -> BurnSnapshot {
        self.update_shard_metrics();
        self.telemetry.snapshot(Instant::now())
    }

    /// Updates the metrics of the shards owned here, and returns the shards' status.
    fn update_shard_metrics(&self) -> Vec<ShardStatus> {
        self.update_table_metrics();
        let view = self.call_actors(AdminEvent::Shards).unwrap_or_default();
        self.telemetry.shards(&view, Instant::now());
        view.shards
    }

    fn update_table_metrics(&self) {
        if let Some(tables) = self.tables.get() {
            self.telemetry.set_tables(&tables);
        }
    }

    fn report(&self, query: &str) -> Response<Cursor<Vec<u8>>> {
        let report = self.burn().report(Vec::new());
        match query {
            "format=html" => match report.to_html() {
                Ok(page) => with_type(text(200, &page), "text/html; charset=utf-8"),
                Err(e) => text(500, &format!("{e}\n")),
            },
            "format=json" => json_response(200, &report),
            "" | "format=text" => text(200, &report.to_string()),
            _ => text(400, "expected format=text, json or html\n"),
        }
    }

    fn json_or_timeout(&self, answer: Option<impl Serialize>) -> Response<Cursor<Vec<u8>>> {
        match answer {
            Some(answer) => json_response(200, &answer),
            None => text(503, "no answer in time\n"),
        }
    }

    fn submit_as_operator(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let request = match serde_json::from_slice::<JobSubmission>(body) {
            Ok(request) => request,
            Err(e) => return text(400, &format!("expected a job: {e}\n")),
        };
        let tables = self.tables.get();
        let Some(tables) = tables else {
            return text(503, "no tables yet\n");
        };
        let Some(route) = tables.routes.get(&request.route) else {
            return text(404, "no such route\n");
        };
        if route.kind == RouteKind::Request {
            return text(400, "expected a route of kind batch or standing\n");
        }
        let spec = operator_job_spec(route, request);
        self.json_or_timeout(self.call_actors(|reply| AdminEvent::Submit(Box::new(spec), reply)))
    }

    fn query(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let named = match serde_json::from_slice::<JobSelection>(body) {
            Ok(named) => named,
            Err(e) => return text(400, &format!("expected a pool and jobs: {e}\n")),
        };
        let statuses = named
            .jobs
            .into_iter()
            .map(|job| self.call_actors(|reply| AdminEvent::Job(named.pool.clone(), job, reply)));
        match statuses.collect::<Option<Vec<_>>>() {
            Some(statuses) => json_response(200, &statuses),
            // Must differ from the response for jobs that do not exist.
            None => text(
                503,
                "the owner of the pool cannot be asked now; ask again\n",
            ),
        }
    }

    fn cancel(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        match serde_json::from_slice::<JobSelection>(body) {
            Ok(named) => self.json_or_timeout(
                self.call_actors(|reply| AdminEvent::Cancel(named.pool, named.jobs, reply)),
            ),
            Err(e) => text(400, &format!("expected a pool and jobs: {e}\n")),
        }
    }

    fn drain(&self, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let Ok(target) = serde_json::from_slice::<TargetId>(body) else {
            return text(400, "expected the name of a target\n");
        };
        match self.call_actors(|reply| AdminEvent::Drain(target, reply)) {
            Some(true) => text(200, "\n"),
            Some(false) => text(404, "no such target\n"),
            None => text(504, "no answer in time\n"),
        }
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
                debug!(self.log, "entry: failed to parse job: {}", e);
                refusal(400, Outcome::RefusedNotRun, "malformed-job", None)
            }
        };
        respond(req, response);
    }

    fn submit(&self, spec: JobSpec) -> Response<Cursor<Vec<u8>>> {
        let retry = Some(Duration::from_secs(1));
        match self.call_actors(|reply| AdminEvent::Submit(Box::new(spec), reply)) {
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

/// Builds a job from its route and the fields that the caller sets.
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

/// Builds a job from its route and the fields that an operator sets.
fn operator_job_spec(route: &Route, request: JobSubmission) -> JobSpec {
    let body = JobBody {
        team: request.team,
        after: request.after,
        payload: Some(request.payload),
        ..JobBody::default()
    };
    let mut spec = job_spec(route, request.key, body);
    spec.resources = request.resources.unwrap_or(spec.resources);
    if route.kind == RouteKind::Batch {
        spec.run_time = request.run_time.or(spec.run_time);
    }
    spec
}

/// Splits a URL into its path and its query.
fn split_url(url: &str) -> (String, String) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    (path.to_owned(), query.to_owned())
}

/// Returns true if a call needs no secret, such as a load balancer's health check.
fn is_public(path: &str) -> bool {
    matches!(path, path::LIVE | path::READY)
}

fn promise_status(counts: &PromiseCounts) -> PromiseStatus {
    PromiseStatus {
        promise: counts.promise.as_str().into(),
        checked: counts.checked,
        broken: counts.broken,
    }
}

fn text(status: u16, body: &str) -> Response<Cursor<Vec<u8>>> {
    Response::from_string(body).with_status_code(status)
}

fn json_response(status: u16, body: &impl Serialize) -> Response<Cursor<Vec<u8>>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    with_type(
        Response::from_data(body).with_status_code(status),
        "application/json",
    )
}

fn with_type(
    mut response: Response<Cursor<Vec<u8>>>,
    content_type: &str,
) -> Response<Cursor<Vec<u8>>> {
    if let Some(h) = super::header("Content-Type", content_type) {
        response.add_header(h);
    }
    response
}
