//! Size of the services text, and the cost to read and check it.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{About, Series};
use crate::usage::{timed, weighed};
use eyre::{Result, eyre};
use std::fmt::Write;

const ORGANISATIONS: [usize; 4] = [700, 1_400, 2_800, 11_200];
const MODELS: usize = 8;
const ROUNDS: usize = 5;
const COPIES: usize = 40;

const BYTES: About = About {
    id: "services_bytes",
    measure: "services text, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "comments; a second key an organisation",
};
const PARSE: About = About {
    id: "services_parse",
    measure: "services text read and checked, us",
    size: "organisations",
    command: COMMAND,
    leaves_out: "HTTP; taking it into force",
};
const MEMORY: About = About {
    id: "services_memory",
    measure: "services text in memory, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "the daemon's own tables over it",
};

/// Measures all against the number of organisations.
///
/// # Errors
///
/// Returns an error if a text does not pass the check or a line cannot be told.
pub fn measure() -> Result<Vec<Series>> {
    let [mut bytes, mut parse, mut memory] = [const { Vec::new() }; 3];
    let mut kept = Vec::new();
    for organisations in ORGANISATIONS {
        let x = organisations as f64;
        let text = services_text(organisations, MODELS);
        let read = || settings::parse_services_text(&text).map_err(|report| eyre!("{report}"));
        let times = |count| (0..count).map(|_| read()).collect::<Result<Vec<_>>>();
        // What reading frees again must not hide what a text keeps.
        drop(times(1)?);
        let (services, held_bytes) = weighed(|| times(COPIES));
        memory.push(Point::new(x, held_bytes / COPIES as f64));
        let (again, us) = timed(|| times(ROUNDS));
        parse.push(Point::new(x, us / ROUNDS as f64));
        bytes.push(Point::new(x, text.len() as f64));
        kept.push((services?, again?));
    }
    Ok(vec![BYTES.fit(bytes)?, PARSE.fit(parse)?, MEMORY.fit(memory)?])
}

/// Returns a services text with one key an organisation.
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
