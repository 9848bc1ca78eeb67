//! The shapes of the texts' values, as tables that mirror the types that serde deserializes.
//!
//! Serde stops at the first error and accepts unknown fields under `flatten`; a check against the
//! tables finds every error with its position. A test checks that the tables and the types agree.

mod check;
mod names;
mod scalar;

pub(crate) use check::check;

use protocol::ids::IdError;

/// The shape that a value must have.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// An object with the given fields.
    Object(&'static [Field]),
    /// An object whose other fields depend on the value of a tag field.
    Tagged(&'static Tagged),
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object that maps addresses to addresses.
    AddressMap,
    /// A scalar value.
    Scalar(Scalar),
}

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The field's name.
    pub name: &'static str,
    /// Whether the field is required.
    pub presence: Presence,
    /// The shape of its value.
    pub shape: Shape,
}

impl Field {
    /// Creates a required field.
    pub const fn new(name: &'static str, shape: Shape) -> Self {
        Self { name, presence: Presence::Required, shape }
    }

    /// Returns the field as one with a default.
    pub const fn with_default(self) -> Self {
        Self { presence: Presence::Defaulted, ..self }
    }

    /// Returns the field as one that may be absent or null.
    pub const fn with_null(self) -> Self {
        Self { presence: Presence::Nullable, ..self }
    }
}

/// Whether a field is required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The field is required.
    Required,
    /// The field is optional and has a default.
    Defaulted,
    /// The field may be absent or null.
    Nullable,
}

/// An object whose fields depend on a tag.
#[derive(Debug)]
pub struct Tagged {
    /// The name of the tag field.
    pub tag: &'static str,
    /// The fields common to all kinds, without the tag.
    pub common: &'static [Field],
    /// The kinds.
    pub variants: &'static [Variant],
}

/// A kind of a [`Tagged`] object.
#[derive(Debug)]
pub struct Variant {
    /// The value of the tag field.
    pub tag_value: &'static str,
    /// The fields specific to this kind.
    pub fields: &'static [Field],
}

/// The type of a scalar value.
#[derive(Clone, Copy, Debug)]
pub enum Scalar {
    /// A name that an identifier type can parse.
    Name(fn(&str) -> Result<(), IdError>),
    /// An address to listen on; port 0 binds any free port.
    ListenAddress,
    /// An address to connect to.
    TargetAddress,
    /// A BLAKE3 digest, hexadecimal in lower case.
    Digest,
    /// An unsigned integer within bounds.
    Integer {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A non-negative number.
    Decimal,
    /// `true` or `false`.
    Bool,
    /// A word of a closed set.
    Keyword(&'static [&'static str]),
    /// The path of a call.
    CallPath,
    /// The path that returns the outcome of an order.
    OutcomePath,
}
