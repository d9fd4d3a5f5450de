//! Finds the line of a value in YAML text.
//!
//! The parser reports lines only in errors, so the text is parsed again with a visitor that fails
//! deliberately at the value.

use {
    crate::config_error::{FieldPath, PathStep},
    serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
    std::fmt,
};

/// Returns the line of the value, or of the innermost enclosing value that exists in the text.
pub(super) fn line_of(text: &str, path: &FieldPath) -> Option<usize> {
    let mut wanted = Some(path.clone());
    while let Some(path) = wanted {
        if let Some(line) = find_line(text, path.steps()) {
            return Some(line);
        }
        wanted = path.parent();
    }
    None
}

fn find_line(text: &str, steps: &[PathStep]) -> Option<usize> {
    let locator = ValueLocator { steps };
    let error = locator.deserialize(serde_yaml_ng::Deserializer::from_str(text)).err()?;
    error.location().map(|location| location.line())
}

/// Visitor that fails at the value at the end of `steps`, and succeeds if there is none.
struct ValueLocator<'a> {
    steps: &'a [PathStep],
}

impl<'de> DeserializeSeed<'de> for ValueLocator<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueLocator<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E: Error>(self, _value: bool) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_i64<E: Error>(self, _value: i64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_u64<E: Error>(self, _value: u64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_f64<E: Error>(self, _value: f64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_str<E: Error>(self, _value: &str) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let Some((PathStep::Index(wanted), rest)) = self.steps.split_first() else {
            self.fail_at_target::<A::Error>()?;
            return skip_items(&mut items);
        };
        for _ in 0..*wanted {
            items.next_element::<IgnoredAny>()?;
        }
        items.next_element_seed(ValueLocator { steps: rest })?;
        skip_items(&mut items)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        let Some((PathStep::Field(wanted), rest)) = self.steps.split_first() else {
            self.fail_at_target::<A::Error>()?;
            return skip_fields(&mut fields);
        };
        while let Some(found) =
            fields.next_key_seed(KeyMatcher { wanted, is_last: rest.is_empty() })?
        {
            if found {
                fields.next_value_seed(ValueLocator { steps: rest })?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

impl ValueLocator<'_> {
    fn fail_at_target<E: Error>(&self) -> Result<(), E> {
        if self.steps.is_empty() { Err(E::custom("here")) } else { Ok(()) }
    }
}

fn skip_items<'de, A: SeqAccess<'de>>(items: &mut A) -> Result<(), A::Error> {
    while items.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

fn skip_fields<'de, A: MapAccess<'de>>(fields: &mut A) -> Result<(), A::Error> {
    while fields.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
    Ok(())
}

/// Compares a key with `wanted`. Fails on a match if the key is the last step of the path, so that
/// the error has the line of the key and not of its value.
struct KeyMatcher<'a> {
    wanted: &'a str,
    is_last: bool,
}

impl<'de> DeserializeSeed<'de> for KeyMatcher<'_> {
    type Value = bool;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<bool, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KeyMatcher<'_> {
    type Value = bool;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field's name")
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<bool, E> {
        let found = name == self.wanted;
        if found && self.is_last { Err(E::custom("here")) } else { Ok(found) }
    }
}
