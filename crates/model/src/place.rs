//! Maps item keys to their places in the operator's file.

use std::collections::HashMap;

use crate::{Config, Item, Kind, Problem};

/// Places of all items of a configuration, by key.
#[derive(Debug)]
pub struct Places(HashMap<String, String>);

impl Places {
    /// Collects the place of every item of `config`; for a duplicate name, the later one.
    pub fn of(config: &Config) -> Self {
        let mut counts = HashMap::new();
        let places = config.items().map(|item| {
            let list = list_of(&item);
            let i: &mut usize = counts.entry(list).or_default();
            let place = format!("{list}[{i}]");
            *i += 1;
            (item.key().to_string(), place)
        });
        Self(places.collect())
    }

    /// Replaces the key at the start of a problem's place, if the file contains the item.
    pub fn locate(&self, problem: Problem) -> Problem {
        match self.find(&problem.place) {
            Some(place) => Problem { place, ..problem },
            None => problem,
        }
    }

    fn find(&self, text: &str) -> Option<String> {
        // Names may contain dots, so the longest matching key is tried first.
        let ends = text.match_indices('.').map(|(end, _)| end);
        let ends = std::iter::once(text.len()).chain(ends.rev());
        let mut found = ends.filter_map(|end| {
            let place = self.0.get(&text[..end])?;
            Some(format!("{place}{}", &text[end..]))
        });
        found.next()
    }
}

/// Returns the name of the list that contains `item`.
fn list_of(item: &Item) -> &'static str {
    match item.key().kind {
        Kind::Service => "services",
        Kind::Pool => "pools",
        Kind::Route => "routes",
    }
}
