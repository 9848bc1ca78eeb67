//! Parser of JSON with comments.

use crate::problem::Report;
use jsonc_parser::ast::Value;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, ParseOptions, Scanner};

/// The maximum nesting depth of objects and lists.
const MAX_DEPTH: usize = 32;

const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// Parses a text into its syntax tree.
///
/// # Errors
///
/// Returns the first position at which the text is not valid JSON with comments.
pub(crate) fn parse(text: &str) -> Result<Value<'_>, Report> {
    check_tokens(text)?;
    jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|error| syntax_report(&error))?
        .value
        .ok_or_else(|| Report::for_text(None, "the text is empty".to_owned(), None))
}

/// Rejects deep nesting, which would overflow the parser's stack, and missing commas, which the
/// parser accepts.
fn check_tokens(text: &str) -> Result<(), Report> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    let mut after_value = false;
    while let Some(token) = scanner.scan().map_err(|error| syntax_report(&error))? {
        let class = TokenClass::new(&token);
        if after_value && depth > 0 && class.starts_value() {
            let message = format!("a comma is missing before `{}`", token.as_str());
            return Err(Report::for_text(line_at(text, scanner.token_start()), message, None));
        }
        match class {
            TokenClass::Open => depth += 1,
            TokenClass::Close => depth = depth.saturating_sub(1),
            TokenClass::Scalar | TokenClass::Separator | TokenClass::Comment => {}
        }
        if depth > MAX_DEPTH {
            let message = format!("objects and lists are nested deeper than {MAX_DEPTH}");
            return Err(Report::for_text(line_at(text, scanner.token_start()), message, None));
        }
        if class != TokenClass::Comment {
            after_value = matches!(class, TokenClass::Close | TokenClass::Scalar);
        }
    }
    Ok(())
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum TokenClass {
    Open,
    Close,
    Scalar,
    Separator,
    Comment,
}

impl TokenClass {
    fn new(token: &Token<'_>) -> Self {
        match token {
            Token::OpenBrace | Token::OpenBracket => Self::Open,
            Token::CloseBrace | Token::CloseBracket => Self::Close,
            Token::Comma | Token::Colon => Self::Separator,
            Token::CommentLine(_) | Token::CommentBlock(_) => Self::Comment,
            Token::String(_)
            | Token::Word(_)
            | Token::Boolean(_)
            | Token::Number(_)
            | Token::Null => Self::Scalar,
        }
    }

    fn starts_value(self) -> bool {
        matches!(self, Self::Open | Self::Scalar)
    }
}

fn syntax_report(error: &ParseError) -> Report {
    let message = format!("{} at column {}", error.kind(), error.column_display());
    let hint = "the text is JSON with // and /* */ comments; names and words need double quotes";
    Report::for_text(Some(error.line_display()), message, Some(hint))
}

fn line_at(text: &str, offset: usize) -> Option<usize> {
    text.get(..offset).map(|before| before.matches('\n').count() + 1)
}
