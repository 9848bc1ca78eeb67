//! Hints for unknown names: the most similar known name, or the right unit.

/// The minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// The unit suffixes of field names, each with its unit; longer suffixes come first.
const UNITS: &[(&str, &str)] = &[
    ("_mbits_per_s", "megabits per second"),
    ("_mbit_per_s", "megabits per second"),
    ("_kbits_per_s", "kilobits per second"),
    ("_bits_per_s", "bits per second"),
    ("_mbytes_per_s", "megabytes per second"),
    ("_mb_per_s", "megabytes per second"),
    ("_bytes_per_s", "bytes per second"),
    ("_bytes_per_token", "bytes per token"),
    ("_kb_per_token", "kilobytes per token"),
    ("_tokens", "tokens"),
    ("_bytes", "bytes"),
    ("_kib", "kibibytes"),
    ("_mib", "mebibytes"),
    ("_gib", "gibibytes"),
    ("_kb", "kilobytes"),
    ("_mb", "megabytes"),
    ("_gb", "gigabytes"),
    ("_seconds", "seconds"),
    ("_minutes", "minutes"),
    ("_hours", "hours"),
    ("_days", "days"),
    ("_min", "minutes"),
    ("_ms", "milliseconds"),
    ("_us", "microseconds"),
    ("_s", "seconds"),
    ("_h", "hours"),
];

/// Returns a hint for an unknown field.
pub(crate) fn for_unknown_field(name: &str, known: &[&str]) -> Option<String> {
    for_wrong_unit(name, known).or_else(|| for_unknown_word(name, known))
}

/// Returns a hint for a word that is not in a closed set.
pub(crate) fn for_unknown_word(word: &str, known: &[&str]) -> Option<String> {
    most_similar(word, known)
        .map(|known_name| format!("did you mean `{known_name}`?"))
        .or_else(|| (!known.is_empty()).then(|| format!("known names: {}", known.join(", "))))
}

/// Returns the unit in a field's name suffix.
pub(crate) fn unit_of(name: &str) -> Option<&'static str> {
    UNITS.iter().find(|(suffix, _)| strip_unit(name, suffix).is_some()).map(|(_, unit)| *unit)
}

/// Returns the known name that is most similar to `name`, if it is similar enough.
pub(crate) fn most_similar<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let scored = known.iter().map(|other| (strsim::jaro_winkler(name, other), *other));
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY).map(|(_, other)| other)
}

fn for_wrong_unit(name: &str, known: &[&str]) -> Option<String> {
    let stem = without_unit(name);
    let right = known.iter().find(|other| **other != name && without_unit(other) == stem)?;
    let unit = unit_of(right)?;
    Some(format!("the suffix of a field is its unit: write `{right}`, in {unit}"))
}

fn without_unit(name: &str) -> &str {
    UNITS.iter().find_map(|(suffix, _)| strip_unit(name, suffix)).unwrap_or(name)
}

/// Returns the name without the unit suffix: an empty string if the name is the unit alone, `None`
/// if it does not end with the suffix.
fn strip_unit<'a>(name: &'a str, suffix: &str) -> Option<&'a str> {
    let is_unit_alone = name == suffix.trim_start_matches('_');
    if is_unit_alone { Some("") } else { name.strip_suffix(suffix) }
}
