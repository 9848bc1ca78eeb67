//! Processor time to split a prompt into segments.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::measure_cpu_time;
use eyre::Result;
use placement::chain::PrefixChain;
use std::hint::black_box;

const KILOBYTES: [usize; 4] = [16, 80, 320, 800];
const ROUNDS: usize = 200;

const CHAIN_TIME: SeriesDescription = SeriesDescription {
    id: "chain",
    measure: "prompt split into segments, us",
    size: "KB of prompt",
    command: COMMAND,
    leaves_out: "reading the request",
};

/// Measures the time against the prompt's length.
///
/// # Errors
///
/// Returns an error if the line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let points = KILOBYTES.iter().map(|kilobytes| point(*kilobytes)).collect::<Result<_>>()?;
    Ok(vec![CHAIN_TIME.fit(points)?])
}

fn point(kilobytes: usize) -> Result<Point> {
    let text = "0123456789".repeat(kilobytes * 100);
    let (organisation, model, version) = ("organisation".parse()?, "model".parse()?, "v1".parse()?);
    let ((), us) = measure_cpu_time(|| {
        for _ in 0..ROUNDS {
            black_box(PrefixChain::new(&organisation, &model, &version, &text));
        }
    });
    Ok(Point::new(kilobytes as f64, us / ROUNDS as f64))
}
