//! The generated tables of the capacity page, and their replacement between markers.

use crate::failures;
use crate::report::{Report, Series};
use crate::roles::{Role, RowKind, roles, total};
use crate::target as t;
use eyre::{OptionExt, Result};
use std::fmt::Write;

/// The tables generated from the report, by the name of their markers.
pub const TABLES: [(&str, Render); 3] =
    [("roles", roles_table), ("failures", failures::table), ("slopes", slopes_table)];

/// A function that renders one table.
pub type Render = fn(&Report) -> Result<String>;

/// From this size on, numbers are written with thousands separators.
const MIN_SEPARATED: f64 = 1_000.0;
/// From this size on, numbers are written without decimals.
const MIN_WITHOUT_DECIMALS: f64 = 10.0;

/// Returns the page with all tables regenerated.
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

/// Replaces the text between the two markers of a table.
///
/// # Errors
///
/// Returns an error if a marker is missing.
pub fn replace(page: &str, name: &str, table: &str) -> Result<String> {
    let (begin, end) = (format!("<!-- {name}: begin -->\n"), format!("<!-- {name}: end -->"));
    let (before, rest) =
        page.split_once(&begin).ok_or_eyre(format!("the page lacks the marker {begin}"))?;
    let (_, after) =
        rest.split_once(&end).ok_or_eyre(format!("the page lacks the marker {end}"))?;
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
    let today = total(&roles, &[RowKind::Today], "**sum of control on each node today**");
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
        kind: RowKind::Today,
        cpu_us_per_s: t::BUDGET_CPU_US_PER_S,
        bytes_per_s: t::BUDGET_BYTES_PER_S,
        memory_bytes: t::BUDGET_MEMORY_BYTES,
    }
}

const fn kind_name(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Today => "each node, today",
        RowKind::TodaySome => "some nodes",
        RowKind::Planned => "planned",
        RowKind::Requests => "requests, not control",
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

/// Formats a number with about three significant digits and thousands separators.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= MIN_SEPARATED {
        return with_thousands_separators(value);
    }
    let digits = if size >= MIN_WITHOUT_DECIMALS || value == 0.0 {
        0
    } else if size >= 0.1 {
        2
    } else {
        4
    };
    format!("{value:.digits$}")
}

fn with_thousands_separators(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
