//! Validation rules of a document beyond its schema.

use {
    super::{Hash, MAX_TIERS, Problem, Problems, action::ANY_METHOD, source},
    std::{collections::HashSet, ops::Range},
    toml::Spanned,
};

/// Maximum deadline: one day.
const MAX_DEADLINE_MS: i64 = 86_400_000;

/// Maximum weight of an organisation.
const MAX_WEIGHT: i64 = 1_000;

/// Maximum of all other numbers.
const MAX_COUNT: i64 = 1_000_000;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Validates a document against all rules.
///
/// # Errors
///
/// All violations, in the order of their positions in the text.
pub(super) fn check(document: &source::Document) -> Result<(), Problems> {
    let mut checker = Checker::default();
    checker.check_service(document);
    checker.check_tiers(document);
    checker.check_organisations(document);
    checker.check_actions(&document.actions);
    checker.check_models(document);
    checker.finish()
}

/// Checks the rules and collects the violations.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn finish(mut self) -> Result<(), Problems> {
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|problem| problem.span.start);
        Err(Problems(self.problems))
    }

    fn report(&mut self, message: impl Into<String>, span: Range<usize>, help: impl Into<String>) {
        self.problems
            .push(Problem::new(message, span).with_help(help));
    }

    fn check_service(&mut self, document: &source::Document) {
        self.check_name("service", &document.service);
        if document.tiers.is_empty() {
            self.report(
                "the document has no tier",
                document.service.span(),
                "add a [[tiers]] table, the most urgent first",
            );
        }
        if document.organisations.is_empty() {
            self.report(
                "the document has no organisation, so nobody can call the service",
                document.service.span(),
                "add an [[organisations]] table",
            );
        }
    }

    fn check_tiers(&mut self, document: &source::Document) {
        let names = document.tiers.iter().map(|tier| &tier.name);
        self.check_names("tier", names);
        if let Some(extra) = document.tiers.get(MAX_TIERS) {
            self.report(
                format!("the document has more than {MAX_TIERS} tiers"),
                extra.name.span(),
                "merge tiers",
            );
        }
        for tier in &document.tiers {
            self.check_range("deadline_ms", &tier.deadline_ms, 1, MAX_DEADLINE_MS);
        }
    }

    fn check_organisations(&mut self, document: &source::Document) {
        let names = document.organisations.iter().map(|entry| &entry.name);
        self.check_names("organisation", names);
        let tiers: HashSet<&str> = document
            .tiers
            .iter()
            .map(|tier| tier.name.get_ref().as_str())
            .collect();
        let mut hashes = HashSet::new();
        for organisation in &document.organisations {
            self.check_allowed_tiers(organisation, &tiers);
            self.check_keys(organisation, &mut hashes);
            self.check_limits(organisation);
        }
    }

    fn check_allowed_tiers(&mut self, organisation: &source::Organisation, tiers: &HashSet<&str>) {
        if organisation.tiers.get_ref().is_empty() {
            self.report(
                format!(
                    "organisation {} may use no tier",
                    organisation.name.get_ref()
                ),
                organisation.tiers.span(),
                "name at least one tier; the first is the default",
            );
        }
        let mut seen = HashSet::new();
        for tier in organisation.tiers.get_ref() {
            let name = tier.get_ref().as_str();
            if !tiers.contains(name) {
                self.report(
                    format!("there is no tier named {name:?}"),
                    tier.span(),
                    "name a tier of the [[tiers]] tables",
                );
            }
            if !seen.insert(name) {
                self.report(
                    format!("tier {name:?} is given twice"),
                    tier.span(),
                    "remove one",
                );
            }
        }
    }

    fn check_keys(&mut self, organisation: &source::Organisation, seen: &mut HashSet<Hash>) {
        if organisation.key_hashes.get_ref().is_empty() {
            self.report(
                format!("organisation {} has no key", organisation.name.get_ref()),
                organisation.key_hashes.span(),
                "add the SHA-256 hash of an API key",
            );
        }
        for text in organisation.key_hashes.get_ref() {
            match text.get_ref().parse::<Hash>() {
                Err(malformed) => self.report(
                    malformed.to_string(),
                    text.span(),
                    "compute it with: printf %s \"$KEY\" | sha256sum",
                ),
                Ok(hash) if !seen.insert(hash) => self.report(
                    "this key hash is given twice",
                    text.span(),
                    "a key belongs to one organisation",
                ),
                Ok(_) => {}
            }
        }
    }

    fn check_limits(&mut self, organisation: &source::Organisation) {
        if let Some(weight) = &organisation.weight {
            self.check_range("weight", weight, 1, MAX_WEIGHT);
        }
        if let Some(concurrent) = &organisation.concurrent {
            self.check_range("concurrent", concurrent, 1, MAX_COUNT);
        }
        if let Some(rate) = &organisation.requests_per_second {
            let value = *rate.get_ref();
            if !(value > 0.0 && value <= MAX_COUNT as f64) {
                self.report(
                    format!("requests_per_second is {value}, which is out of range"),
                    rate.span(),
                    format!("give a number above 0 and up to {MAX_COUNT}"),
                );
            }
        }
    }

    fn check_actions(&mut self, actions: &[source::Action]) {
        let mut seen = HashSet::new();
        for action in actions {
            self.check_method(&action.method);
            self.check_path(&action.path);
            if !seen.insert((action.method.get_ref(), action.path.get_ref())) {
                self.report(
                    "this action is given twice",
                    action.path.span(),
                    "remove one",
                );
            }
        }
    }

    fn check_method(&mut self, method: &Spanned<String>) {
        let name = method.get_ref();
        let is_method = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method && name != ANY_METHOD {
            self.report(
                format!("{name:?} is not an HTTP method"),
                method.span(),
                "write it in upper case, such as \"POST\", or \"*\" for every method",
            );
        }
    }

    fn check_path(&mut self, path: &Spanned<String>) {
        let text = path.get_ref();
        let prefix = text.strip_suffix('*').unwrap_or(text);
        if !text.starts_with('/') {
            self.report(
                format!("path {text:?} does not begin with a slash"),
                path.span(),
                "give the path below the service's name, such as \"/pickups\"",
            );
        }
        if prefix.contains(['*', '?', '#', '%']) || prefix.contains(char::is_whitespace) {
            self.report(
                format!("path {text:?} contains a character that is not allowed"),
                path.span(),
                "write it decoded and without a query; one * is allowed at the end",
            );
        }
    }

    fn check_models(&mut self, document: &source::Document) {
        let names = document.models.iter().map(|model| &model.name);
        self.check_names("model", names);
        for model in &document.models {
            self.check_range("replicas", &model.replicas, 1, MAX_COUNT);
        }
        let is_plain = *document.kind.get_ref() == source::Kind::Plain;
        if let (true, Some(model)) = (is_plain, document.models.first()) {
            self.report(
                "a plain service has no models",
                model.name.span(),
                "remove the [[models]] tables, or set kind = \"model\"",
            );
        }
    }

    fn check_names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a Spanned<String>>) {
        let mut seen = HashSet::new();
        for name in names {
            self.check_name(kind, name);
            if !seen.insert(name.get_ref().as_str()) {
                self.report(
                    format!("{kind} {:?} is given twice", name.get_ref()),
                    name.span(),
                    "names are unique",
                );
            }
        }
    }

    fn check_name(&mut self, kind: &str, name: &Spanned<String>) {
        let text = name.get_ref();
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
        if !is_valid || text.starts_with('.') {
            self.report(
                format!("{kind} name {text:?} is not allowed"),
                name.span(),
                format!(
                    "use 1 to {MAX_NAME_BYTES} letters, digits, dashes, underscores and dots, \
                     with no dot first"
                ),
            );
        }
    }

    fn check_range(&mut self, field: &str, number: &Spanned<i64>, min: i64, max: i64) {
        let value = *number.get_ref();
        if !(min..=max).contains(&value) {
            self.report(
                format!("{field} is {value}, which is out of range"),
                number.span(),
                format!("give a whole number from {min} to {max}"),
            );
        }
    }
}
