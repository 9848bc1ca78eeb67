//! Properties of prefix chains: prompts with a common prefix share its keys, while organisations,
//! models and versions never share keys.

mod common;

use common::checker;
use placement::chain::{HomeKey, PrefixChain, SEGMENT_BYTES};
use std::collections::HashSet;

const SEED: u64 = 11;

fn chain(organisation: &str, model: &str, version: &str, text: &str) -> PrefixChain {
    PrefixChain::new(
        &organisation.parse().unwrap(),
        &model.parse().unwrap(),
        &version.parse().unwrap(),
        text,
    )
}

/// Returns a text of about three segments with characters of up to four bytes.
fn long_text(seed: &str) -> String {
    let unit = if seed.is_empty() { "skin tone, \u{1f3a8} warm" } else { seed };
    unit.repeat(3 * SEGMENT_BYTES / unit.len() + 1)
}

#[test]
fn a_longer_prompt_keeps_the_keys_of_its_prefix() {
    checker(SEED, 60).quickcheck(prefix_keeps_keys as fn(String, String) -> bool);

    fn prefix_keeps_keys(first: String, rest: String) -> bool {
        let text = long_text(&first);
        let short = chain("org", "model", "v1", &text);
        let long = chain("org", "model", "v1", &format!("{text}{rest}{text}"));
        long.segments.starts_with(&short.segments) && long.home_key == short.home_key
    }
}

#[test]
fn keys_of_two_organisations_models_or_versions_are_disjoint() {
    checker(SEED, 60).quickcheck(scopes_are_disjoint as fn(String) -> bool);

    fn scopes_are_disjoint(seed: String) -> bool {
        let text = long_text(&seed);
        let scopes = [("a", "m", "v1"), ("b", "m", "v1"), ("a", "n", "v1"), ("a", "m", "v2")];
        let chains = scopes.iter().map(|(o, m, v)| chain(o, m, v, &text));
        let chains: Vec<PrefixChain> = chains.collect();
        let keys: HashSet<_> = chains.iter().flat_map(PrefixChain::keys).collect();
        let salts: HashSet<_> = chains.iter().map(|chain| &chain.cache_salt).collect();
        keys.len() == chains.iter().map(|chain| chain.segments.len()).sum::<usize>()
            && salts.len() == 4
    }
}

#[test]
fn names_with_the_same_concatenation_have_different_keys() {
    let text = long_text("");
    let (first, second) = (chain("a", "bc", "d", &text), chain("a", "b", "cd", &text));
    assert_ne!(first.keys(), second.keys());
    assert_ne!(chain("ab", "c", "v", &text).cache_salt, chain("a", "bc", "v", &text).cache_salt);
}

#[test]
fn segments_end_at_character_boundaries_and_cover_the_text_in_order() {
    checker(SEED, 60).quickcheck(segments_are_valid as fn(String) -> bool);

    fn segments_are_valid(seed: String) -> bool {
        let text = long_text(&seed);
        let chain = chain("org", "model", "v1", &text);
        let mut start = 0;
        for segment in &chain.segments {
            let length = segment.end_byte - start;
            if !text.is_char_boundary(segment.end_byte) || length > SEGMENT_BYTES {
                return false;
            }
            start = segment.end_byte;
        }
        text.len() - start < SEGMENT_BYTES
    }
}

#[test]
fn every_segment_key_identifies_the_home_of_its_prompt() {
    let chain = chain("org", "model", "v1", &long_text(""));
    assert_eq!(chain.segments.len(), 3);
    for key in chain.keys() {
        assert_eq!(HomeKey::of_segment(&key), chain.home_key);
    }
}

#[test]
fn a_short_prompt_has_a_home_but_no_segment() {
    let short = chain("org", "model", "v1", "yes or no?");
    assert!(short.segments.is_empty());
    assert_eq!(short.prompt_tokens.value(), 3);
    assert_ne!(short.home_key, chain("other", "model", "v1", "yes or no?").home_key);
    assert_eq!(short.home_key, chain("org", "model", "v2", "yes or no?").home_key);
}
