//! Parses JSON and reports duplicate keys, of which serde_json would silently keep only the last.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::{cell::RefCell, fmt};

/// Path of a value in the document, formatted only when it is reported.
#[derive(Clone, Copy)]
pub enum JsonPath<'a> {
    Root,
    Key(&'a JsonPath<'a>, &'a str),
    Index(&'a JsonPath<'a>, usize),
}

impl fmt::Display for JsonPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Root => Ok(()),
            Self::Key(Self::Root, key) => f.write_str(key),
            Self::Key(parent, key) => write!(f, "{parent}.{key}"),
            Self::Index(parent, i) => write!(f, "{parent}[{i}]"),
        }
    }
}

/// Parses a document. Returns its value and the paths of all duplicate keys.
pub fn parse(text: &[u8]) -> Result<(Value, Vec<String>), serde_json::Error> {
    let duplicates = RefCell::default();
    let mut reader = serde_json::Deserializer::from_slice(text);
    let value = ValueSeed { at: JsonPath::Root, duplicates: &duplicates }.deserialize(&mut reader)?;
    reader.end()?;
    Ok((value, duplicates.take()))
}

/// Deserializes the value at a path and collects the duplicate keys in it.
struct ValueSeed<'a> {
    at: JsonPath<'a>,
    duplicates: &'a RefCell<Vec<String>>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }
    fn visit_bool<E: Error>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }
    fn visit_i64<E: Error>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_u64<E: Error>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_f64<E: Error>(self, v: f64) -> Result<Value, E> {
        Number::from_f64(v).map(Value::Number).ok_or_else(|| E::custom("a number is not finite"))
    }
    fn visit_str<E: Error>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_string<E: Error>(self, v: String) -> Result<Value, E> {
        Ok(Value::String(v))
    }
    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let seed = ValueSeed { at: JsonPath::Index(&self.at, list.len()), duplicates: self.duplicates };
            match seq.next_element_seed(seed)? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut keys: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = keys.next_key::<String>()? {
            let at = JsonPath::Key(&self.at, &key);
            if map.contains_key(&key) {
                self.duplicates.borrow_mut().push(at.to_string());
            }
            let value = keys.next_value_seed(ValueSeed { at, duplicates: self.duplicates })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_parsed_exactly_and_duplicate_keys_are_reported() {
        let text = br#"{"a": [1, -2, 2.5, true, null, "x"], "b": {"c": {}, "d": 1e3}}"#;
        let (value, duplicates) = parse(text).expect("JSON");
        assert_eq!((value, duplicates.len()), (serde_json::from_slice(text).expect("JSON"), 0));
        let (_, duplicates) = parse(br#"{"a": 1, "b": [{"c": 1, "c": 2}], "a": 3}"#).expect("JSON");
        assert_eq!(duplicates, ["b[0].c", "a"]);
        for bad in ["", "{", "{} {}", "{\"a\":1e999}", "nul", "[1,]", "\u{feff}{}"] {
            assert!(parse(bad.as_bytes()).is_err(), "{bad}");
        }
        let deep = "[".repeat(100_000);
        assert!(parse(deep.as_bytes()).is_err(), "the nesting depth is limited");
    }
}
