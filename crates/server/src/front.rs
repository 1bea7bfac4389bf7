//! Accepts requests of callers: resolves the organisation, the service and the deadline.

use crate::auth::Authenticator;
use crate::call::Call;
use crate::context::Context;
use crate::tries::{Abort, closing};
use crate::{chat, plain, status};
use adoption::{Snapshot, Verdict};
use bytes::Bytes;
use caller::{Handler, Refusal, Reply, Request, Target, Whole};
use config::Kind;
use entity::request::Ran;
use entity::{Moment, Span, id, name};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use timeline::{Counter, Timer};

/// Largest number of times that a request is resolved because the configuration changes while it is
/// handled.
const MAX_RESOLUTIONS: u32 = 20;
/// Delay after which a caller may retry at an instance that can't serve yet.
const UNREADY_RETRY_AFTER: Span = Span::from_secs(2);

/// The handler of requests from callers.
pub struct Front {
    context: Arc<Context>,
    authenticator: Authenticator,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a name::Service,
    object: &'a str,
    owned_by: &'a str,
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

impl Front {
    /// Creates a handler for an instance.
    pub fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            authenticator: Authenticator::default(),
        }
    }

    /// Returns the configuration in force, if this instance may serve requests.
    fn serving_snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let refuse = |code, message: &'static str| {
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message)
                .with_retry_after(UNREADY_RETRY_AFTER)
        };
        let Some(snapshot) = self.context.snapshot() else {
            return Err(refuse(
                "no-configuration",
                "no configuration is known here yet",
            ));
        };
        if self.context.contact.verdict() == Verdict::Refuse {
            let message = "this instance hears from neither the log nor enough other instances";
            return Err(refuse("isolated", message));
        }
        Ok(snapshot)
    }

    async fn answer(&self, request: &Arc<Request>) -> Result<Reply, Refusal> {
        for _ in 0..MAX_RESOLUTIONS {
            let before_claim =
                |refusal: Refusal| refusal.before_claim(request.idempotency.as_ref());
            let snapshot = self.serving_snapshot().map_err(before_claim)?;
            match self.resolve_and_run(request, snapshot.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(Abort::Refused(refusal)) => return Err(refusal),
                Err(Abort::Stale) => self.context.core.wait_for_newer(&snapshot).await,
            }
        }
        let message = "the configuration changes too fast";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let refusal = Refusal::not_run(status, "configuration-changed", message)
            .with_retry_after(UNREADY_RETRY_AFTER);
        Err(refusal.before_claim(request.idempotency.as_ref()))
    }

    async fn resolve_and_run(
        &self,
        request: &Arc<Request>,
        snapshot: Arc<Snapshot>,
    ) -> Result<Reply, Abort> {
        let refused =
            |refusal: Refusal| Abort::Refused(refusal.before_claim(request.idempotency.as_ref()));
        let organisation = self.organisation(request, &snapshot).map_err(refused)?;
        match &request.target {
            Target::Models => Ok(models(&snapshot, organisation)),
            Target::Chat(body) => {
                let service = service(&snapshot, organisation, &body.service, Kind::Chat);
                let service = service.map_err(refused)?;
                let call = self.call(request, snapshot, organisation, service);
                let chat = Arc::new(body.clone());
                chat::Run { call, chat }.run().await
            }
            Target::Plain(plain) => {
                let service = service(&snapshot, organisation, &plain.service, Kind::Plain);
                let service = service.map_err(refused)?;
                let call = self.call(request, snapshot, organisation, service);
                plain::Run { call, plain }.run().await
            }
        }
    }

    fn call(
        &self,
        request: &Arc<Request>,
        snapshot: Arc<Snapshot>,
        organisation: id::Organisation,
        service: id::Service,
    ) -> Call {
        Call {
            deadline: self.deadline(request, &snapshot, service),
            context: self.context.clone(),
            snapshot,
            organisation,
            service,
            request: request.clone(),
        }
    }

    fn organisation(
        &self,
        request: &Request,
        snapshot: &Snapshot,
    ) -> Result<id::Organisation, Refusal> {
        let refuse =
            |message: &'static str| Refusal::not_run(StatusCode::UNAUTHORIZED, "bad-key", message);
        let bearer = request.bearer.as_deref();
        let bearer = bearer.ok_or_else(|| refuse("Authorization: Bearer KEY is missing"))?;
        let found = self.authenticator.find(bearer, snapshot);
        found.ok_or_else(|| refuse("no organisation has this key"))
    }

    /// Returns the request deadline: the caller's timeout if it gives one, else that of the
    /// service.
    fn deadline(&self, request: &Request, snapshot: &Snapshot, service: id::Service) -> Moment {
        let own = snapshot.config.services[service].deadline;
        let arrival = self.context.core.clock.moment(request.arrival);
        arrival + request.timeout.unwrap_or(own)
    }
}

