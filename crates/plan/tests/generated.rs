//! Compares the committed schema and printed examples with the output of the code.
//!
//! `UPDATE_GENERATED=1 cargo test -p plan` regenerates them.

use std::env;
use std::fs;
use std::path::Path;

use model::Config;
use schemars::schema_for;
use serde_json::Value;

/// Returns the schema in its committed form, with a trailing newline.
fn schema() -> String {
    let schema = serde_json::to_string_pretty(&schema_for!(Config)).expect("JSON");
    schema + "\n"
}

/// Asserts that the committed file at `path`, relative to the workspace, equals `generated`.
fn compare(path: &str, generated: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = root.join(path);
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::create_dir_all(file.parent().expect("a parent")).expect("created");
        fs::write(&file, generated).expect("written");
    }
    let committed = fs::read_to_string(&file).unwrap_or_default();
    assert!(
        committed == generated,
        "{path} differs: run UPDATE_GENERATED=1 cargo test -p plan"
    );
}

/// Returns the printed examples by name.
fn examples() -> [(&'static str, String); 2] {
    let print = |plan: Result<plan::Plan, plan::PlanError>| {
        plan.expect("valid").to_json().expect("JSON") + "\n"
    };
    [
        ("brno", print(plan::brno())),
        ("tesfaye", print(plan::tesfaye())),
    ]
}

#[test]
fn committed_schema_matches_the_types() {
    compare("schema/config.schema.json", &schema());
}

#[test]
fn committed_examples_match_the_plans() {
    for (name, printed) in examples() {
        compare(&format!("schema/examples/{name}.json"), &printed);
    }
}

#[test]
fn printed_examples_are_valid_configurations() {
    for (name, printed) in examples() {
        let config = model::parse(printed.as_bytes()).expect(name);
        let problems = model::validate(&model::State::from_items(config.items()));
        assert!(problems.is_empty(), "{name}: {problems:?}");
    }
}

#[test]
fn schema_accepts_the_examples_and_refuses_unknown_and_missing_keys() {
    let schema: Value = serde_json::from_str(&schema()).expect("JSON");
    for (name, printed) in examples() {
        let value: Value = serde_json::from_str(&printed).expect("JSON");
        assert_eq!(check(&schema, &schema, &value, name), Vec::<String>::new());
        let mut changed = value.clone();
        changed["routes"][0]["rules"]["colour"] = "red".into();
        assert_eq!(check(&schema, &schema, &changed, name).len(), 1);
        let mut changed = value;
        changed["pools"][0]
            .as_object_mut()
            .expect("an object")
            .remove("service");
        assert_eq!(check(&schema, &schema, &changed, name).len(), 1);
    }
}

/// Returns the required keys that `value` lacks and the unknown keys that it has; types of plain
/// values are not checked.
fn check(root: &Value, schema: &Value, value: &Value, place: &str) -> Vec<String> {
    if let Some(path) = schema["$ref"].as_str() {
        let pointer = path.trim_start_matches('#');
        let target = root.pointer(pointer).expect("the reference resolves");
        return check(root, target, value, place);
    }
    let variants = schema["oneOf"].as_array().or(schema["anyOf"].as_array());
    if let Some(variants) = variants {
        let problems = variants
            .iter()
            .map(|variant| check(root, variant, value, place));
        return problems.min_by_key(Vec::len).unwrap_or_default();
    }
    match value {
        Value::Object(fields) => check_object(root, schema, fields, place),
        Value::Array(values) => {
            let items = values.iter().enumerate();
            let checked = items
                .map(|(i, value)| check(root, &schema["items"], value, &format!("{place}[{i}]")));
            checked.flatten().collect()
        }
        _ => Vec::new(),
    }
}

fn check_object(
    root: &Value,
    schema: &Value,
    fields: &serde_json::Map<String, Value>,
    place: &str,
) -> Vec<String> {
    let required = schema["required"].as_array().cloned().unwrap_or_default();
    let missing = required
        .iter()
        .filter_map(Value::as_str)
        .filter(|key| !fields.contains_key(*key));
    let mut problems: Vec<String> = missing.map(|key| format!("{place}: no {key}")).collect();
    for (key, value) in fields {
        match schema["properties"].get(key) {
            Some(property) => {
                problems.extend(check(root, property, value, &format!("{place}.{key}")));
            }
            None => problems.push(format!("{place}: unknown {key}")),
        }
    }
    problems
}
