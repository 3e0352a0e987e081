//! Which versions of a model a request may be served with.

use crate::direct::slots::TargetLoad;
use crate::direct::{DeclaredVersions, LoadedModel, RegisteredTarget, SlotRequest};
use crate::prelude::*;

/// Returns whether the target has loaded the request's model, in version `required` or a newer one.
pub fn is_usable(request: &SlotRequest, required: Option<u64>, target: &RegisteredTarget) -> bool {
    let Some(model) = &request.model else {
        return true;
    };
    let satisfies = |loaded: &LoadedModel| {
        loaded.model == *model && required.is_none_or(|required| loaded.version >= required)
    };
    target.models.iter().any(satisfies)
}

/// Returns by when the target must have begun to run the request, because its loaded version is retired then;
/// `None` if no newer version is declared.
pub fn begin_by(
    request: &SlotRequest,
    versions: Option<&DeclaredVersions>,
    load: &TargetLoad,
) -> Option<MonoTime> {
    let loaded = load.loaded_version(request.model.as_ref()?);
    Some(versions?.first_unmet(loaded)?.begin_by)
}
