//! Headers of calls to an order service; the services text lists the calls.

/// The request header that identifies an order across retries.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The request header with the organisation that makes the call.
pub const ORGANISATION_HEADER: &str = "x-organisation";
