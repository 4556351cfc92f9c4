//! The report as a self-contained HTML page.

use std::fmt::Write;

use base::prelude::*;
use plotters::prelude::*;

use super::{BurnReport, RouteReport};

const PLOT_SIZE: (u32, u32) = (720, 220);
const HOURS_SHOWN: f64 = 6.0;
const MIN_Y_MAX: f64 = 2.0;
const Y_MAX_FACTOR: f64 = 1.1;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:60em}\
table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right}\
td:first-child,th:first-child{text-align:left}.page{background:#fbb}.ticket{background:#fe9}";

impl BurnReport {
    /// Returns the report as HTML with embedded plots and no external references.
    ///
    /// # Errors
    ///
    /// Fails if a plot can't be drawn.
    pub fn to_html(&self) -> Result<String> {
        let mut page = String::new();
        self.write_html(&mut page).map_err(draw_error)?;
        for route in &self.routes {
            let name = escape(route.route.as_str());
            let plot = plot(route)?;
            let _infallible = write!(page, "<h2>{name}</h2>\n{plot}\n");
        }
        page.push_str("</body></html>\n");
        Ok(page)
    }

    fn write_html(&self, page: &mut String) -> std::fmt::Result {
        writeln!(
            page,
            "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\">"
        )?;
        writeln!(
            page,
            "<title>Service-level burn</title><style>{STYLE}</style></head><body>"
        )?;
        writeln!(page, "<h1>Service-level burn</h1>")?;
        let observed = humantime::format_duration(Duration::from_secs(self.observed_s));
        let processes = self.processes.len();
        writeln!(
            page,
            "<p>Seen by {processes} processes over {observed}.</p>"
        )?;
        for name in &self.missing {
            writeln!(page, "<p>Missing: {} did not answer.</p>", escape(name))?;
        }
        writeln!(
            page,
            "<table><tr><th>Route</th><th>5 min</th><th>30 min</th><th>1 h</th><th>6 h</th>\
             <th>Budget left</th><th>Alarm</th><th>Worst offenders, last hour</th></tr>"
        )?;
        for route in &self.routes {
            write_row(page, route)?;
        }
        writeln!(page, "</table>")
    }
}

fn write_row(page: &mut String, route: &RouteReport) -> std::fmt::Result {
    let class = route.alarm.to_string().to_lowercase();
    let name = escape(route.route.as_str());
    write!(page, "<tr class=\"{class}\"><td>{name}</td>")?;
    for burn in route.burn {
        write!(page, "<td>{burn:.2}</td>")?;
    }
    let left = route.budget_left * 100.0;
    let worst = route.worst.iter();
    let worst = worst.map(|offender| format!("{} ({})", escape(&offender.name), offender.bad));
    let worst = worst.collect::<Vec<_>>().join(", ");
    writeln!(
        page,
        "<td>{left:.1}%</td><td>{}</td><td>{worst}</td></tr>",
        route.alarm
    )
}

/// Draws a route's burn rate over the last hours, with a line at a burn rate of 1.
fn plot(route: &RouteReport) -> Result<String> {
    let mut svg = String::new();
    draw(route, &mut svg).map_err(draw_error)?;
    Ok(svg)
}

fn draw(route: &RouteReport, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let points = route.series.len().max(1) as f64;
    let hours = |i: usize| (i as f64 + 1.0) / points * HOURS_SHOWN - HOURS_SHOWN;
    let series = route.series.iter().enumerate();
    let line = series.map(|(i, burn)| (hours(i), *burn));
    let highest = route.series.iter().copied().fold(MIN_Y_MAX, f64::max);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(-HOURS_SHOWN..0.0, 0.0..highest * Y_MAX_FACTOR)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("hours ago").y_desc("burn rate").draw()?;
    let budget_rate = [(-HOURS_SHOWN, 1.0), (0.0, 1.0)];
    chart.draw_series(LineSeries::new(budget_rate, &RED))?;
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    area.present()?;
    Ok(())
}

fn draw_error(error: impl std::fmt::Display) -> Error {
    Error::new(
        ErrorKind::Internal,
        "draw report",
        "page",
        error.to_string(),
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
