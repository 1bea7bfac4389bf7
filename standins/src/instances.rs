//! Stand-in for the platform's instance list.

use crate::fault::{self, Switches};
use crate::server::{self, Call, Dropped, Handle, Reply, Service};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Fault switches.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether reads are answered with status 503.
    pub down: bool,
    /// Delay of each read, in milliseconds.
    pub delay_ms: u64,
    /// Delay until a change appears in the list, in milliseconds.
    pub lag_ms: u64,
}

/// Options of the instance list.
pub type Options = fault::Options<Faults>;

/// Planned state of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance stays in service.
    #[default]
    Live,
    /// The instance will end soon.
    Leaving,
}

/// An entry of the list without its name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    zone: Box<str>,
    region: Box<str>,
    address: SocketAddr,
    #[serde(default)]
    state: State,
}

type List = BTreeMap<Box<str>, Instance>;

/// Starts the instance list.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let instances = Instances {
        faults: Switches::new(options.faults, options.seed),
        history: Mutex::new(vec![(Instant::now(), List::new())]),
    };
    server::spawn(Arc::new(instances), options.address, cancel).await
}

struct Instances {
    faults: Switches<Faults>,
    /// All versions of the list, each with the time of the change that made it. The version number
    /// is the index, and the first list is empty.
    history: Mutex<Vec<(Instant, List)>>,
}

impl Service for Instances {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        let (head, body) = call.into_parts();
        let path = head.uri.path();
        if path == "/instances" && head.method == Method::GET {
            return Ok(self.list().await);
        }
        let Some(name) = path.strip_prefix("/instances/") else {
            return Ok(server::error(StatusCode::NOT_FOUND, "unknown_path"));
        };
        if head.method == Method::DELETE {
            self.change(|list| {
                list.remove(name);
            });
            return Ok(server::change_reply(Ok(())));
        }
        if head.method != Method::PUT {
            return Ok(server::error(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        let put = serde_json::from_slice(&body).map(|instance| {
            self.change(|list| {
                list.insert(name.into(), instance);
            });
        });
        Ok(server::change_reply(put))
    }
}

impl Instances {
    fn change(&self, edit: impl FnOnce(&mut List)) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, last) = history
            .last()
            .expect("the history holds at least the first list");
        let mut list = last.clone();
        edit(&mut list);
        history.push((Instant::now(), list));
    }

    async fn list(&self) -> Reply {
        let faults = self.faults.get();
        server::sleep_ms(faults.delay_ms).await;
        if faults.down {
            return server::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let lag = Duration::from_millis(faults.lag_ms);
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let listed = history.partition_point(|(changed, _)| changed.elapsed() >= lag);
        let version = listed.saturating_sub(1);
        let mut instances = Vec::new();
        for (name, instance) in &history[version].1 {
            instances.push(entry(name, instance));
        }
        server::json(
            StatusCode::OK,
            &serde_json::json!({"version": version, "instances": instances}),
        )
    }
}

fn entry(name: &str, instance: &Instance) -> serde_json::Value {
    serde_json::json!({
        "name": name,
        "zone": instance.zone,
        "region": instance.region,
        "address": instance.address,
        "state": instance.state,
    })
}
