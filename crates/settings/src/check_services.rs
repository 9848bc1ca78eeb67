//! Checks of a services text across its entries.

mod calls;
mod cycles;
mod dependencies;
mod names;

use crate::read::Check;

/// Holds every check.
pub(crate) const CHECKS: &[Check] = &[
    names::check_regions,
    names::check_organisations,
    names::check_services,
    dependencies::check,
    calls::check,
];
