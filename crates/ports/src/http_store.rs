//! The HTTP adapter of the store, for the project's own [protocol](crate::protocol).

use std::net::SocketAddr;

use base::prelude::*;
use percent_encoding::utf8_percent_encode;
use ureq::http::{Method, Request, Response};

use crate::client::Client;
use crate::protocol::{
    ESCAPED, KV_PATH, LEASE, LEASES_PATH, REVISION, STORE_REVISION, TTL_MS, TXN_PATH, WATCH_PATH,
    format_expect,
};
use crate::store::{KeyValue, LeaseId, Store, StoreCall, StoreReply};

/// The store, called over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
}

impl HttpStore {
    /// Creates an adapter whose calls take at most `timeout`; a watch takes at most its wait plus
    /// `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(addr, timeout),
        }
    }

    fn decode(&self, call: &StoreCall, resp: Response<Vec<u8>>) -> Result<StoreReply> {
        let status = resp.status().as_u16();
        match call {
            StoreCall::Observe { key } => {
                let at = self.number(call, &resp, STORE_REVISION)?;
                let found = match status {
                    404 => None,
                    _ => Some(self.key_value(call, key, resp)?),
                };
                Ok(StoreReply::Observed { found, at })
            }
            StoreCall::Get { .. } if status == 404 => Ok(StoreReply::Got(None)),
            StoreCall::Get { key } => Ok(StoreReply::Got(Some(self.key_value(call, key, resp)?))),
            StoreCall::Put { key, .. } | StoreCall::Delete { key, .. } if status == 409 => {
                Ok(StoreReply::Conflict {
                    current: self.conflicting_value(call, key, resp)?,
                })
            }
            StoreCall::Txn { .. } if status == 409 => self.body(call, &resp),
            _ if status == 410 => Ok(StoreReply::LeaseGone),
            StoreCall::List { .. } | StoreCall::Watch { .. } => self.body(call, &resp),
            StoreCall::LeaseGrant { .. } | StoreCall::LeaseRenew { .. } => self.leased(call, &resp),
            _ => Ok(StoreReply::Done {
                revision: self.number(call, &resp, REVISION)?,
            }),
        }
    }

    fn conflicting_value(
        &self,
        call: &StoreCall,
        key: &Name,
        resp: Response<Vec<u8>>,
    ) -> Result<Option<KeyValue>> {
        if resp.headers().get(REVISION).is_none() {
            return Ok(None);
        }
        self.key_value(call, key, resp).map(Some)
    }

    fn key_value(&self, call: &StoreCall, key: &Name, resp: Response<Vec<u8>>) -> Result<KeyValue> {
        let revision = self.number(call, &resp, REVISION)?;
        Ok(KeyValue {
            key: Arc::clone(key),
            value: resp.into_body().into(),
            revision,
        })
    }

    fn leased(&self, call: &StoreCall, resp: &Response<Vec<u8>>) -> Result<StoreReply> {
        let lease: LeaseId = self.number(call, resp, LEASE)?;
        let ttl = Duration::from_millis(self.number(call, resp, TTL_MS)?);
        Ok(StoreReply::Leased { lease, ttl })
    }

    fn body(&self, call: &StoreCall, resp: &Response<Vec<u8>>) -> Result<StoreReply> {
        postcard::from_bytes(resp.body()).map_err(|e| {
            self.client
                .error(ErrorKind::Malformed, call.kind(), e.to_string())
        })
    }

    fn number(
        &self,
        call: &StoreCall,
        resp: &Response<Vec<u8>>,
        header: &'static str,
    ) -> Result<u64> {
        resp.headers()
            .get(header)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| self.missing_header(call, header))
    }

    fn missing_header(&self, call: &StoreCall, header: &str) -> Error {
        let message = format!("response lacks the header {header}");
        // The call was executed but its result is lost, which equals a lost response.
        self.client
            .error(ErrorKind::Interrupted, call.kind(), message)
    }
}

impl Store for HttpStore {
    fn call(&self, call: &StoreCall) -> Result<StoreReply> {
        let req = Request::builder()
            .method(method(call))
            .uri(self.client.uri(&path(call)))
            .body(body(call)?)
            .map_err(|e| {
                self.client
                    .error(ErrorKind::Invalid, call.kind(), e.to_string())
            })?;
        let wait = match call {
            StoreCall::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let resp = self.client.send(call.kind(), req, wait)?;
        self.decode(call, resp)
    }
}

fn method(call: &StoreCall) -> Method {
    match call {
        StoreCall::Get { .. }
        | StoreCall::Observe { .. }
        | StoreCall::List { .. }
        | StoreCall::Watch { .. } => Method::GET,
        StoreCall::Put { .. } | StoreCall::LeaseRenew { .. } => Method::PUT,
        StoreCall::Txn { .. } | StoreCall::LeaseGrant { .. } => Method::POST,
        StoreCall::Delete { .. }
        | StoreCall::DeleteRange { .. }
        | StoreCall::LeaseRevoke { .. } => Method::DELETE,
    }
}

fn path(call: &StoreCall) -> String {
    match call {
        StoreCall::Get { key } | StoreCall::Observe { key } => {
            format!("{KV_PATH}/{}", escape(key))
        }
        StoreCall::List {
            prefix,
            after,
            limit,
        } => {
            let mut path = format!("{KV_PATH}?prefix={}&limit={limit}", escape(prefix));
            if let Some(after) = after {
                path += &format!("&after={}", escape(after));
            }
            path
        }
        StoreCall::Put {
            key, expect, lease, ..
        } => {
            let expect = format_expect(*expect);
            let mut path = format!("{KV_PATH}/{}?expect={expect}", escape(key));
            if let Some(lease) = lease {
                path += &format!("&lease={lease}");
            }
            path
        }
        StoreCall::Delete { key, expect } => {
            format!(
                "{KV_PATH}/{}?expect={}",
                escape(key),
                format_expect(*expect)
            )
        }
        StoreCall::DeleteRange { from, to } => {
            format!("{KV_PATH}?from={}&to={}", escape(from), escape(to))
        }
        StoreCall::Txn { .. } => TXN_PATH.to_owned(),
        StoreCall::LeaseGrant { ttl } => format!("{LEASES_PATH}?ttl_ms={}", ttl.as_millis()),
        StoreCall::LeaseRenew { lease } | StoreCall::LeaseRevoke { lease } => {
            format!("{LEASES_PATH}/{lease}")
        }
        StoreCall::Watch {
            prefix,
            after,
            wait,
        } => format!(
            "{WATCH_PATH}?prefix={}&after={after}&wait_ms={}",
            escape(prefix),
            wait.as_millis()
        ),
    }
}

fn body(call: &StoreCall) -> Result<Vec<u8>> {
    match call {
        StoreCall::Put { value, .. } => Ok(value.to_vec()),
        StoreCall::Txn {
            expected,
            writes,
            deletes,
        } => postcard::to_stdvec(&(expected, writes, deletes))
            .map_err(|e| Error::new(ErrorKind::Invalid, call.kind(), "store", e.to_string())),
        _ => Ok(Vec::new()),
    }
}

fn escape(text: &str) -> impl std::fmt::Display + '_ {
    utf8_percent_encode(text, ESCAPED)
}
