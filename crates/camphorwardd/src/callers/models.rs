//! `GET /v1/models`.

use crate::callers::{auth, check_ready, refuse};
use crate::reply;
use crate::serve::Call;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Lists the served models.
pub(crate) async fn answer(call: Call) -> Response<Body> {
    let directory = call.node.directory();
    let checked =
        check_ready(&call).and_then(|()| auth::find_organisation(&call.headers, &directory));
    if let Err(failure) = checked {
        return refuse(&call.node, &failure);
    }
    let data = directory.models().map(|(name, service)| ModelItem {
        id: service.model.to_string(),
        object: "model",
        owned_by: name.to_string(),
    });
    reply::json(StatusCode::OK, &ModelList { object: "list", data: data.collect() })
}
