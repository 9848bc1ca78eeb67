//! Shape of the command line's settings.

use crate::shape::{Field, Scalar, Shape};

/// The shape of the settings of the operators' command line.
pub const CLIENT_SETTINGS: Shape = Shape::Object(&[
    Field::new("log", TARGET).with_null(),
    Field::new("nodes", Shape::List(&TARGET)).with_default(),
    Field::new("address_map", Shape::AddressMap).with_default(),
]);

const TARGET: Shape = Shape::Scalar(Scalar::TargetAddress);
