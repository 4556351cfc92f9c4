//! HTTP agents that connect to IP addresses without DNS lookups.

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// A resolver that takes the IP address and port from the URI.
///
/// The default resolver of `ureq` starts a thread for each request that has a timeout, which is
/// not needed here: the system's processes are addressed by IP only.
#[derive(Debug)]
struct IpResolver;

/// Creates an agent that does no DNS lookups: the URIs of its requests must hold IP addresses.
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
