//! An order service on a backend server; its calls are named by the services text.

/// The request header that names an order across its resends.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The request header that names the organisation whose call it is.
pub const ORGANISATION_HEADER: &str = "x-organisation";
