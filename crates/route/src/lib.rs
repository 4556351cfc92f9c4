//! Choice of target, limits, retries and outcomes of requests.
