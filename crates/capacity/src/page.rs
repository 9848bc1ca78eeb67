//! The tables of the capacity page, and where they stand in it.

use crate::failures;
use crate::report::{Report, Series};
use crate::roles::{Kind, Role, roles, total};
use crate::target as t;
use eyre::{OptionExt, Result};
use std::fmt::Write;

/// Names the tables that are made from the report.
pub const TABLES: [(&str, Render); 3] =
    [("roles", roles_table), ("failures", failures::table), ("slopes", slopes_table)];

/// Renders one table.
pub type Render = fn(&Report) -> Result<String>;

const LARGE: f64 = 1_000.0;
const SMALL: f64 = 10.0;

/// Returns the page with all tables made anew.
///
/// # Errors
///
/// Returns an error if a marker is missing or the report lacks a series.
pub fn update(page: &str, report: &Report) -> Result<String> {
    let mut page = page.to_owned();
    for (name, render) in TABLES {
        page = replace(&page, name, &render(report)?)?;
    }
    Ok(page)
}

/// Replaces what stands between the two markers of a name.
///
/// # Errors
///
/// Returns an error if a marker is missing.
pub fn replace(page: &str, name: &str, table: &str) -> Result<String> {
    let (begin, end) = (format!("<!-- {name}: begin -->\n"), format!("<!-- {name}: end -->"));
    let (before, rest) = page.split_once(&begin).ok_or_eyre(format!("no {begin}"))?;
    let (_, after) = rest.split_once(&end).ok_or_eyre(format!("no {end}"))?;
    Ok(format!("{before}{begin}{table}{end}{after}"))
}

fn slopes_table(report: &Report) -> Result<String> {
    let mut table = format!(
        "Load average {} on {} cores when the measurement ended.\n\n",
        report.load_average, report.cores
    );
    table.push_str("| series | measured | against | sizes: values | slope | at zero | largest residual | by | leaves out |\n");
    table.push_str("|---|---|---|---|---|---|---|---|---|\n");
    for series in &report.series {
        writeln!(
            table,
            "| {} | {} | {} | {} | {} | {} | {} | `{}` | {} |",
            series.id,
            series.measure,
            series.size,
            points(series),
            number(series.fit.slope),
            number(series.fit.intercept),
            number(series.fit.residual),
            series.command,
            series.leaves_out
        )?;
    }
    Ok(table)
}

fn points(series: &Series) -> String {
    let pairs = series.points.iter().map(|p| format!("{}: {}", number(p.x), number(p.y)));
    pairs.collect::<Vec<_>>().join("; ")
}

fn roles_table(report: &Report) -> Result<String> {
    let mut table = String::from(
        "| role | state | messages/s | processor time, us/s | bytes/s | memory, MB | of the budget: processor, bytes, memory | kind | mechanism |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    let roles = roles(report)?;
    for role in &roles {
        write_role(&mut table, role, kind_name(role.kind))?;
    }
    let today = total(&roles, &[Kind::Today], "**sum of control on each node today**");
    write_role(&mut table, &today, "")?;
    write_role(&mut table, &budget(), "")?;
    Ok(table)
}

fn budget() -> Role {
    Role {
        role: "**budget**",
        state: "",
        messages_per_s: 0.0,
        mechanism: "",
        kind: Kind::Today,
        cpu_us_per_s: t::BUDGET_CPU_US_PER_S,
        bytes_per_s: t::BUDGET_BYTES_PER_S,
        memory_bytes: t::BUDGET_MEMORY_BYTES,
    }
}

const fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Today => "each node, today",
        Kind::TodaySome => "some nodes",
        Kind::Planned => "planned",
        Kind::Requests => "requests, not control",
    }
}

fn write_role(table: &mut String, role: &Role, kind: &str) -> Result<()> {
    let shares = [
        role.cpu_us_per_s / t::BUDGET_CPU_US_PER_S,
        role.bytes_per_s / t::BUDGET_BYTES_PER_S,
        role.memory_bytes / t::BUDGET_MEMORY_BYTES,
    ]
    .map(|share| if share == 0.0 { "-".to_owned() } else { format!("{:.1}%", share * 100.0) });
    writeln!(
        table,
        "| {} | {} | {} | {} | {} | {} | {} | {kind} | {} |",
        role.role,
        role.state,
        number_or_dash(role.messages_per_s),
        number_or_dash(role.cpu_us_per_s),
        number_or_dash(role.bytes_per_s),
        number_or_dash(role.memory_bytes / 1e6),
        shares.join(", "),
        role.mechanism
    )?;
    Ok(())
}

fn number_or_dash(value: f64) -> String {
    if value == 0.0 { "-".to_owned() } else { number(value) }
}

/// Writes a number with about three digits, thousands separated.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= LARGE {
        return separated(value);
    }
    let digits = if size >= SMALL || value == 0.0 {
        0
    } else if size >= 0.1 {
        2
    } else {
        4
    };
    format!("{value:.digits$}")
}

fn separated(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
