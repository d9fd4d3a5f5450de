//! The documentation lists every field of the settings with its default, and every ticket field.

use {
    conf::{
        parse_ticket,
        settings::{ControllerSettings, GatewaySettings},
    },
    serde_json::Value,
};

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// Returns the text between a second-level heading and the next one.
fn section(page: &str, heading: &str) -> String {
    let start = format!("\n## {heading}\n");
    let (_, rest) = page.split_once(&start).unwrap_or_else(|| panic!("no section {heading}"));
    rest.split("\n## ").next().unwrap_or_default().to_owned()
}

/// Collects the path of each scalar field, or list of scalars, with its value as Markdown. Lists of
/// objects are represented by their first element.
fn leaves(value: &Value, path: &str, found: &mut Vec<(String, String)>) {
    let below =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                leaves(field, &below(name), found);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) && !items.is_empty() => {
            leaves(&items[0], &format!("{path}[]"), found);
        }
        Value::Array(_) => found.push((path.to_owned(), "none".to_owned())),
        Value::String(text) => found.push((path.to_owned(), format!("`{text}`"))),
        other => found.push((path.to_owned(), format!("`{other}`"))),
    }
}

fn check_defaults(value: Value, text: &str) {
    let mut found = Vec::new();
    leaves(&value, "", &mut found);
    for (path, default) in found {
        let line = text.lines().find(|line| line.starts_with(&format!("| `{path}` |")));
        let line = line.unwrap_or_else(|| panic!("no line for {path}"));
        assert!(line.contains(&format!("| {default} |")), "{path}: {default} is not in {line}");
    }
}

#[test]
fn settings_page_lists_each_field_with_its_default() {
    let page = page("SETTINGS.md");
    let shared = section(&page, "Platform and freshness");
    let controller = serde_json::to_value(ControllerSettings::default()).unwrap();
    check_defaults(controller, &(section(&page, "gf-controller") + &shared));
    let gateway = serde_json::to_value(GatewaySettings::default()).unwrap();
    check_defaults(gateway, &(section(&page, "gf-gateway") + &shared));
}

#[test]
fn example_ticket_is_valid_and_its_fields_are_in_the_page() {
    let page = page("TICKETS.md");
    let (_, rest) = page.split_once("```yaml\n").unwrap();
    let example = rest.split("```").next().unwrap();
    let ticket = parse_ticket("TICKETS.md", example, None).unwrap();
    let mut found = Vec::new();
    leaves(&serde_json::to_value(ticket).unwrap(), "", &mut found);
    for (path, _) in found.iter().filter(|(path, _)| !path.starts_with("removed")) {
        assert!(page.contains(&format!("| `{path}` |")), "no line for {path}");
    }
}
