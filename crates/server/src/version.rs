//! Which version a chat request runs on: its session's, else one by the judge's plan.

use crate::context::Context;
use crate::decider::Wish;
use crate::gossip;
use crate::tries::closing;
use adoption::Snapshot;
use caller::{Chat, Refusal, Request, headers};
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

/// A request whose organisation and service are known.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// The configuration that the ids belong to.
    pub snapshot: &'a Snapshot,
    /// Who asks.
    pub organisation: id::Organisation,
    /// What is asked for.
    pub service: id::Service,
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
/// No version may serve the request.
pub async fn assign(
    context: &Context,
    admitted: Admitted<'_>,
    request: &Request,
    chat: &Chat,
    budget: Span,
) -> Result<Assignment, Refusal> {
    let standing = standing(context, admitted, request).await?;
    let mut escalate = None;
    let mut explored = false;
    let version = match standing.kept {
        Some(version) => version,
        None => {
            let plan = plan(context, admitted, request, chat, budget).await?;
            let version = at_home(context, admitted, request, plan.first, &standing).await;
            if version == plan.first {
                escalate = plan.escalate;
                explored = plan.reason == Reason::Exploration;
            }
            version
        }
    };
    let headers = session_headers(context, admitted, request, version, standing.lost.is_some());
    Ok(Assignment {
        version,
        escalate,
        explored,
        headers,
    })
}

async fn usable(
    context: &Context,
    admitted: Admitted<'_>,
    version: id::Version,
) -> Result<bool, Refusal> {
    let generation = admitted.snapshot.generation;
    let usable = context
        .decider
        .usable(admitted.service, version, generation)
        .await;
    usable.map_err(|_| closing(Ran::No))
}

/// Reads the session's token. A withdrawn, braked or no longer allowed version wins over it.
async fn standing(
    context: &Context,
    admitted: Admitted<'_>,
    request: &Request,
) -> Result<Standing, Refusal> {
    let none = Standing {
        kept: None,
        lost: None,
    };
    let Some(text) = &request.session.token else {
        return Ok(none);
    };
    let token = context.signer.verify(text).map_err(|error| {
        Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "bad-session-token",
            error.to_string(),
        )
    })?;
    let config = &admitted.snapshot.config;
    let session = request.session.id.as_deref();
    let resolution = resolve(
        &token,
        session,
        config,
        admitted.organisation,
        admitted.service,
    );
    let lost = Some(token.version.as_str().into());
    Ok(match resolution {
        Resolution::Kept(version) if usable(context, admitted, version).await? => Standing {
            kept: Some(version),
            lost: None,
        },
        Resolution::Kept(_) | Resolution::Lost => Standing { kept: None, lost },
        Resolution::Foreign => none,
    })
}

async fn plan(
    context: &Context,
    admitted: Admitted<'_>,
    request: &Request,
    chat: &Chat,
    budget: Span,
) -> Result<quality::Plan, Refusal> {
    let Admitted {
        snapshot,
        organisation,
        service,
    } = admitted;
    let config = &snapshot.config;
    let versions = config.services[service].versions.iter().copied();
    let candidates: Vec<_> = versions
        .filter(|version| config.allows(organisation, service, *version))
        .collect();
    let wish = Wish {
        generation: snapshot.generation,
        service,
        candidates,
        class: if request.live {
            Class::Interactive
        } else {
            Class::Batch
        },
        streamed: chat.stream,
        prompt: chat.prompt,
        budget,
        position: position(admitted, request),
    };
    let plan = context
        .decider
        .plan(wish)
        .await
        .map_err(|_| closing(Ran::No))?;
    plan.ok_or_else(|| {
        let message = "no version that the organisation may use is in service";
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-version", message)
            .after(Span::from_secs(1))
    })
}

/// Where the session falls in the split of a roll-out.
fn position(admitted: Admitted<'_>, request: &Request) -> Share {
    let config = &admitted.snapshot.config;
    let Some(rollout) = config.rollout(admitted.service) else {
        return Share::WHOLE;
    };
    let own = request.id.to_string();
    let session = request.session.id.as_deref().unwrap_or(&own);
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
    context: &Context,
    admitted: Admitted<'_>,
    request: &Request,
    planned: id::Version,
    standing: &Standing,
) -> id::Version {
    let Some(session) = &request.session.id else {
        return planned;
    };
    let config = &admitted.snapshot.config;
    let list = context.members.borrow().list.clone();
    let Some(home) = gossip::home(&list, session, 0) else {
        return planned;
    };
    let assign = |lost: &str| Assign {
        session: session.to_string(),
        service_name: config.services[admitted.service].name.to_string(),
        organisation: config.organisations[admitted.organisation].name.to_string(),
        version: config.versions[planned].name.to_string(),
        lost: lost.to_owned(),
    };
    let link = context.links.get(home.address);
    let mut lost: Box<str> = standing.lost.clone().unwrap_or_default();
    // The second question replaces a version that turned out to be lost.
    for _ in 0..2 {
        let answer = link.ask(Body::Assign(assign(&lost))).await;
        let Ok(Body::Assigned(assigned)) = answer else {
            return planned;
        };
        let version = config.version(&assigned.version);
        let allowed = version
            .filter(|version| config.allows(admitted.organisation, admitted.service, *version));
        if let Some(version) = allowed
            && matches!(usable(context, admitted, version).await, Ok(true))
        {
            return version;
        }
        lost = assigned.version.into();
    }
    planned
}

fn session_headers(
    context: &Context,
    admitted: Admitted<'_>,
    request: &Request,
    version: id::Version,
    moved: bool,
) -> Vec<(HeaderName, HeaderValue)> {
    let config = &admitted.snapshot.config;
    let own = request.id.to_string();
    let session: Box<str> = request.session.id.as_deref().unwrap_or(&own).into();
    let token = Token {
        session,
        service: config.services[admitted.service].name.clone(),
        version: config.versions[version].name.clone(),
        generation: admitted.snapshot.generation,
    };
    let mut headers = Vec::new();
    if let Ok(value) = HeaderValue::from_str(&context.signer.sign(&token)) {
        headers.push((headers::SESSION_TOKEN, value));
    }
    if moved {
        headers.push((headers::SESSION_MOVED, HeaderValue::from_static("true")));
    }
    headers
}
