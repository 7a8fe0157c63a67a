//! Finds the line of a value in a JSON text.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

/// Returns the line number, starting at one, of the value at `path`, for example
/// `contracts[3].firm`. If the path does not exist, returns the line of its last existing parent.
pub(crate) fn line(text: &str, path: &str) -> usize {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let Ok(parsed) = parsed else { return 1 };
    let Some(mut value) = parsed.value.as_ref() else {
        return 1;
    };
    let mut start = value.start();
    for step in path
        .replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|it| !it.is_empty())
    {
        let next = match value {
            Value::Object(object) => object.get(step).map(|property| {
                start = property.start();
                &property.value
            }),
            Value::Array(array) => step.parse().ok().and_then(|index: usize| {
                let element = array.elements.get(index)?;
                start = element.start();
                Some(element)
            }),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    text[..start].matches('\n').count() + 1
}
