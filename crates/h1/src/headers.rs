//! Header fields in their original order and spelling.

use std::time::Duration;

/// Fields that apply to a single connection; see RFC 9110, section 7.6.1.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in their original order and spelling.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.fields
            .push((name.to_owned(), value.as_ref().to_owned()));
    }

    /// Replaces all fields of that name by a single one.
    pub fn set(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields of that name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(it, _)| !it.eq_ignore_ascii_case(name));
    }

    /// Returns the first value of that name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let has_name = |it: &&(String, Vec<u8>)| it.0.eq_ignore_ascii_case(name);
        self.fields.iter().find(has_name).map(|it| it.1.as_slice())
    }

    /// Returns the first value of that name as trimmed text, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Returns the first value of that name if it is a number.
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    /// Returns the first value of that name as a time in seconds, if it is one.
    pub fn seconds(&self, name: &str) -> Option<Duration> {
        Duration::try_from_secs_f64(self.number(name)?).ok()
    }

    /// Returns all values of that name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fields = self
            .fields
            .iter()
            .filter(move |(it, _)| it.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| value.as_slice())
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether a comma-separated field contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut tokens = value.split(|it| *it == b',');
            tokens.any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Removes the fields that apply to a single connection, including those listed in `Connection`.
    pub fn strip_hop_by_hop(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .flat_map(|it| it.split(|byte| *byte == b','))
            .map(|it| String::from_utf8_lossy(it.trim_ascii()).to_ascii_lowercase())
            .collect();
        self.fields.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !listed.contains(&name)
        });
    }
}
