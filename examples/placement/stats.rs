//! Prints results as a table with confidence intervals.

use crate::simulation::Outcome;

/// Student's t for a 95% interval at 1 to 30 degrees of freedom.
const T95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

/// A column title and the value of a run shown in the column.
type Metric = (&'static str, fn(&Outcome) -> f64);

const METRICS: [Metric; 13] = [
    ("p50", |o| o.p50),
    ("p99", |o| o.p99),
    ("finished/h", |o| o.finished_per_hour),
    ("core-h/h", |o| o.work_per_hour),
    ("held", |o| o.allocated),
    ("throttled", |o| o.throttled),
    ("task extra", |o| o.batch_extra),
    ("service extra", |o| o.service_extra),
    ("evictions", |o| o.evictions),
    ("for harm", |o| o.interference_evictions),
    ("for quota", |o| o.quota_evictions),
    ("lost s", |o| o.work_lost),
    ("urgent p99 s", |o| o.urgent_start_p99),
];

/// Prints the mean of each metric with its confidence interval, then the ratios to the first row.
pub fn print(rows: &[(&'static str, Vec<Outcome>)]) {
    let header: Vec<_> = METRICS
        .iter()
        .map(|(name, _)| format!("{name:>14}"))
        .collect();
    println!("{:<28}{}", "", header.join(""));
    for (name, outcomes) in rows {
        let cells: Vec<_> = METRICS
            .iter()
            .map(|(_, metric)| cell(&outcomes.iter().map(metric).collect::<Vec<_>>()))
            .collect();
        println!("{name:<28}{}", cells.join(""));
    }
    let Some((first, base)) = rows.first() else {
        return;
    };
    println!("ratios to {first}, by seed");
    for (name, outcomes) in &rows[1..] {
        let cells: Vec<_> = METRICS
            .iter()
            .map(|(_, metric)| {
                let pairs = outcomes.iter().zip(base);
                let ratios: Vec<_> = pairs
                    .map(|(a, b)| (metric(a), metric(b)))
                    .filter(|(_, b)| *b > 0.0)
                    .map(|(a, b)| a / b)
                    .collect();
                cell(&ratios)
            })
            .collect();
        println!("{name:<28}{}", cells.join(""));
    }
}

/// Formats the mean of some values with its 95% confidence interval.
fn cell(values: &[f64]) -> String {
    let n = values.len() as f64;
    if values.is_empty() {
        return format!("{:>14}", "-");
    }
    let mean = values.iter().sum::<f64>() / n;
    let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    let degrees = values.len().saturating_sub(1);
    let text = if degrees == 0 {
        format!("{mean:.2}")
    } else {
        let t = T95[(degrees - 1).min(T95.len() - 1)];
        let half_width = t * (squares / degrees as f64).sqrt() / n.sqrt();
        format!("{mean:.2} +-{half_width:.2}")
    };
    format!("{text:>14}")
}
