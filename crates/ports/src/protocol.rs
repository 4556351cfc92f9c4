//! The REST protocol of the platform's store and workers, shared by adapters and stand-ins.
//!
//! # Store
//!
//! | call | request | answer |
//! |---|---|---|
//! | get, observe | `GET /v1/kv/KEY` | 200 with the raw value, or 404; [`STORE_REVISION`] with both |
//! | list | `GET /v1/kv?prefix=P&after=K&limit=N` | 200 with a [`Listed`](crate::store::StoreReply::Listed) |
//! | put | `PUT /v1/kv/KEY?expect=E&lease=L`, raw value | 200, 409 with what is there, 410 |
//! | delete | `DELETE /v1/kv/KEY?expect=E` | 200, or 409 with what is there |
//! | range delete | `DELETE /v1/kv?from=A&to=B` | 200 |
//! | transaction | `POST /v1/txn`, `postcard` of rows expected, written, deleted | 200, 409 with a [`Conflicts`](crate::store::StoreReply::Conflicts), 410 |
//! | lease grant | `POST /v1/leases?ttl_ms=N` | 200 |
//! | lease renewal | `PUT /v1/leases/L` | 200, or 410 |
//! | lease end | `DELETE /v1/leases/L` | 200, or 410 |
//! | watch | `GET /v1/watch?prefix=P&after=N&wait_ms=N` | 200 with a [`Watched`](crate::store::StoreReply::Watched) |
//!
//! `E` is `any`, `absent` or a revision. Keys are percent-encoded. Revisions travel in
//! [`REVISION`], leases in [`LEASE`] and [`TTL_MS`]. A 409 without [`REVISION`] tells that there
//! is no such key; 410 tells that the lease is gone. Lists and watches are `postcard` bodies.
//!
//! # Worker
//!
//! `POST /v1/worker` with a [`WorkerCall`](crate::worker::WorkerCall) as JSON answers 200 with a
//! [`WorkerReply`](crate::worker::WorkerReply) as JSON.
//!
//! # Errors
//!
//! 429 and 503 tell that the call was shed before it had an effect, 400 and 413 that it is wrong.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

use crate::store::Expect;

/// The header that holds the revision of a key or of the last change.
pub const REVISION: &str = "x-revision";

/// The header that holds the store's revision when a key was read.
pub const STORE_REVISION: &str = "x-store-revision";

/// The header that holds the id of a lease.
pub const LEASE: &str = "x-lease";

/// The header that holds the time that a lease lives unless renewed, in milliseconds.
pub const TTL_MS: &str = "x-ttl-ms";

/// The path under which keys live.
pub const KV_PATH: &str = "/v1/kv";

/// The path under which leases live.
pub const LEASES_PATH: &str = "/v1/leases";

/// The path of transactions.
pub const TXN_PATH: &str = "/v1/txn";

/// The path of watches.
pub const WATCH_PATH: &str = "/v1/watch";

/// The path of calls to a worker.
pub const WORKER_PATH: &str = "/v1/worker";

/// The bytes of keys that are escaped in paths and queries.
pub const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Formats an expectation for a query.
pub fn format_expect(expect: Expect) -> String {
    match expect {
        Expect::Any => "any".to_owned(),
        Expect::Absent => "absent".to_owned(),
        Expect::Revision(revision) => revision.to_string(),
    }
}

/// Parses an expectation from a query; `None` if it is malformed.
pub fn parse_expect(text: &str) -> Option<Expect> {
    match text {
        "any" => Some(Expect::Any),
        "absent" => Some(Expect::Absent),
        revision => revision.parse().ok().map(Expect::Revision),
    }
}
