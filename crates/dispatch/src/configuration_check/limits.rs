//! Problems of the limits on callers.

use crate::configuration::CallerLimits;
use crate::configuration_check::{Finding, Place, Problem};

pub(super) fn check_limits(limits: &CallerLimits) -> Vec<Finding> {
    let CallerLimits { max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms } =
        *limits;
    let mut problems = Vec::new();
    let sizes = [
        ("the maximum size of a head", max_header_bytes),
        ("the maximum size of a body", max_body_bytes),
    ];
    problems
        .extend(sizes.iter().filter(|(_, bytes)| *bytes == 0).map(|(name, _)| Problem::Zero(name)));
    let times = [("the time for a head", header_timeout_ms), ("the idle time", idle_timeout_ms)];
    problems.extend(times.iter().filter(|(_, ms)| *ms == 0).map(|(name, _)| Problem::NoTime(name)));
    // A connection on which a head arrives slowly is idle before it.
    if header_timeout_ms > idle_timeout_ms {
        problems.push(Problem::TimeBeyond {
            name: "the time for a head",
            value_ms: header_timeout_ms,
            limit_name: "the idle time",
            limit_ms: idle_timeout_ms,
        });
    }
    problems.into_iter().map(|problem| Finding { place: Place::Limits, problem }).collect()
}
