//! Moves the common options before the command, so that they may also follow it.

/// The common options with a value.
const VALUE_OPTIONS: &[&str] = &["--log", "--nodes", "--client-settings"];
/// The common options without a value.
const SWITCHES: &[&str] = &["--json", "--verbose"];
/// The argument that ends the options.
const END_OF_OPTIONS: &str = "--";

/// Moves the common options to the front, and splits `--name=value` into two arguments.
///
/// # Errors
///
/// Returns an error message if the value of an option is missing.
pub(super) fn hoist(args: &[String]) -> Result<Vec<String>, String> {
    let mut common = Vec::new();
    let mut others = Vec::new();
    let mut remaining = split_values(args).into_iter();
    while let Some(arg) = remaining.next() {
        if arg == END_OF_OPTIONS {
            others.push(arg);
            others.extend(remaining.by_ref());
        } else if SWITCHES.contains(&arg.as_str()) {
            common.push(arg);
        } else if VALUE_OPTIONS.contains(&arg.as_str()) {
            let value =
                remaining.next().ok_or_else(|| format!("No value provided for option '{arg}'."))?;
            common.extend([arg, value]);
        } else {
            others.push(arg);
        }
    }
    common.extend(others);
    Ok(common)
}

fn split_values(args: &[String]) -> Vec<String> {
    let end = args.iter().position(|arg| arg == END_OF_OPTIONS).unwrap_or(args.len());
    let (options, operands) = args.split_at(end);
    let split = options.iter().flat_map(|arg| match arg.split_once('=') {
        Some((name, value)) if name.starts_with("--") => vec![name.to_owned(), value.to_owned()],
        _ => vec![arg.clone()],
    });
    split.chain(operands.iter().cloned()).collect()
}
