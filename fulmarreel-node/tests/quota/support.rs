//! Nodes that only share quotas.

use fulmarreel_node::{
    mesh::{
        context::Context,
        notices::NoticeSocket,
        quota::{self, Quotas},
        sync,
    },
    runtime::{self, Task},
};
use fulmarreel_platform::Settings;
use fulmarreel_route::{Account, account::Quota};
use fulmarreel_testing::{kv::FakePlatformStore, process::free_address};
use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, Once},
    time::{Duration, Instant},
};

/// The key of the coordinator in the store.
pub const COORDINATOR_KEY: &str = "fulmarreel/quota/coordinator";

/// Limit on each wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(15);

/// How long a request may wait for a token.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// A node; dropping it ends its tasks, as if the process were killed.
pub struct Node {
    pub address: SocketAddr,
    pub quotas: Arc<Quotas>,
    pub context: Arc<Context>,
    _tasks: Vec<Task<()>>,
}

/// Runs a test on the nodes' runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    static RUNTIME: Once = Once::new();
    RUNTIME.call_once(runtime::init);
    runtime::block_on(test)
}

/// Starts nodes; each is known to the others.
pub async fn start(store: &FakePlatformStore, count: usize) -> anyhow::Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for index in 0..count {
        let address = free_address()?;
        let entry = format!(
            "{{\"address\":\"{address}\",\"zone\":\"a\",\"region\":\"r\",\"target\":null,\"departures\":[]}}"
        );
        store.put(&format!("fulmarreel/nodes/n-{index}"), entry.as_bytes());
        nodes.push(start_node(store, index, address).await?);
    }
    for node in &nodes {
        let is_configured = || node.context.view().table.is_some();
        eventually("configured", is_configured).await?;
    }
    Ok(nodes)
}

async fn start_node(
    store: &FakePlatformStore,
    index: usize,
    address: SocketAddr,
) -> anyhow::Result<Node> {
    let settings = format!(
        "node_name=n-{index}\nzone=a\nregion=r\nip=127.0.0.1\nlisten.outbound=127.0.0.1:1\n\
        listen.ready=127.0.0.1:1\nlisten.control=127.0.0.1:1\nport_range={0},{0}\n\
        app_addr=127.0.0.1:1\nservice=s\nplatform_spec.address={1}\n",
        address.port(),
        store.address(),
    );
    let settings: Settings = settings.parse()?;
    let context = Arc::new(Context::new(settings));
    let quotas = Quotas::new(Arc::clone(&context));
    let notices = NoticeSocket::bind(Arc::clone(&context)).await?;
    let tasks = vec![
        runtime::spawn_task(sync::run(Arc::clone(&context))),
        runtime::spawn_task(Arc::clone(&notices).send_store_notices()),
        runtime::spawn_task(Arc::clone(&notices).receive(Arc::default(), Arc::clone(&quotas))),
        runtime::spawn_task(quota::driver::run(
            Arc::clone(&quotas),
            Arc::clone(&notices),
        )),
        runtime::spawn_task(quota::claim::run(Arc::clone(&quotas), notices)),
    ];
    Ok(Node {
        address,
        quotas,
        context,
        _tasks: tasks,
    })
}

/// Writes a configuration with these accounts and rates per second; each burst is a second of the rate.
pub fn configure(store: &FakePlatformStore, version: u64, accounts: &[(&str, f64)]) {
    let accounts = accounts.iter().map(|(name, rate)| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"key-{name}\"],\"rate_per_s\":{rate},\"burst\":{rate}}}"
        )
    });
    let accounts = accounts.collect::<Vec<_>>().join(",");
    let config = format!("{{\"version\":{version},\"routes\":[],\"tenants\":[{accounts}]}}");
    store.put("op/config", config.as_bytes());
}

/// An account as a request bears it.
pub fn account(name: &str, rate_per_s: f64) -> Account {
    let quota = Quota {
        rate_per_s,
        burst: rate_per_s,
    };
    Account {
        name: name.to_owned(),
        priority: 1,
        quota: (rate_per_s > 0.0).then_some(quota),
        allowed_regions: Vec::new(),
    }
}

impl Node {
    /// Sends one request; returns whether it ran.
    pub async fn request(&self, account: &Account) -> bool {
        match self.quotas.admit(account, MAX_WAIT).await {
            Ok(permit) => permit.is_none_or(|mut permit| permit.begin()),
            Err(_) => false,
        }
    }

    /// Sends requests at a rate for a time; returns how many were sent and how many ran.
    pub async fn load(&self, account: &Account, per_s: f64, time: Duration) -> (u32, u32) {
        let end = Instant::now() + time;
        let (mut sent, mut ran) = (0, 0);
        while Instant::now() < end {
            Timer::after(Duration::from_secs_f64(1.0 / per_s)).await;
            sent += 1;
            ran += u32::from(self.request(account).await);
        }
        (sent, ran)
    }
}

/// The node that coordinates, as far as the store says.
pub fn coordinator(store: &FakePlatformStore, nodes: &[Node]) -> Option<usize> {
    let value = store.get(COORDINATOR_KEY)?;
    let text = String::from_utf8_lossy(&value).into_owned();
    nodes
        .iter()
        .position(|node| text.contains(&node.address.to_string()))
}

/// Polls until a condition holds; `what` names it in the error.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) -> anyhow::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        anyhow::ensure!(Instant::now() < deadline, "not {what} in {TIMEOUT:?}");
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(())
}
