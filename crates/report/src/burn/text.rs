//! The report as text.

use std::fmt;

use base::prelude::*;

use super::{Alarm, BurnReport, RouteReport};

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let observed = humantime::format_duration(Duration::from_secs(self.observed_s));
        writeln!(
            f,
            "service-level burn as seen by {} processes over {observed}",
            self.processes.len()
        )?;
        for name in &self.missing {
            writeln!(f, "missing: {name} did not answer")?;
        }
        writeln!(
            f,
            "{:<24} {:>8} {:>8} {:>8} {:>8} {:>8}  alarm",
            "route", "5 min", "30 min", "1 h", "6 h", "left"
        )?;
        for route in &self.routes {
            write_route(f, route)?;
        }
        Ok(())
    }
}

fn write_route(f: &mut fmt::Formatter<'_>, route: &RouteReport) -> fmt::Result {
    write!(f, "{:<24}", route.route.as_str())?;
    for burn in route.burn {
        write!(f, " {burn:>8.2}")?;
    }
    let left = route.budget_left * 100.0;
    writeln!(f, " {left:>7.1}%  {}", route.alarm)?;
    writeln!(
        f,
        "  objective: {} within {}; last hour: {} ended, {} missed it",
        route.share,
        humantime::format_duration(Duration::from_millis(route.within_ms)),
        route.counts[2].total,
        route.counts[2].bad
    )?;
    for offender in &route.worst {
        writeln!(f, "  {} missed: {}", offender.bad, offender.name)?;
    }
    Ok(())
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "-",
            Self::Ticket => "TICKET",
            Self::Page => "PAGE",
        })
    }
}
