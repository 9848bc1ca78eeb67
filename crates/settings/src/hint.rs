//! Advice on names that are not known: the nearest known one, or the right unit.

/// The least likeness, from 0 to 1, at which a known name is proposed.
const MIN_LIKENESS: f64 = 0.8;

/// Pairs each unit suffix with what it stands for; longer suffixes come first.
const UNITS: &[(&str, &str)] = &[
    ("_mbits_per_s", "megabits a second"),
    ("_mbit_per_s", "megabits a second"),
    ("_kbits_per_s", "kilobits a second"),
    ("_bits_per_s", "bits a second"),
    ("_mbytes_per_s", "megabytes a second"),
    ("_mb_per_s", "megabytes a second"),
    ("_bytes_per_s", "bytes a second"),
    ("_bytes_per_token", "bytes for each token"),
    ("_kb_per_token", "kilobytes for each token"),
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

/// Returns advice on an unknown field.
pub(crate) fn for_unknown_field(name: &str, known: &[&str]) -> Option<String> {
    for_wrong_unit(name, known).or_else(|| for_unknown_word(name, known))
}

/// Returns advice on an unknown word out of a closed set.
pub(crate) fn for_unknown_word(word: &str, known: &[&str]) -> Option<String> {
    nearest(word, known)
        .map(|near| format!("did you mean `{near}`?"))
        .or_else(|| (!known.is_empty()).then(|| format!("known here: {}", known.join(", "))))
}

/// Returns the unit that a field's name ends with.
pub(crate) fn unit_of(name: &str) -> Option<&'static str> {
    UNITS.iter().find(|(suffix, _)| strip_unit(name, suffix).is_some()).map(|(_, unit)| *unit)
}

/// Returns the known name that is most like a given one.
pub(crate) fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let scored = known.iter().map(|other| (strsim::jaro_winkler(name, other), *other));
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.filter(|(likeness, _)| *likeness >= MIN_LIKENESS).map(|(_, other)| other)
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

/// Returns what stands before a unit suffix; a name may also be a unit alone.
fn strip_unit<'a>(name: &'a str, suffix: &str) -> Option<&'a str> {
    let alone = name == suffix.trim_start_matches('_');
    if alone { Some("") } else { name.strip_suffix(suffix) }
}
