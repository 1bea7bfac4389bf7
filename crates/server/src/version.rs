//! Which version a chat request runs on: its session's, else one by the judge's plan.

use crate::call::Call;
use crate::decider::{Stale, Wish};
use crate::gossip;
use crate::tries::{GivenUp, closing};
use caller::{Chat, Refusal, headers};
use entity::request::Ran;
use entity::unit::Share;
use entity::{Span, id};
use fellow::message::{Assign, Body};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use quality::{Class, Escalation, Reason};
use session::{Resolution, Token, resolve};

/// The version of a request.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The version to ask.
    pub version: id::Version,
    /// Whether to rate its answer first, and what to do if it is poor.
    pub escalate: Option<Escalation>,
    /// Whether the version was chosen in order to be rated.
    pub explored: bool,
    /// Headers that tell the caller about its session.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// What is known of a session before a version is planned.
struct Standing {
    kept: Option<id::Version>,
    /// The version that the session can't stay on.
    lost: Option<Box<str>>,
}

/// Assigns a version.
///
/// # Errors
///
/// No version may serve the request, or the configuration changed.
pub async fn assign(call: &Call, chat: &Chat) -> Result<Assignment, GivenUp> {
    let standing = standing(call).await?;
    let mut escalate = None;
    let mut explored = false;
    let version = match standing.kept {
        Some(version) => version,
        None => {
            let plan = plan(call, chat).await?;
            let version = at_home(call, plan.first, &standing).await?;
            if version == plan.first {
                escalate = plan.escalate;
                explored = plan.reason == Reason::Exploration;
            }
            version
        }
    };
    let headers = session_headers(call, version, standing.lost.is_some());
    Ok(Assignment {
        version,
        escalate,
        explored,
        headers,
    })
}

async fn usable(call: &Call, version: id::Version) -> Result<bool, GivenUp> {
    let generation = call.snapshot.generation;
    let usable = call
        .context
        .core
        .decider
        .usable(call.service, version, generation)
        .await;
    let usable = usable.map_err(|_| GivenUp::Refused(closing(Ran::No)))?;
    usable.map_err(|Stale| GivenUp::Stale)
}

/// Reads the session's token. A withdrawn, braked or no longer allowed version wins over it.
async fn standing(call: &Call) -> Result<Standing, GivenUp> {
    let none = Standing {
        kept: None,
        lost: None,
    };
    let Some(text) = &call.request.session.token else {
        return Ok(none);
    };
    let token = call.context.signer.verify(text).map_err(|error| {
        let status = StatusCode::BAD_REQUEST;
        let refusal = Refusal::not_run(status, "bad-session-token", error.to_string());
        GivenUp::Refused(refusal)
    })?;
    let config = &call.snapshot.config;
    let session = call.request.session.id.as_deref();
    let resolution = resolve(&token, session, config, call.organisation, call.service);
    let lost = Some(token.version.as_str().into());
    Ok(match resolution {
        Resolution::Kept(version) if usable(call, version).await? => Standing {
            kept: Some(version),
            lost: None,
        },
        Resolution::Kept(_) | Resolution::Lost => Standing { kept: None, lost },
        Resolution::Foreign => none,
    })
}

async fn plan(call: &Call, chat: &Chat) -> Result<quality::Plan, GivenUp> {
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
    let wish = Wish {
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
        budget: call.left(),
        position: position(call),
    };
    let planned = call.context.core.decider.plan(wish).await;
    let planned = planned.map_err(|_| GivenUp::Refused(closing(Ran::No)))?;
    let plan = planned.map_err(|Stale| GivenUp::Stale)?;
    plan.ok_or_else(|| {
        let message = "no version that the organisation may use is in service";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let refusal = Refusal::not_run(status, "no-version", message);
        GivenUp::Refused(refusal.after(Span::from_secs(1)))
    })
}

/// Where the session falls in the split of a roll-out.
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

/// Asks the session's home for its version, where the caller named a session but returned no usable
/// token. Without an answer the own plan stands.
async fn at_home(
    call: &Call,
    planned: id::Version,
    standing: &Standing,
) -> Result<id::Version, GivenUp> {
    let Some(session) = &call.request.session.id else {
        return Ok(planned);
    };
    let config = &call.snapshot.config;
    let list = call.context.members.borrow().list.clone();
    let Some(home) = gossip::home(&list, session, 0) else {
        return Ok(planned);
    };
    let assign = |lost: &str| Assign {
        session: session.to_string(),
        service_name: config.services[call.service].name.to_string(),
        organisation: config.organisations[call.organisation].name.to_string(),
        version: config.versions[planned].name.to_string(),
        lost: lost.to_owned(),
    };
    let link = call.context.links.get(home.address);
    let mut lost: Box<str> = standing.lost.clone().unwrap_or_default();
    // The second question replaces a version that turned out to be lost.
    for _ in 0..2 {
        let answer = link.ask(Body::Assign(assign(&lost))).await;
        let Ok(Body::Assigned(assigned)) = answer else {
            return Ok(planned);
        };
        let version = config.version(&assigned.version);
        let allowed =
            version.filter(|version| config.allows(call.organisation, call.service, *version));
        if let Some(version) = allowed
            && usable(call, version).await?
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
