//! Slopes of the system's costs, and the pages and plots made from them; development only.

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
