//! Shape of the services text.

use crate::shape::{Field, Scalar, Shape, Tagged, Variant};
use protocol::ids::{
    FailureDomain, IdError, ModelName, OrganisationId, Region, ServiceName, WeightVersion,
};

/// The maximum duration, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;
/// The maximum expiry time of a cached block, in seconds: two years.
const MAX_EXPIRY_S: u64 = 63_072_000;
/// The maximum rate, in bits or bytes per second.
const MAX_RATE: u64 = 1 << 43;
/// The maximum size of KV cache per token, in bytes.
const MAX_KV_BYTES_PER_TOKEN: u64 = 1 << 30;
/// The maximum weight in fair sharing.
const MAX_SHARE: u64 = 1_000_000;

/// The shape of the services text.
pub const SERVICES_TEXT: Shape = Shape::Object(&[
    Field::new("regions", Shape::List(&Shape::Object(REGION))),
    Field::new("organisations", Shape::List(&Shape::Object(ORGANISATION))),
    Field::new("services", Shape::List(&Shape::Tagged(SERVICE))),
]);

const REGION: &[Field] = &[
    Field::new("name", name(|text| text.parse::<Region>().map(drop))),
    Field::new("domains", Shape::List(&name(|text| text.parse::<FailureDomain>().map(drop)))),
    Field::new("link_bits_per_s", integer(1, MAX_RATE)),
    Field::new("link_delay_ms", Shape::Scalar(Scalar::Decimal)),
];

const ORGANISATION: &[Field] = &[
    Field::new("name", name(|text| text.parse::<OrganisationId>().map(drop))),
    Field::new("key_digests", Shape::List(&Shape::Scalar(Scalar::Digest))),
    Field::new("share", integer(1, MAX_SHARE)).with_default(),
];

const SERVICE: &Tagged = &Tagged {
    tag: "kind",
    common: &[
        Field::new("name", SERVICE_NAME),
        Field::new("depends_on", Shape::List(&SERVICE_NAME)).with_default(),
    ],
    variants: &[
        Variant { tag_value: "model", fields: MODEL },
        Variant { tag_value: "order", fields: ORDER },
        Variant { tag_value: "store", fields: STORE },
    ],
};

const MODEL: &[Field] = &[
    Field::new("model", name(|text| text.parse::<ModelName>().map(drop))),
    Field::new("weight_version", name(|text| text.parse::<WeightVersion>().map(drop))),
    Field::new("kept_work", SERVICE_NAME).with_null(),
    Field::new("fencing", Shape::Scalar(Scalar::Keyword(&["checked", "ignored"]))),
    Field::new("kv_bytes_per_token", integer(1, MAX_KV_BYTES_PER_TOKEN)),
    Field::new("first_token_deadline_ms", integer(1, MAX_DURATION_MS)),
    Field::new("token_gap_ms", integer(1, MAX_DURATION_MS)),
];

const ORDER: &[Field] = &[
    Field::new("calls", Shape::List(&Shape::Object(CALL))),
    Field::new("deadline_ms", integer(1, MAX_DURATION_MS)),
    Field::new("outcome_path", Shape::Scalar(Scalar::OutcomePath)).with_null(),
];

const CALL: &[Field] = &[
    Field::new("method", Shape::Scalar(Scalar::Keyword(METHODS))),
    Field::new("path", Shape::Scalar(Scalar::CallPath)),
    Field::new("idempotent", Shape::Scalar(Scalar::Bool)),
];

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

const STORE: &[Field] = &[
    Field::new("expiry_s", integer(1, MAX_EXPIRY_S)),
    Field::new("bytes_per_s", integer(1, MAX_RATE)),
];

const SERVICE_NAME: Shape = name(|text| text.parse::<ServiceName>().map(drop));

const fn name(parse: fn(&str) -> Result<(), IdError>) -> Shape {
    Shape::Scalar(Scalar::Name(parse))
}

const fn integer(min: u64, max: u64) -> Shape {
    Shape::Scalar(Scalar::Integer { min, max })
}
