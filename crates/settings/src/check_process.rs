//! Checks of process settings that span several fields.

mod addresses;
mod drain;

pub(crate) use addresses::check_address_map;

use crate::read::Check;

/// The checks, in the order in which they run.
pub(crate) const CHECKS: &[Check] = &[
    addresses::check_listeners,
    addresses::check_seed_peers,
    addresses::check_address_map,
    drain::check,
];
