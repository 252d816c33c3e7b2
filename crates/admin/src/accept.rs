//! Calls that accept a configuration, or check one.

use std::collections::BTreeSet;

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, PathRejection, QueryRejection};
use axum::extract::{Extension, Path, Query, State};
use ledger::Request;
use model::{Config, State as ConfigState, TeamName, Version, parse};
use slog::info;

use crate::message::{AcceptQuery, Accepted, Checked, RollbackQuery, Shown};
use crate::trace::RequestId;
use crate::{Api, ErrorKind, ErrorPage, Operator};

/// Accepts the configuration in the body.
pub(crate) async fn accept(
    State(api): State<Api>,
    Extension(id): Extension<RequestId>,
    operator: Result<Operator, ErrorPage>,
    query: Result<Query<AcceptQuery>, QueryRejection>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Accepted>, ErrorPage> {
    let accepted = async {
        let operator = operator?;
        let Query(query) = query?;
        let config = read(&body?)?;
        operator.check_teams(&config.teams)?;
        api.accept(&id, &operator, config, query).await
    };
    api.count(accepted.await)
}

/// Accepts the content of an old version as a new one.
pub(crate) async fn rollback(
    State(api): State<Api>,
    Extension(id): Extension<RequestId>,
    operator: Result<Operator, ErrorPage>,
    version: Result<Path<Version>, PathRejection>,
    query: Result<Query<RollbackQuery>, QueryRejection>,
) -> Result<Json<Accepted>, ErrorPage> {
    let accepted = async {
        let operator = operator?;
        let Path(version) = version?;
        let Query(query) = query?;
        let old = api.ledger.at(version).await?;
        let teams = api.teams_of(&old, &query).await?;
        operator.check_teams(&teams)?;
        let config = part(version, &old, teams);
        api.accept(&id, &operator, config, query.accept).await
    };
    api.count(accepted.await)
}

impl Api {
    /// Returns the teams whose parts a rollback to `old` accepts.
    async fn teams_of(
        &self,
        old: &ConfigState,
        query: &RollbackQuery,
    ) -> Result<Vec<TeamName>, ErrorPage> {
        // A rollback that took effect leaves nothing that differs, and may be asked for again.
        if let Some(change) = self.ledger.find_accept(&query.accept.accept_id).await? {
            return Ok(change.teams.clone());
        }
        if let Some(team) = &query.team {
            return Ok(vec![team.clone()]);
        }
        let head = self.ledger.head().await?;
        Ok(differing_teams(old, &head.state))
    }
}

/// Returns the teams whose parts differ between two states.
fn differing_teams(old: &ConfigState, new: &ConfigState) -> Vec<TeamName> {
    let mut teams = BTreeSet::new();
    for (one, other) in [(old, new), (new, old)] {
        for (key, piece) in one.items() {
            let same = other
                .get(key)
                .is_some_and(|found| found.digest == piece.digest);
            if !same {
                teams.insert(piece.item.team().clone());
            }
        }
    }
    teams.into_iter().collect()
}

/// Returns the parts of `teams` in `state`, to be accepted on top of the head.
fn part(version: Version, state: &ConfigState, teams: Vec<TeamName>) -> Config {
    let mut config = Shown::of(version, state).config;
    config.parent = None;
    config
        .services
        .retain(|service| teams.contains(&service.team));
    config.pools.retain(|pool| teams.contains(&pool.team));
    config.routes.retain(|route| teams.contains(&route.team));
    config.teams = teams;
    config
}

/// Checks the configuration in the body against the newest version, without accepting it.
pub(crate) async fn check(
    State(api): State<Api>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Checked>, ErrorPage> {
    let config = read(&body?)?;
    let changed = api.ledger.check(&config).await?;
    Ok(Json(Checked { changed }))
}

fn read(body: &[u8]) -> Result<Config, ErrorPage> {
    parse(body).map_err(|problems| ledger::Error::Invalid(problems).into())
}

impl Api {
    async fn accept(
        &self,
        id: &RequestId,
        operator: &Operator,
        config: Config,
        query: AcceptQuery,
    ) -> Result<Json<Accepted>, ErrorPage> {
        let request = Request {
            config,
            accept_id: query.accept_id,
            operator: operator.name.clone(),
            reason: query.reason,
        };
        let accepted = self.ledger.accept(&request).await?;
        info!(self.log, "accepted";
            "version" => %accepted.version,
            "operator" => %request.operator,
            "accept_id" => %request.accept_id,
            "reason" => &request.reason,
            "request" => %id);
        Ok(Json(accepted.into()))
    }

    /// Counts an accept by its result.
    fn count(
        &self,
        result: Result<Json<Accepted>, ErrorPage>,
    ) -> Result<Json<Accepted>, ErrorPage> {
        let label = match &result {
            Ok(Json(accepted)) if accepted.changed.is_empty() => "unchanged",
            Ok(_) => "accepted",
            Err(page) => page.kind.as_str(),
        };
        self.metrics.accepted(label);
        result
    }
}

impl From<BytesRejection> for ErrorPage {
    fn from(rejection: BytesRejection) -> Self {
        if rejection.status() == http::StatusCode::PAYLOAD_TOO_LARGE {
            return Self::new(
                ErrorKind::TooLarge,
                "the body is larger than 16 MiB",
                "print the parts of fewer teams at once",
            );
        }
        Self::new(
            ErrorKind::BadRequest,
            rejection.body_text(),
            "send it again",
        )
    }
}
