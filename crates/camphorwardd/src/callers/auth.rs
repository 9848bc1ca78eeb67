//! Authentication of callers: bearer keys and the organisations they belong to.

use crate::directory::Directory;
use crate::reply::Failure;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use protocol::error::ErrorKind;
use protocol::ids::OrganisationId;

const BEARER: &str = "Bearer ";

/// Returns the organisation that a request's bearer key belongs to.
pub(crate) fn find_organisation(
    headers: &HeaderMap,
    directory: &Directory,
) -> Result<OrganisationId, Failure> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(BEARER)) else {
        return Err(unknown("the header `Authorization: Bearer KEY` is missing"));
    };
    let organisation = directory.organisation(key.trim());
    organisation.cloned().ok_or_else(|| unknown("the bearer key belongs to no organisation"))
}

fn unknown(message: &str) -> Failure {
    Failure::new(ErrorKind::UnknownOrganisation, message)
}
