//! The call that drains an upstream.

use axum::extract::rejection::PathRejection;
use axum::extract::{Extension, Path, State};
use http::StatusCode;
use model::VmId;
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
    api.check_drain(&operator, &vm)?;
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
    fn check_drain(&self, operator: &Operator, vm: &VmId) -> Result<(), ErrorPage> {
        let record = self.table.members().get(vm);
        let Some(service) = record.and_then(|record| record.service) else {
            return Ok(());
        };
        let snapshot = self.table.snapshot();
        let pool = snapshot
            .pools()
            .iter()
            .find(|pool| pool.service.name == service);
        match pool {
            Some(pool) => operator.check_teams(std::slice::from_ref(&pool.service.team)),
            None => Ok(()),
        }
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
