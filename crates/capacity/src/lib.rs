//! Measures how the system's costs grow with its size, and generates the capacity page and its
//! plots. Used in development only.

pub mod failures;
pub mod fit;
pub mod measure;
pub mod page;
pub mod plot;
pub mod plots;
pub mod printed;
pub mod report;
pub mod roles;
pub mod target;
pub mod usage;
