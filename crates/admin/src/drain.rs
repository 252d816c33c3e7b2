//! The call that drains an upstream.

use axum::extract::rejection::PathRejection;
use axum::extract::{Extension, Path, State};
use http::StatusCode;
use model::{Key, Kind, ServiceName, TeamName, VmId};
use slog::info;
use spread::DrainError;

use crate::trace::RequestId;
use crate::{Api, ErrorKind, ErrorPage, Operator};

/// Drains the upstream on a VM.
pub(crate) async fn drain(
    State(api): State<Api>,
    Extension(id): Extension<RequestId>,
    operator: Result<Operator, ErrorPage>,
    vm: Result<Path<VmId>, PathRejection>,
) -> Result<StatusCode, ErrorPage> {
    let operator = operator?;
    let Path(vm) = vm?;
    api.check_drain(&operator, &vm).await?;
    let drained = api.node.drain(&vm).await;
    let result = match &drained {
        Ok(()) => "drains".to_owned(),
        Err(error) => error.to_string(),
    };
    info!(api.log, "drain asked for";
        "vm" => %vm, "operator" => %operator.name, "result" => result, "request" => %id);
    drained?;
    Ok(StatusCode::NO_CONTENT)
}

impl Api {
    /// Checks that the upstream's service belongs to a team of the operator's.
    ///
    /// An upstream of a service that no team has configured takes no call, so anyone may drain it.
    async fn check_drain(&self, operator: &Operator, vm: &VmId) -> Result<(), ErrorPage> {
        let record = self.table.members().get(vm);
        let Some(service) = record.and_then(|record| record.service) else {
            return Ok(());
        };
        match self.owner(&service).await? {
            Some(team) => operator.check_teams(&[team]),
            None => Ok(()),
        }
    }

    /// Returns the team that owns a service, by the version in force or else by the newest.
    async fn owner(&self, name: &ServiceName) -> Result<Option<TeamName>, ErrorPage> {
        let snapshot = self.table.snapshot();
        let mut services = snapshot.pools().iter().map(|pool| &pool.service);
        if let Some(service) = services.find(|service| service.name == *name) {
            return Ok(Some(service.team.clone()));
        }
        let key = Key {
            kind: Kind::Service,
            name: name.to_string(),
        };
        let tip = self.ledger.head().await?;
        Ok(tip.state.get(&key).map(|piece| piece.item.team().clone()))
    }
}

impl From<DrainError> for ErrorPage {
    fn from(error: DrainError) -> Self {
        let kind = match error {
            DrainError::Unreachable(..) => ErrorKind::Unavailable,
            _ => ErrorKind::NotFound,
        };
        Self::new(kind, error.to_string(), "see `sardinestall status`")
    }
}
