//! Checks of a services text that span several entries.

mod calls;
mod cycles;
mod dependencies;
mod names;

use crate::read::Check;

/// The checks, in the order in which they run.
pub(crate) const CHECKS: &[Check] = &[
    names::check_regions,
    names::check_organisations,
    names::check_services,
    dependencies::check,
    calls::check,
];
