//! Checks of scalar values.

use super::Scalar;
use super::check::report_type;
use crate::findings::Findings;
use crate::hint;
use crate::locate::Node;
use jsonc_parser::ast::Value;
use std::net::SocketAddr;

/// The length of a hexadecimal BLAKE3 digest, in characters.
const DIGEST_CHARACTERS: usize = 64;
/// The placeholder for the idempotency key in an outcome path.
const KEY_PLACEHOLDER: &str = "{key}";

/// The reason why a text is invalid.
pub(super) struct ScalarError {
    /// The message.
    pub(super) message: String,
    /// How to fix it.
    pub(super) hint: Option<String>,
}

impl ScalarError {
    fn new(message: impl Into<String>) -> Self {
        Self { message: message.into(), hint: None }
    }

    fn with_hint(self, hint: impl Into<String>) -> Self {
        Self { hint: Some(hint.into()), ..self }
    }
}

/// Checks a scalar value.
pub(super) fn check(node: &Node<'_>, expected: &Scalar, findings: &mut Findings) {
    match expected {
        Scalar::Integer { min, max } => check_integer(node, *min, *max, findings),
        Scalar::Decimal => check_decimal(node, findings),
        Scalar::Bool if node.as_bool().is_some() => {}
        Scalar::Bool => report_type(node, "true or false", findings),
        Scalar::Name(_)
        | Scalar::ListenAddress
        | Scalar::TargetAddress
        | Scalar::Digest
        | Scalar::Keyword(_)
        | Scalar::CallPath
        | Scalar::OutcomePath => check_text(node, expected, findings),
    }
}

fn check_text(node: &Node<'_>, expected: &Scalar, findings: &mut Findings) {
    let Some(text) = node.as_text() else {
        return report_type(node, "a string", findings);
    };
    let result = match expected {
        Scalar::Name(parse) => parse(text).map_err(|error| ScalarError::new(error.to_string())),
        Scalar::ListenAddress => parse_address(text).map(drop),
        Scalar::TargetAddress => check_target(text),
        Scalar::Digest => check_digest(text),
        Scalar::Keyword(words) => check_keyword(text, words),
        Scalar::CallPath => check_call_path(text),
        Scalar::OutcomePath => check_outcome_path(text),
        Scalar::Integer { .. } | Scalar::Decimal | Scalar::Bool => Ok(()),
    };
    if let Err(error) = result {
        findings.add(node, error.message, error.hint);
    }
}

fn check_integer(node: &Node<'_>, min: u64, max: u64, findings: &mut Findings) {
    let unit = hint::unit_of(node.name());
    let Value::NumberLit(literal) = node.value() else {
        report_type(node, "a whole number", findings);
        return;
    };
    let unit_hint = unit.map(|unit| format!("the unit of the field is {unit}"));
    match node.as_integer() {
        None => {
            let message = format!("must be a whole number, not {}", literal.value);
            findings.add(node, message, unit_hint);
        }
        Some(value) if value < min => {
            findings.add(node, format!("must be at least {min}, not {value}"), unit_hint);
        }
        Some(value) if value > max => {
            findings.add(node, format!("must be at most {max}, not {value}"), unit_hint);
        }
        Some(_) => {}
    }
}

fn check_decimal(node: &Node<'_>, findings: &mut Findings) {
    let Value::NumberLit(literal) = node.value() else {
        return report_type(node, "a number", findings);
    };
    let value = serde_json::from_str::<f64>(literal.value).ok();
    if !value.is_some_and(|value| value.is_finite() && value >= 0.0) {
        let message = format!("must be a non-negative number, not {}", literal.value);
        findings.add(node, message, None);
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, ScalarError> {
    text.parse().map_err(|_| {
        ScalarError::new(format!("`{text}` is not an address"))
            .with_hint("write an IP address and a port, such as 10.0.0.7:7100 or [fd00::7]:7100")
    })
}

/// Checks an address to connect to.
pub(super) fn check_target(text: &str) -> Result<(), ScalarError> {
    let address = parse_address(text)?;
    if address.port() == 0 {
        return Err(ScalarError::new("port 0 cannot be reached")
            .with_hint("write the port on which the target listens"));
    }
    if address.ip().is_unspecified() {
        return Err(ScalarError::new(format!("{} cannot be reached", address.ip()))
            .with_hint("write the host's own IP address"));
    }
    Ok(())
}

fn check_digest(text: &str) -> Result<(), ScalarError> {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() == DIGEST_CHARACTERS && text.chars().all(is_digit) {
        return Ok(());
    }
    let message = format!("is not a BLAKE3 digest of {DIGEST_CHARACTERS} hexadecimal digits");
    let hint = "`camphorward digest-key` computes one, in lower case, from a bearer key";
    Err(ScalarError::new(message).with_hint(hint))
}

fn check_keyword(text: &str, words: &[&str]) -> Result<(), ScalarError> {
    if words.contains(&text) {
        return Ok(());
    }
    let message = format!("`{text}` is not one of {}", words.join(", "));
    let similar = hint::most_similar(&text.to_ascii_lowercase(), words)
        .or_else(|| hint::most_similar(&text.to_ascii_uppercase(), words));
    let hint = similar.map(|word| format!("did you mean `{word}`?"));
    Err(ScalarError { message, hint })
}

fn check_call_path(text: &str) -> Result<(), ScalarError> {
    check_path(text)?;
    let mut segments = text.split('/').rev();
    let last = segments.next().unwrap_or_default();
    let has_earlier_star = segments.any(|segment| segment.contains('*'));
    if has_earlier_star || (last.contains('*') && last != "*") {
        return Err(ScalarError::new(format!("`{text}` has a `*` that is not the last segment"))
            .with_hint("`*` may only stand for the whole last segment, such as /orders/*"));
    }
    Ok(())
}

fn check_outcome_path(text: &str) -> Result<(), ScalarError> {
    check_path(text)?;
    if text.matches(KEY_PLACEHOLDER).count() != 1 {
        return Err(ScalarError::new(format!(
            "`{text}` does not contain {KEY_PLACEHOLDER} exactly once"
        ))
        .with_hint(format!("such as /outcomes/{KEY_PLACEHOLDER}")));
    }
    Ok(())
}

fn check_path(text: &str) -> Result<(), ScalarError> {
    let Some(rest) = text.strip_prefix('/') else {
        return Err(ScalarError::new(format!("`{text}` does not start with `/`"))
            .with_hint(format!("write `/{text}`")));
    };
    let is_forbidden = |c: char| c.is_ascii_control() || c.is_whitespace() || "?#\\%".contains(c);
    if let Some(c) = text.chars().find(|c| is_forbidden(*c) || !c.is_ascii()) {
        return Err(ScalarError::new(format!("`{text}` contains the character {c:?}"))
            .with_hint("a path must not contain a query, spaces or escapes"));
    }
    if rest.split('/').any(|segment| matches!(segment, "" | "." | "..")) {
        return Err(ScalarError::new(format!("`{text}` has an empty, `.` or `..` segment")));
    }
    Ok(())
}
