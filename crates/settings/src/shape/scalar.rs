//! Checks of single values.

use super::Scalar;
use super::check::report_kind;
use crate::findings::Findings;
use crate::hint;
use crate::locate::Node;
use jsonc_parser::ast::Value;
use std::net::SocketAddr;

/// The length of a hexadecimal BLAKE3 digest.
const DIGEST_CHARACTERS: usize = 64;
/// The placeholder of the idempotency key in an outcome path.
const KEY_PLACEHOLDER: &str = "{key}";

/// Says why a text is not acceptable.
pub(super) struct Fault {
    /// What is wrong.
    pub(super) message: String,
    /// What to do about it.
    pub(super) hint: Option<String>,
}

impl Fault {
    fn new(message: impl Into<String>) -> Self {
        Self { message: message.into(), hint: None }
    }

    fn with_hint(self, hint: impl Into<String>) -> Self {
        Self { hint: Some(hint.into()), ..self }
    }
}

/// Checks a single value.
pub(super) fn check(node: &Node<'_>, expected: &Scalar, findings: &mut Findings) {
    match expected {
        Scalar::Whole { min, max } => check_whole(node, *min, *max, findings),
        Scalar::Decimal => check_decimal(node, findings),
        Scalar::Flag if node.as_flag().is_some() => {}
        Scalar::Flag => report_kind(node, "true or false", findings),
        Scalar::Name(_)
        | Scalar::ListenAddress
        | Scalar::TargetAddress
        | Scalar::Digest
        | Scalar::Word(_)
        | Scalar::CallPath
        | Scalar::OutcomePath => check_text(node, expected, findings),
    }
}

fn check_text(node: &Node<'_>, expected: &Scalar, findings: &mut Findings) {
    let Some(text) = node.as_text() else {
        return report_kind(node, "a string", findings);
    };
    let result = match expected {
        Scalar::Name(parse) => parse(text).map_err(|error| Fault::new(error.to_string())),
        Scalar::ListenAddress => parse_address(text).map(drop),
        Scalar::TargetAddress => check_target(text),
        Scalar::Digest => check_digest(text),
        Scalar::Word(words) => check_word(text, words),
        Scalar::CallPath => check_call_path(text),
        Scalar::OutcomePath => check_outcome_path(text),
        Scalar::Whole { .. } | Scalar::Decimal | Scalar::Flag => Ok(()),
    };
    if let Err(fault) = result {
        findings.add(node, fault.message, fault.hint);
    }
}

fn check_whole(node: &Node<'_>, min: u64, max: u64, findings: &mut Findings) {
    let unit = hint::unit_of(node.name());
    let Value::NumberLit(literal) = node.value() else {
        report_kind(node, "a whole number", findings);
        return;
    };
    let in_unit = unit.map(|unit| format!("the field counts {unit}"));
    match node.as_whole() {
        None => {
            let message = format!("must be a whole number, not {}", literal.value);
            findings.add(node, message, in_unit);
        }
        Some(value) if value < min => {
            findings.add(node, format!("must be at least {min}, not {value}"), in_unit);
        }
        Some(value) if value > max => {
            findings.add(node, format!("must be at most {max}, not {value}"), in_unit);
        }
        Some(_) => {}
    }
}

fn check_decimal(node: &Node<'_>, findings: &mut Findings) {
    let Value::NumberLit(literal) = node.value() else {
        return report_kind(node, "a number", findings);
    };
    let value = serde_json::from_str::<f64>(literal.value).ok();
    if !value.is_some_and(|value| value.is_finite() && value >= 0.0) {
        let message = format!("must be a number that is not negative, not {}", literal.value);
        findings.add(node, message, None);
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| {
        Fault::new(format!("`{text}` is not an address"))
            .with_hint("write IP number and port, such as 10.0.0.7:7100 or [fd00::7]:7100")
    })
}

/// Checks an address to send to.
pub(super) fn check_target(text: &str) -> Result<(), Fault> {
    let address = parse_address(text)?;
    if address.port() == 0 {
        return Err(Fault::new("port 0 cannot be reached").with_hint("name the port"));
    }
    if address.ip().is_unspecified() {
        return Err(Fault::new(format!("{} cannot be reached", address.ip()))
            .with_hint("name the host's own IP number"));
    }
    Ok(())
}

fn check_digest(text: &str) -> Result<(), Fault> {
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() == DIGEST_CHARACTERS && text.chars().all(digit) {
        return Ok(());
    }
    let message = format!("is not a BLAKE3 digest of {DIGEST_CHARACTERS} hexadecimal digits");
    let hint = "`camphorward digest-key` makes one, in lower case, from a bearer key";
    Err(Fault::new(message).with_hint(hint))
}

fn check_word(text: &str, words: &[&str]) -> Result<(), Fault> {
    if words.contains(&text) {
        return Ok(());
    }
    let message = format!("`{text}` is not one of {}", words.join(", "));
    let near = hint::nearest(&text.to_ascii_lowercase(), words)
        .or_else(|| hint::nearest(&text.to_ascii_uppercase(), words));
    let hint = near.map(|near| format!("did you mean `{near}`?"));
    Err(Fault { message, hint })
}

fn check_call_path(text: &str) -> Result<(), Fault> {
    check_path(text)?;
    let mut segments = text.split('/').rev();
    let last = segments.next().unwrap_or_default();
    let star_before_end = segments.any(|segment| segment.contains('*'));
    if star_before_end || (last.contains('*') && last != "*") {
        return Err(Fault::new(format!("`{text}` has a `*` that is not the last segment"))
            .with_hint("only a whole last segment may be `*`, such as /orders/*"));
    }
    Ok(())
}

fn check_outcome_path(text: &str) -> Result<(), Fault> {
    check_path(text)?;
    if text.matches(KEY_PLACEHOLDER).count() != 1 {
        return Err(Fault::new(format!("`{text}` does not hold {KEY_PLACEHOLDER} once"))
            .with_hint(format!("such as /outcomes/{KEY_PLACEHOLDER}")));
    }
    Ok(())
}

fn check_path(text: &str) -> Result<(), Fault> {
    let Some(rest) = text.strip_prefix('/') else {
        return Err(Fault::new(format!("`{text}` does not start with `/`"))
            .with_hint(format!("write `/{text}`")));
    };
    let bad = |c: char| c.is_ascii_control() || c.is_whitespace() || "?#\\%".contains(c);
    if let Some(c) = text.chars().find(|c| bad(*c) || !c.is_ascii()) {
        return Err(Fault::new(format!("`{text}` holds the character {c:?}"))
            .with_hint("a path has no query, no spaces and no escapes"));
    }
    if rest.split('/').any(|segment| matches!(segment, "" | "." | "..")) {
        return Err(Fault::new(format!("`{text}` has an empty, `.` or `..` segment")));
    }
    Ok(())
}
