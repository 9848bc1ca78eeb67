//! The shape of the services text.

use crate::shape::{Field, Scalar, Shape, Tagged, Variant};
use protocol::ids::{
    FailureDomain, IdError, ModelName, OrganisationId, Region, ServiceName, WeightVersion,
};

/// The longest span of time that the text may hold, in milliseconds: a day.
const MAX_SPAN_MS: u64 = 86_400_000;
/// The longest time that a block may be kept, in seconds: two years.
const MAX_EXPIRY_S: u64 = 63_072_000;
/// The greatest rate, in bits or bytes a second.
const MAX_RATE: u64 = 1 << 43;
/// The most KV cache that one token may take, in bytes.
const MAX_KV_BYTES_PER_TOKEN: u64 = 1 << 30;
/// The greatest weight in fair shares.
const MAX_SHARE: u64 = 1_000_000;

/// Describes the services text.
pub const SERVICES_TEXT: Shape = Shape::Object(&[
    Field::new("regions", Shape::List(&Shape::Object(REGION))),
    Field::new("organisations", Shape::List(&Shape::Object(ORGANISATION))),
    Field::new("services", Shape::List(&Shape::Tagged(SERVICE))),
]);

const REGION: &[Field] = &[
    Field::new("name", name(|text| text.parse::<Region>().map(drop))),
    Field::new("domains", Shape::List(&name(|text| text.parse::<FailureDomain>().map(drop)))),
    Field::new("link_bits_per_s", whole(1, MAX_RATE)),
    Field::new("link_delay_ms", Shape::Scalar(Scalar::Decimal)),
];

const ORGANISATION: &[Field] = &[
    Field::new("name", name(|text| text.parse::<OrganisationId>().map(drop))),
    Field::new("key_digests", Shape::List(&Shape::Scalar(Scalar::Digest))),
    Field::new("share", whole(1, MAX_SHARE)).with_default(),
];

const SERVICE: &Tagged = &Tagged {
    tag: "kind",
    common: &[
        Field::new("name", SERVICE_NAME),
        Field::new("depends_on", Shape::List(&SERVICE_NAME)).with_default(),
    ],
    variants: &[
        Variant { word: "model", fields: MODEL },
        Variant { word: "order", fields: ORDER },
        Variant { word: "store", fields: STORE },
    ],
};

const MODEL: &[Field] = &[
    Field::new("model", name(|text| text.parse::<ModelName>().map(drop))),
    Field::new("weight_version", name(|text| text.parse::<WeightVersion>().map(drop))),
    Field::new("kept_work", SERVICE_NAME).with_null(),
    Field::new("fencing", Shape::Scalar(Scalar::Word(&["checked", "ignored"]))),
    Field::new("kv_bytes_per_token", whole(1, MAX_KV_BYTES_PER_TOKEN)),
    Field::new("first_token_deadline_ms", whole(1, MAX_SPAN_MS)),
    Field::new("token_gap_ms", whole(1, MAX_SPAN_MS)),
];

const ORDER: &[Field] = &[
    Field::new("calls", Shape::List(&Shape::Object(CALL))),
    Field::new("deadline_ms", whole(1, MAX_SPAN_MS)),
    Field::new("outcome_path", Shape::Scalar(Scalar::OutcomePath)).with_null(),
];

const CALL: &[Field] = &[
    Field::new("method", Shape::Scalar(Scalar::Word(METHODS))),
    Field::new("path", Shape::Scalar(Scalar::CallPath)),
    Field::new("idempotent", Shape::Scalar(Scalar::Flag)),
];

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

const STORE: &[Field] = &[
    Field::new("expiry_s", whole(1, MAX_EXPIRY_S)),
    Field::new("bytes_per_s", whole(1, MAX_RATE)),
];

const SERVICE_NAME: Shape = name(|text| text.parse::<ServiceName>().map(drop));

const fn name(parse: fn(&str) -> Result<(), IdError>) -> Shape {
    Shape::Scalar(Scalar::Name(parse))
}

const fn whole(min: u64, max: u64) -> Shape {
    Shape::Scalar(Scalar::Whole { min, max })
}
