//! Tests that the committed page and plots match the committed reports.

use capacity::fit::Fit;
use capacity::report::Report;
use capacity::{page, plots};
use std::fs;
use std::path::PathBuf;

fn read(name: &str) -> String {
    let docs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(docs.join(name)).unwrap()
}

fn report() -> Report {
    serde_json::from_str(&read("plots/slopes.json")).unwrap()
}

/// Compares with a tolerance, because JSON may change the last bit of a number.
fn is_near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * a.abs().max(b.abs()).max(1.0)
}

#[test]
fn the_tables_of_the_page_match_the_committed_report() {
    let text = read("CAPACITY.md");
    assert_eq!(page::update(&text, &report()).unwrap(), text, "run the command `render`");
}

#[test]
fn each_series_has_three_sizes_and_the_line_through_its_points() {
    for series in report().series {
        assert!(series.points.len() >= 3, "{}", series.id);
        let fit = Fit::new(&series.points).unwrap();
        assert!(is_near(fit.slope, series.fit.slope), "{}", series.id);
        assert!(is_near(fit.intercept, series.fit.intercept), "{}", series.id);
    }
}

#[test]
fn the_plots_match_the_committed_reports() {
    let mut plots_by_name = plots::against_nodes(&report()).unwrap();
    plots_by_name.extend(plots::by_policy(&read("plots/quickstart.json")).unwrap());
    for (name, svg) in plots_by_name {
        assert_eq!(svg, read(&format!("plots/{name}")), "{name}: run the command `render`");
    }
}

#[test]
fn only_the_text_between_the_markers_is_replaced() {
    let text = "a\n<!-- t: begin -->\nold\n<!-- t: end -->\nb\n";
    let changed = page::replace(text, "t", "new\n").unwrap();
    assert_eq!(changed, "a\n<!-- t: begin -->\nnew\n<!-- t: end -->\nb\n");
    assert!(page::replace(text, "other", "new\n").is_err());
}

#[test]
fn numbers_have_about_three_significant_digits() {
    let written = [0.0, 0.01234, 0.5, 9.876, 12.3, 1_234.5, -12_345_678.0].map(page::number);
    assert_eq!(written, ["0", "0.0123", "0.50", "9.88", "12", "1,234", "-12,345,678"]);
}
