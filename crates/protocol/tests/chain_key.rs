//! Checks the JSON and MessagePack encodings of chain keys.

use protocol::ids::{CHAIN_KEY_BYTES, ChainKey};

const KEY: ChainKey = ChainKey::new([0xa7; CHAIN_KEY_BYTES]);

#[test]
fn json_holds_hexadecimal_digits() {
    let json = serde_json::to_string(&KEY).expect("serialize to JSON");
    assert_eq!(json, format!("\"{}\"", "a7".repeat(CHAIN_KEY_BYTES)));
    assert_eq!(serde_json::from_str::<ChainKey>(&json).expect("deserialize the key"), KEY);
}

#[test]
fn messagepack_holds_the_raw_digest() {
    let bytes = rmp_serde::to_vec_named(&KEY).expect("serialize to MessagePack");
    assert_eq!(bytes.len(), CHAIN_KEY_BYTES + 2);
    assert_eq!(rmp_serde::from_slice::<ChainKey>(&bytes).expect("deserialize the key"), KEY);
}

#[test]
fn a_digest_of_another_length_is_rejected() {
    let bytes = rmp_serde::to_vec(&[1_u8, 2, 3]).expect("serialize to MessagePack");
    assert!(rmp_serde::from_slice::<ChainKey>(&bytes).is_err());
    assert!(serde_json::from_str::<ChainKey>("\"a7a7\"").is_err());
}
