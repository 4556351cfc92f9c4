//! Translation between the store's REST protocol and its calls.

use std::io::Cursor;

use base::prelude::*;
use ports::protocol::{
    KV_PATH, LEASE, LEASES_PATH, REVISION, STORE_REVISION, TTL_MS, TXN_PATH, WATCH_PATH,
    parse_expect,
};
use ports::store::{Expect, KeyValue, Revision, StoreCall, StoreReply};
use tiny_http::{Method, Request, Response};

use crate::http::{Query, header, read_body, split_url};

/// A response with its whole body in memory.
pub type HttpResponse = Response<Cursor<Vec<u8>>>;

/// Parses a request into a call; returns `None` if the request is malformed.
pub fn parse_call(req: &mut Request) -> Option<StoreCall> {
    let (path, query) = split_url(req.url());
    let method = req.method().clone();
    if path == WATCH_PATH {
        return parse_watch(&query);
    }
    if path == TXN_PATH && method == Method::Post {
        return parse_txn(req);
    }
    if let Some(rest) = path.strip_prefix(LEASES_PATH) {
        return parse_lease_call(&method, rest, &query);
    }
    let rest = path.strip_prefix(KV_PATH)?;
    match rest.strip_prefix('/') {
        Some(key) => parse_key_call(req, &method, key, &query),
        None => parse_range_call(&method, &query),
    }
}

/// Formats the reply to a call as a response.
pub fn format_reply(reply: Result<StoreReply>) -> HttpResponse {
    match reply {
        Ok(StoreReply::Got(None)) => status(404),
        Ok(StoreReply::Got(Some(kv))) => key_value(kv, 200),
        Ok(StoreReply::Observed { found, at }) => {
            let response = found.map_or_else(|| status(404), |kv| key_value(kv, 200));
            response.with_header(header(STORE_REVISION, at))
        }
        Ok(StoreReply::Conflict { current: None }) => status(409),
        Ok(StoreReply::Conflict { current: Some(kv) }) => key_value(kv, 409),
        Ok(StoreReply::LeaseGone) => status(410),
        Ok(StoreReply::Done { revision }) => with_revision(status(200), revision),
        Ok(StoreReply::Leased { lease, ttl }) => status(200)
            .with_header(header(LEASE, lease))
            .with_header(header(TTL_MS, ttl.as_millis())),
        Ok(reply @ StoreReply::Conflicts { .. }) => {
            Response::from_data(postcard::to_stdvec(&reply).expect("a reply can be encoded"))
                .with_status_code(409)
        }
        Ok(reply @ (StoreReply::Listed(_) | StoreReply::Watched { .. })) => {
            Response::from_data(postcard::to_stdvec(&reply).expect("a reply can be encoded"))
        }
        Err(e) => Response::from_string(e.message()).with_status_code(413),
    }
}

/// Creates a response without a body.
pub fn status(code: u16) -> HttpResponse {
    Response::from_data(Vec::new()).with_status_code(code)
}

fn parse_txn(req: &mut Request) -> Option<StoreCall> {
    let body = read_body(req).ok()?;
    let (expected, writes, deletes) = postcard::from_bytes(&body).ok()?;
    Some(StoreCall::Txn {
        expected,
        writes,
        deletes,
    })
}

fn parse_watch(query: &Query) -> Option<StoreCall> {
    Some(StoreCall::Watch {
        prefix: query.get("prefix")?.into(),
        after: query.number("after")?,
        wait: Duration::from_millis(query.number("wait_ms")?),
    })
}

fn parse_lease_call(method: &Method, rest: &str, query: &Query) -> Option<StoreCall> {
    if *method == Method::Post {
        let ttl = Duration::from_millis(query.number("ttl_ms")?);
        return Some(StoreCall::LeaseGrant { ttl });
    }
    let lease = rest.strip_prefix('/')?.parse().ok()?;
    match method {
        Method::Put => Some(StoreCall::LeaseRenew { lease }),
        Method::Delete => Some(StoreCall::LeaseRevoke { lease }),
        _ => None,
    }
}

fn parse_key_call(
    req: &mut Request,
    method: &Method,
    key: &str,
    query: &Query,
) -> Option<StoreCall> {
    let key = key.into();
    match method {
        Method::Get => Some(StoreCall::Observe { key }),
        Method::Put => Some(StoreCall::Put {
            key,
            value: read_body(req).ok()?.into(),
            expect: expectation(query)?,
            lease: query.number("lease"),
        }),
        Method::Delete => Some(StoreCall::Delete {
            key,
            expect: expectation(query)?,
        }),
        _ => None,
    }
}

fn parse_range_call(method: &Method, query: &Query) -> Option<StoreCall> {
    match method {
        Method::Get => Some(StoreCall::List {
            prefix: query.get("prefix")?.into(),
            after: query.get("after").map(Name::from),
            limit: usize::try_from(query.number("limit")?).ok()?,
        }),
        Method::Delete => Some(StoreCall::DeleteRange {
            from: query.get("from")?.into(),
            to: query.get("to")?.into(),
        }),
        _ => None,
    }
}

fn expectation(query: &Query) -> Option<Expect> {
    parse_expect(query.get("expect").unwrap_or("any"))
}

fn key_value(kv: KeyValue, code: u16) -> HttpResponse {
    let resp = Response::from_data(kv.value.to_vec()).with_status_code(code);
    with_revision(resp, kv.revision)
}

fn with_revision(resp: HttpResponse, revision: Revision) -> HttpResponse {
    resp.with_header(header(REVISION, revision))
}
