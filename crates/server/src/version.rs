//! Assigns a version to a chat request: that of its session, or else one from the judge's plan.

use crate::call::Call;
use crate::decider::{Stale, VersionQuery};
use crate::gossip;
use crate::tries::{Abort, closing};
use caller::{Chat, Refusal, headers};
use entity::request::Ran;
use entity::unit::Share;
use entity::{Span, id};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use peer::message::{Assign, Body};
use quality::{Class, Escalation, Reason};
use session::{Resolution, Token, resolve};

/// The version that a request is assigned to.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The version that answers first.
    pub version: id::Version,
    /// Escalation for an answer that is rated as poor; none if the answer is not rated first.
    pub escalate: Option<Escalation>,
    /// Whether the version was chosen in order to be rated.
    pub explored: bool,
    /// Session headers of the answer.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// State of a session, as its token gives it.
struct SessionState {
    /// The version that the session stays on.
    kept: Option<id::Version>,
    /// Name of the version that the session has to leave.
    lost: Option<Box<str>>,
}

/// Assigns a version.
///
/// # Errors
///
/// No version may serve the request, or the configuration changed.
pub async fn assign(call: &Call, chat: &Chat) -> Result<Assignment, Abort> {
    let state = session_state(call).await?;
    let mut escalate = None;
    let mut explored = false;
    let version = match state.kept {
        Some(version) => version,
        None => {
            let plan = plan(call, chat).await?;
            let version = assign_at_owner(call, plan.first, &state).await?;
            if version == plan.first {
                escalate = plan.escalate;
                explored = plan.reason == Reason::Exploration;
            }
            version
        }
    };
    let headers = session_headers(call, version, state.lost.is_some());
    Ok(Assignment {
        version,
        escalate,
        explored,
        headers,
    })
}

async fn is_usable(call: &Call, version: id::Version) -> Result<bool, Abort> {
    let generation = call.snapshot.generation;
    let result = call
        .context
        .core
        .decider
        .is_usable(call.service, version, generation)
        .await;
    let result = result.map_err(|_| Abort::Refused(closing(Ran::No)))?;
    result.map_err(|Stale| Abort::Stale)
}

/// Reads the session's token. A version that is withdrawn, braked or no longer allowed is not kept.
async fn session_state(call: &Call) -> Result<SessionState, Abort> {
    let none = SessionState {
        kept: None,
        lost: None,
    };
    let Some(text) = &call.request.session.token else {
        return Ok(none);
    };
    let token = call.context.signer.verify(text).map_err(|error| {
        let status = StatusCode::BAD_REQUEST;
        let refusal = Refusal::not_run(status, "bad-session-token", error.to_string());
        Abort::Refused(refusal)
    })?;
    let config = &call.snapshot.config;
    let session = call.request.session.id.as_deref();
    let resolution = resolve(&token, session, config, call.organisation, call.service);
    let lost = Some(token.version.as_str().into());
    Ok(match resolution {
        Resolution::Kept(version) if is_usable(call, version).await? => SessionState {
            kept: Some(version),
            lost: None,
        },
        Resolution::Kept(_) | Resolution::Lost => SessionState { kept: None, lost },
        Resolution::Foreign => none,
    })
}

async fn plan(call: &Call, chat: &Chat) -> Result<quality::Plan, Abort> {
    let Call {
        snapshot,
        organisation,
        service,
        ..
    } = call;
    let (organisation, service) = (*organisation, *service);
    let config = &snapshot.config;
    let versions = config.services[service].versions.iter().copied();
    let candidates: Vec<_> = versions
        .filter(|version| config.allows(organisation, service, *version))
        .collect();
    let query = VersionQuery {
        generation: snapshot.generation,
        service,
        candidates,
        class: if call.request.live {
            Class::Interactive
        } else {
            Class::Batch
        },
        streamed: chat.stream,
        prompt: chat.prompt,
        budget: call.time_budget(),
        position: position(call),
    };
    let planned = call.context.core.decider.plan(query).await;
    let planned = planned.map_err(|_| Abort::Refused(closing(Ran::No)))?;
    let plan = planned.map_err(|Stale| Abort::Stale)?;
    plan.ok_or_else(|| {
        let message = "no version that the organisation may use is in service";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let refusal = Refusal::not_run(status, "no-version", message);
        Abort::Refused(refusal.with_retry_after(Span::from_secs(1)))
    })
}

/// Returns the position of the session in the traffic split of a rollout, from 0 to 1.
fn position(call: &Call) -> Share {
    let config = &call.snapshot.config;
    let Some(rollout) = config.rollout(call.service) else {
        return Share::WHOLE;
    };
    let own = call.request.id.to_string();
    let session = call.request.session.id.as_deref().unwrap_or(&own);
    let position = session::split::position(session, config, rollout);
    Share::from_ppm(
        u32::try_from(position)
            .unwrap_or(u32::MAX)
            .min(Share::WHOLE.ppm()),
    )
}

/// Requests the version of a session from the instance that owns the session, where the caller gave
/// a session id but no valid token. Returns the planned version if the owner doesn't answer.
async fn assign_at_owner(
    call: &Call,
    planned: id::Version,
    state: &SessionState,
) -> Result<id::Version, Abort> {
    let Some(session) = &call.request.session.id else {
        return Ok(planned);
    };
    let config = &call.snapshot.config;
    let list = call.context.members.borrow().list.clone();
    let Some(owner) = gossip::owner(&list, session, 0) else {
        return Ok(planned);
    };
    let assign = |lost: &str| Assign {
        session: session.to_string(),
        service_name: config.services[call.service].name.to_string(),
        organisation: config.organisations[call.organisation].name.to_string(),
        version: config.versions[planned].name.to_string(),
        lost: lost.to_owned(),
    };
    let link = call.context.links.get(owner.address);
    let mut lost: Box<str> = state.lost.clone().unwrap_or_default();
    // The second request replaces an assigned version that turned out to be unusable.
    for _ in 0..2 {
        let answer = link.request(Body::Assign(assign(&lost))).await;
        let Ok(Body::Assigned(assigned)) = answer else {
            return Ok(planned);
        };
        let version = config.version(&assigned.version);
        let allowed =
            version.filter(|version| config.allows(call.organisation, call.service, *version));
        if let Some(version) = allowed
            && is_usable(call, version).await?
        {
            return Ok(version);
        }
        lost = assigned.version.into();
    }
    Ok(planned)
}

fn session_headers(
    call: &Call,
    version: id::Version,
    moved: bool,
) -> Vec<(HeaderName, HeaderValue)> {
    let config = &call.snapshot.config;
    let own = call.request.id.to_string();
    let session: Box<str> = call.request.session.id.as_deref().unwrap_or(&own).into();
    let token = Token {
        session,
        service: config.services[call.service].name.clone(),
        version: config.versions[version].name.clone(),
        generation: call.snapshot.generation,
    };
    let mut headers = Vec::new();
    if let Ok(value) = HeaderValue::from_str(&call.context.signer.sign(&token)) {
        headers.push((headers::SESSION_TOKEN, value));
    }
    if moved {
        headers.push((headers::SESSION_MOVED, HeaderValue::from_static("true")));
    }
    headers
}
