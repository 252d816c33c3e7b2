//! Configuration of the design size, split among teams.

use model::{
    Config, FORMAT, Millis, PathMatch, Pool, Route, Rules, Service, Target, TeamName, Weight,
};

/// Services at the design size.
pub(crate) const SERVICES: usize = 870;

/// Returns the name of a team.
///
/// # Panics
///
/// Never: the name is valid.
pub(crate) fn team(i: usize) -> TeamName {
    format!("team-{i}").parse().expect("a valid name")
}

/// Returns the configuration of team `i`, which owns its share of [`SERVICES`] among `teams`.
///
/// Each service has a pool and a route with a time-out of 5 s. The first route's time-out is
/// `change` milliseconds longer, so that each `change` yields another configuration.
///
/// # Panics
///
/// Never: the names are valid.
pub(crate) fn config(i: usize, teams: usize, change: u64) -> Config {
    let team = team(i);
    let mut config = Config {
        format: FORMAT,
        parent: None,
        teams: vec![team.clone()],
        services: Vec::new(),
        pools: Vec::new(),
        routes: Vec::new(),
    };
    for (nth, service) in (i..SERVICES).step_by(teams).enumerate() {
        let name = format!("service-{service}");
        config.services.push(Service::new(
            name.parse().expect("a valid name"),
            team.clone(),
        ));
        config.pools.push(Pool {
            name: name.parse().expect("a valid name"),
            team: team.clone(),
            service: name.parse().expect("a valid name"),
            domains: Vec::new(),
        });
        let change = if nth == 0 { change } else { 0 };
        config.routes.push(Route {
            name: name.parse().expect("a valid name"),
            team: team.clone(),
            hosts: vec![format!("{name}.mesh.example")],
            path: PathMatch::Prefix("/".into()),
            methods: Vec::new(),
            headers: Vec::new(),
            to: vec![Target {
                pool: name.parse().expect("a valid name"),
                weight: Weight::new(1),
            }],
            rules: Rules {
                timeout: Millis::new(5_000 + change),
                ..Rules::default()
            },
        });
    }
    config
}