/// Resolves the name of a service, which must be of the kind and allowed to the organisation.
fn service(
    snapshot: &Snapshot,
    organisation: id::Organisation,
    name: &name::Service,
    kind: Kind,
) -> Result<id::Service, Refusal> {
    let config = &snapshot.config;
    let found = config.service(name.as_str());
    let found = found.filter(|service| config.services[*service].kind == kind);
    let code = if kind == Kind::Chat {
        "unknown-model"
    } else {
        "unknown-service"
    };
    let unknown = || Refusal::not_run(StatusCode::NOT_FOUND, code, format!("there is no {name}"));
    let service = found.ok_or_else(unknown)?;
    if config.organisations[organisation]
        .services
        .binary_search(&service)
        .is_err()
    {
        let message = format!("the organisation may not use {name}");
        return Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "not-allowed",
            message,
        ));
    }
    Ok(service)
}

fn models(snapshot: &Snapshot, organisation: id::Organisation) -> Reply {
    let config = &snapshot.config;
    let mut data = Vec::new();
    for service in &config.organisations[organisation].services {
        let service = &config.services[*service];
        if service.kind == Kind::Chat {
            data.push(Model {
                id: &service.name,
                object: "model",
                owned_by: "citrontrack",
            });
        }
    }
    let models = Models {
        object: "list",
        data,
    };
    Reply::Whole(Whole {
        status: StatusCode::OK,
        content_type: Some(HeaderValue::from_static("application/json")),
        headers: Vec::new(),
        body: serde_json::to_vec(&models).unwrap_or_default().into(),
    })
}

impl Handler for Front {
    async fn handle(&self, request: Request) -> Reply {
        let request = Arc::new(request);
        let context = &self.context;
        context.core.metric.count(Counter::Requests);
        context
            .core
            .recorder
            .event(timeline::Kind::Arrived)
            .request(request.id)
            .record();
        let answer = self.answer(&request).await;
        let draft = match &answer {
            Ok(Reply::Streamed(_)) => return answer.unwrap_or_else(Reply::Refused),
            Ok(_) => {
                context.core.metric.count(Counter::Answers);
                context.core.recorder.event(timeline::Kind::Answered)
            }
            Err(refusal) => {
                let not_run = refusal.ran == Ran::No;
                let counter = if not_run {
                    Counter::NotRun
                } else {
                    Counter::MayHaveRun
                };
                context.core.metric.count(counter);
                let draft = context.core.recorder.event(timeline::Kind::Refused);
                draft.text("code", refusal.code).text("run", refusal.ran)
            }
        };
        draft.request(request.id).record();
        context
            .core
            .metric
            .time(Timer::Answer, Span::from(request.arrival.elapsed()));
        answer.unwrap_or_else(Reply::Refused)
    }

    fn ready(&self) -> Result<(), Box<str>> {
        if self.context.is_draining() {
            return Err(closing(Ran::No).message.into());
        }
        let snapshot = self
            .serving_snapshot()
            .map_err(|refusal| Box::<str>::from(refusal.message))?;
        let upstreams = snapshot.config.upstreams.values();
        let has_engines = upstreams
            .iter()
            .any(|upstream| !upstream.versions.is_empty());
        if has_engines && !self.context.loads_requested.load(Ordering::Relaxed) {
            return Err("the load of engines is not known yet".into());
        }
        Ok(())
    }
}

/// The handler of requests from operators.
pub struct OperatorFront {
    context: Arc<Context>,
}

impl OperatorFront {
    /// Creates a handler for an instance.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }
}

impl Handler for OperatorFront {
    async fn handle(&self, _: Request) -> Reply {
        let message = "operators ask GET /status";
        Reply::Refused(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-path",
            message,
        ))
    }

    fn ready(&self) -> Result<(), Box<str>> {
        Ok(())
    }

    async fn page(&self, path: &str) -> Option<Bytes> {
        if path != "/status" {
            return None;
        }
        Some(status::page(&self.context).await)
    }
}
