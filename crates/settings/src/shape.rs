//! The shapes that a text's values must have, as tables beside the types that they are read into.
//!
//! Reading by serde stops at the first fault and tolerates unknown fields under `flatten`; the
//! tables find every fault with its place. A test holds tables and types together.

mod check;
mod names;
mod scalar;

pub(crate) use check::check;

use protocol::ids::IdError;

/// Describes what a value must be.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// An object with the fields of a table.
    Object(&'static [Field]),
    /// An object whose further fields depend on the word in one of them.
    Tagged(&'static Tagged),
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object that maps addresses to addresses.
    AddressMap,
    /// A single value.
    Scalar(Scalar),
}

/// Describes one field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The field's name.
    pub name: &'static str,
    /// Whether it must be there.
    pub need: Need,
    /// What it holds.
    pub shape: Shape,
}

impl Field {
    /// Describes a field that must be there.
    pub const fn new(name: &'static str, shape: Shape) -> Self {
        Self { name, need: Need::Required, shape }
    }

    /// Makes the field one that has a default.
    pub const fn with_default(self) -> Self {
        Self { need: Need::Defaulted, ..self }
    }

    /// Makes the field one that may be absent or null.
    pub const fn with_null(self) -> Self {
        Self { need: Need::Nullable, ..self }
    }
}

/// Says whether a field must be there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// The field must be there.
    Required,
    /// The field has a default.
    Defaulted,
    /// The field may be absent or null.
    Nullable,
}

/// Describes an object of several kinds.
#[derive(Debug)]
pub struct Tagged {
    /// The field that names the kind.
    pub tag: &'static str,
    /// The fields of every kind, the tag not among them.
    pub common: &'static [Field],
    /// The kinds.
    pub variants: &'static [Variant],
}

/// Describes one kind of a [`Tagged`] object.
#[derive(Debug)]
pub struct Variant {
    /// The word in the tag.
    pub word: &'static str,
    /// The fields of this kind only.
    pub fields: &'static [Field],
}

/// Describes a single value.
#[derive(Clone, Copy, Debug)]
pub enum Scalar {
    /// A name that a type accepts.
    Name(fn(&str) -> Result<(), IdError>),
    /// An address to listen on; port 0 takes any free port.
    ListenAddress,
    /// An address to send to.
    TargetAddress,
    /// A BLAKE3 digest, hexadecimal in lower case.
    Digest,
    /// A whole number within bounds.
    Whole {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// A number that is not negative.
    Decimal,
    /// `true` or `false`.
    Flag,
    /// A word out of a closed set.
    Word(&'static [&'static str]),
    /// The path of a call.
    CallPath,
    /// The path that tells an order's outcome.
    OutcomePath,
}
