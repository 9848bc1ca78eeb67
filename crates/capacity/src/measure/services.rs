//! Size of the services text, and the cost to parse and validate it.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::{measure_cpu_time, measure_memory};
use eyre::{Result, eyre};
use std::fmt::Write;

const ORGANISATIONS: [usize; 4] = [700, 1_400, 2_800, 11_200];
const MODELS: usize = 8;
const ROUNDS: usize = 5;
const RETAINED_COPIES: usize = 40;

const BYTES: SeriesDescription = SeriesDescription {
    id: "services_bytes",
    measure: "services text, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "comments; a second key an organisation",
};
const PARSE: SeriesDescription = SeriesDescription {
    id: "services_parse",
    measure: "services text read and checked, us",
    size: "organisations",
    command: COMMAND,
    leaves_out: "HTTP; taking it into force",
};
const MEMORY: SeriesDescription = SeriesDescription {
    id: "services_memory",
    measure: "services text in memory, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "the daemon's own tables over it",
};

/// Measures size, time and memory against the number of organisations.
///
/// # Errors
///
/// Returns an error if a text is invalid or a line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let [mut bytes, mut parse, mut memory] = [const { Vec::new() }; 3];
    let mut retained = Vec::new();
    for organisations in ORGANISATIONS {
        let x = organisations as f64;
        let text = services_text(organisations, MODELS);
        let parse_once =
            || settings::parse_services_text(&text).map_err(|report| eyre!("{report}"));
        let parse_repeatedly = |count| (0..count).map(|_| parse_once()).collect::<Result<Vec<_>>>();
        // Parses once beforehand: memory that parsing frees must not hide the memory that a parsed
        // text retains.
        drop(parse_repeatedly(1)?);
        let (services, retained_bytes) = measure_memory(|| parse_repeatedly(RETAINED_COPIES));
        memory.push(Point::new(x, retained_bytes / RETAINED_COPIES as f64));
        let (reparsed, us) = measure_cpu_time(|| parse_repeatedly(ROUNDS));
        parse.push(Point::new(x, us / ROUNDS as f64));
        bytes.push(Point::new(x, text.len() as f64));
        retained.push((services?, reparsed?));
    }
    Ok(vec![BYTES.fit(bytes)?, PARSE.fit(parse)?, MEMORY.fit(memory)?])
}

/// Returns a services text with one key per organisation.
pub fn services_text(organisations: usize, models: usize) -> String {
    let mut text = String::from(
        r#"{"regions":[{"name":"r1","domains":["d1","d2"],"link_bits_per_s":30000000,"link_delay_ms":12},{"name":"r2","domains":["d3","d4"],"link_bits_per_s":30000000,"link_delay_ms":12}],"organisations":["#,
    );
    for index in 0..organisations {
        let digest = blake3::hash(&index.to_le_bytes()).to_hex();
        let comma = if index > 0 { "," } else { "" };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            r#"{comma}{{"name":"organisation-{index}","key_digests":["{digest}"],"share":2}}"#
        );
    }
    text.push_str(r#"],"services":["#);
    for index in 0..models {
        let comma = if index > 0 { "," } else { "" };
        let _ = write!(
            text,
            r#"{comma}{{"name":"service-{index}","kind":"model","model":"model-{index}","weight_version":"v1","kept_work":null,"fencing":"checked","kv_bytes_per_token":64,"first_token_deadline_ms":1900,"token_gap_ms":40}}"#
        );
    }
    text + "]}"
}
