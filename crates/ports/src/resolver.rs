//! Agents for processes that are reached by IP numbers, without look-ups of names.

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Takes the address from the URI.
///
/// The client's own resolver starts a thread for each request that has a
/// timeout. The system's processes are reached by IP numbers only.
#[derive(Debug)]
struct IpResolver;

/// Creates an agent for processes that are reached by IP numbers, without look-ups of names.
pub fn ip_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let addr = authority
            .as_str()
            .parse()
            .map_err(|_not_an_address| Error::HostNotFound)?;
        let mut resolved = self.empty();
        resolved.push(addr);
        Ok(resolved)
    }
}
