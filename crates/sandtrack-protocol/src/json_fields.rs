//! Fields of JSON objects, as settings and configurations have them: a value of another type counts as one that is not there.
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// A finite number that is not negative.
pub fn number(object: &OwnedValue, field: &str) -> Option<f64> {
    object
        .get(field)
        .and_then(ValueAsScalar::cast_f64)
        .filter(|number| number.is_finite() && *number >= 0.0)
}

/// The strings in an array; its other values are left out.
pub fn texts<'a>(object: &'a OwnedValue, field: &str) -> impl Iterator<Item = &'a str> {
    let values = object.get_array(field).into_iter().flatten();
    values.filter_map(|value| value.as_str())
}
