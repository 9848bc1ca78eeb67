//! Checks of process settings across their fields.

mod addresses;
mod drain;

pub(crate) use addresses::check_address_map;

use crate::read::Check;

/// Holds every check.
pub(crate) const CHECKS: &[Check] = &[
    addresses::check_listeners,
    addresses::check_seed_peers,
    addresses::check_address_map,
    drain::check,
];
