//! Reads a row of the pools table.

use base::prelude::*;
use toml::de::DeValue;

use crate::field::{POOL_FIELDS, QUOTA_FIELDS, WEIGHTS_FIELDS};
use crate::reader::{Reader, Row, as_number, in_file_order};
use crate::{Pool, Quota, Weights};

const DEFAULT_OUTAGE_GRACE: Duration = Duration::from_secs(15 * 60);
const MAX_OUTAGE_GRACE: Duration = Duration::from_secs(24 * 3600);
const DEFAULT_EVICTIONS_PER_HOUR: u32 = 30;
const MAX_EVICTIONS_PER_HOUR: u32 = 1_000_000;
const MAX_WEIGHT: f64 = 1000.0;
const EQUAL_WEIGHT: f64 = 1.0 / 3.0;
/// Tolerance for shares such as 0.1 that have no exact binary representation.
const SHARE_TOLERANCE: f64 = 1e-9;

const PRESETS: &[(&str, Weights)] = &[
    ("manuscript", Weights::MANUSCRIPT),
    ("trading", Weights::TRADING),
];

/// Reads a row; returns `None` if a required field is missing or invalid.
pub(crate) fn read(reader: &mut Reader<'_>, name: &str, row: &Row<'_>) -> Option<Pool> {
    let known = POOL_FIELDS.iter().map(|f| f.name).collect::<Vec<_>>();
    row.check_known_fields(reader, &known);
    row.require(reader, "workers", "workers = [\"runner-*\"]");
    let workers = read_workers(reader, row);
    let zones = read_zones(reader, row);
    let weights = read_weights(reader, row);
    let outage_grace = row.duration(reader, "outage-grace", Duration::ZERO, MAX_OUTAGE_GRACE);
    let evictions = row.count(reader, "evictions-per-hour", 0, MAX_EVICTIONS_PER_HOUR);
    let reserved = row.resources(reader, "reserved");
    let teams = read_teams(reader, row);
    Some(Pool {
        name: name.into(),
        workers: workers?,
        zones,
        weights,
        outage_grace: outage_grace.unwrap_or(DEFAULT_OUTAGE_GRACE),
        evictions_per_hour: evictions.unwrap_or(DEFAULT_EVICTIONS_PER_HOUR),
        teams,
        reserved: reserved.unwrap_or(Resources::ZERO),
    })
}

fn read_workers(reader: &mut Reader<'_>, row: &Row<'_>) -> Option<Vec<Name>> {
    let patterns = row.strings(reader, "workers")?;
    let mut workers = Vec::with_capacity(patterns.len());
    for (offset, pattern) in patterns {
        let without_wildcards = pattern.replace('*', "-");
        if reader.check_name(offset, &without_wildcards) {
            workers.push(pattern.into());
        }
    }
    Some(workers)
}

fn read_zones(reader: &mut Reader<'_>, row: &Row<'_>) -> Vec<ZoneName> {
    let names = row.strings(reader, "zones").unwrap_or_default();
    names
        .into_iter()
        .filter(|(offset, name)| reader.check_name(*offset, name))
        .map(|(_, name)| name.into())
        .collect()
}

fn read_weights(reader: &mut Reader<'_>, row: &Row<'_>) -> Weights {
    let preset = row.word(reader, "preset", PRESETS);
    if row.has("preset") && row.has("weights") {
        let message = "expected either `preset` or `weights`, found both";
        reader.problem(row.offset_of("weights"), message);
    }
    let default = preset.unwrap_or(Weights {
        tail: EQUAL_WEIGHT,
        throughput: EQUAL_WEIGHT,
        evictions: EQUAL_WEIGHT,
    });
    let Some(weights) = row.typed_table(reader, "weights", WEIGHTS_FIELDS) else {
        return default;
    };
    let mut weight = |key| weights.number(reader, key, 0.0, MAX_WEIGHT).unwrap_or(0.0);
    let (tail, throughput, evictions) = (weight("tail"), weight("throughput"), weight("evictions"));
    let sum = tail + throughput + evictions;
    if sum <= 0.0 {
        reader.problem(
            row.offset_of("weights"),
            "expected at least one weight above 0",
        );
        return default;
    }
    Weights {
        tail: tail / sum,
        throughput: throughput / sum,
        evictions: evictions / sum,
    }
}

fn read_teams(reader: &mut Reader<'_>, row: &Row<'_>) -> IndexMap<TeamName, Quota> {
    let Some(rows) = row.table(reader, "teams") else {
        return IndexMap::new();
    };
    let mut teams = IndexMap::new();
    for (name, value) in in_file_order(rows.fields()) {
        let offset = name.span().start;
        reader.check_name(offset, name.get_ref());
        let quota = match value.get_ref() {
            DeValue::Table(table) => {
                let quota = Row::new(reader, table, offset, QUOTA_FIELDS);
                read_quota(reader, &quota)
            }
            other => read_share(reader, value.span().start, other),
        };
        if let Some(quota) = quota {
            teams.insert(TeamName::from(name.get_ref().as_ref()), quota);
        }
    }
    let sum = teams.values().map(|quota| quota.share).sum::<f64>();
    if sum > 1.0 + SHARE_TOLERANCE {
        let message = format!("expected shares that add up to 1 at most, found {sum:.3}");
        reader.problem(row.offset_of("teams"), message);
    }
    teams
}

fn read_quota(reader: &mut Reader<'_>, row: &Row<'_>) -> Option<Quota> {
    row.require(reader, "share", "share = 0.5");
    let share = row.number(reader, "share", 0.0, 1.0);
    let borrow = row.bool(reader, "borrow").unwrap_or(true);
    Some(Quota {
        share: share?,
        borrow,
    })
}

fn read_share(reader: &mut Reader<'_>, offset: usize, value: &DeValue<'_>) -> Option<Quota> {
    let share = as_number(value).filter(|share| (0.0..=1.0).contains(share));
    if share.is_none() {
        reader.problem(
            offset,
            "expected a share from 0 to 1, or { share = SHARE, borrow = BOOL }",
        );
    }
    share.map(|share| Quota {
        share,
        borrow: true,
    })
}
