//! Where requests may be served: allowed regions, and evacuated zones.

use crate::{
    backend::{Behavior, header},
    frames::{connect, open_frame},
    support::{Answer, Instance, Location, TIMEOUT, call, eventually},
};
use anyhow::{bail, ensure};
use fulmarreel_node::peer::stream::{read, write};
use fulmarreel_testing::kv::{FakePlatformStore, Faults};
use fulmarreel_wire::call::{Chunk, Frame, Header, Refusal};
use rstest::rstest;
use smol::{Timer, net::TcpStream};
use std::time::Duration;

/// Routes to `s`: `/s/` to all regions, `/far/` to one, and `/nowhere/` to a region without targets; with
/// an account of the same region as `/far/`.
const CONFIG: &str = r#"{"version": 1, "services": [{"name": "s"}, {"name": "own"}], "routes": [
    {"name": "s", "host": "h.example", "prefix": "/s/", "service": "s", "route_kind": "unsafe",
        "auth_exempt": true},
    {"name": "far", "host": "h.example", "prefix": "/far/", "service": "s", "max_attempts": 2,
        "route_kind": "safe", "auth_exempt": true, "allowed_regions": ["far"]},
    {"name": "nowhere", "host": "h.example", "prefix": "/nowhere/", "service": "s",
        "auth_exempt": true, "allowed_regions": ["nowhere"]}],
    "tenants": [{"name": "bound", "api_keys": ["k"], "allowed_regions": ["far"]}]}"#;

/// The time within which an order to evacuate a zone has to be followed.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

const NEAR: Location<'_> = Location {
    region: "near",
    zone: "near-a",
};

const FAR: Location<'_> = Location {
    region: "far",
    zone: "far-a",
};

/// A node for callers in the near region, and two targets of `s`, one in each region.
struct Fleet {
    store: FakePlatformStore,
    caller: Instance,
    near: Instance,
    far: Instance,
}

impl Fleet {
    async fn start() -> anyhow::Result<Self> {
        let store = FakePlatformStore::start()?;
        store.put("op/config", CONFIG.as_bytes());
        let to = store.address();
        let fleet = Self {
            caller: Instance::start_at(NEAR, to, "own", "v1").await?,
            near: Instance::start_at(NEAR, to, "s", "v1").await?,
            far: Instance::start_at(FAR, to, "s", "v1").await?,
            store,
        };
        fleet.caller.wait_served("/far/").await?;
        fleet.near.wait_served("/s/").await?;
        eventually("near target known", || async {
            let answer = fleet.caller.request("GET", "/s/", "warm").await;
            answer.is_ok_and(|answer| answer.text.contains(&fleet.near.backend.id))
        })
        .await?;
        Ok(fleet)
    }

    async fn request(&self, path: &str) -> anyhow::Result<Answer> {
        self.caller.request("POST", path, "r").await
    }

    /// How many requests the near target's node refused for a cause.
    async fn near_refusals(&self, cause: &str) -> anyhow::Result<u64> {
        let metrics = call(self.near.metrics, "GET", "/metrics", "node", &[], "").await?;
        let counter =
            format!("fulmarreel_requests_refused_total{{service=\"s\",cause=\"{cause}\"}} ");
        let mut lines = metrics.text.lines();
        let count = lines.find_map(|line| line.strip_prefix(&counter));
        Ok(count.map_or(Ok(0), str::parse)?)
    }

    fn arrivals(&self) -> (usize, usize) {
        let count = |instance: &Instance| instance.backend.arrivals().len();
        (count(&self.near), count(&self.far))
    }
}

/// Sends a request to a node as another node does, and returns why it was refused.
async fn refusal(
    to: &Instance,
    path: &str,
    account: Option<&str>,
) -> anyhow::Result<Option<Refusal>> {
    let mut tcp = connect(to).await?;
    send_frames(&mut tcp, path, account).await?;
    read_refusal(&mut tcp).await
}

async fn send_frames(tcp: &mut TcpStream, path: &str, account: Option<&str>) -> anyhow::Result<()> {
    let Frame::Open(mut open) = open_frame(false, 0) else {
        bail!("no request");
    };
    let headers = [("Host", Some("h.example")), ("x-tenant", account)];
    let headers = headers.into_iter().filter_map(|(name, value)| {
        Some(Header {
            name: name.to_owned(),
            value: value?.as_bytes().to_vec(),
        })
    });
    open.headers = headers.collect();
    open.path = path.to_owned();
    write(tcp, &Frame::Open(open)).await?;
    let body = Chunk {
        sequence: 1,
        offset: 0,
        bytes: Vec::new(),
        last: true,
    };
    write(tcp, &Frame::Chunk(body)).await?;
    Ok(())
}

/// Why the request was refused; `None` if it was answered.
async fn read_refusal(tcp: &mut TcpStream) -> anyhow::Result<Option<Refusal>> {
    loop {
        match read(tcp).await? {
            Frame::Refused(refused) => return Ok(Some(refused.reason)),
            Frame::Head(_) => return Ok(None),
            Frame::Leaving | Frame::Accepting => {}
            other => bail!("{other:?}"),
        }
    }
}

/// Fails if a target outside the route's regions, or its node, gets a request, or a request that no region may serve is
/// not refused as not run.
#[test]
fn a_request_reaches_targets_of_its_regions_only() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start().await?;
        let (near, far) = fleet.arrivals();
        for _ in 0..10 {
            ensure!(fleet.request("/far/").await?.status == 200);
        }
        ensure!(
            fleet.arrivals() == (near, far + 10),
            "{:?}",
            fleet.arrivals()
        );
        ensure!(fleet.near_refusals("region").await? == 0, "offered");
        let refused = fleet.request("/nowhere/").await?;
        ensure!(refused.status == 503, "{}", refused.text);
        let retry_after = header(&refused.text, "retry-after");
        ensure!(retry_after.is_some(), "{}", refused.text);
        ensure!(
            fleet.arrivals() == (near, far + 10),
            "{:?}",
            fleet.arrivals()
        );
        // Also if the only allowed target has left.
        let mut fleet = fleet;
        ensure!(fleet.far.drain().await?);
        let refused = fleet.request("/far/").await?;
        ensure!(refused.status == 503, "{}", refused.text);
        ensure!(
            fleet.arrivals() == (near, far + 10),
            "{:?}",
            fleet.arrivals()
        );
        Ok(())
    })
}

/// Fails if a target's node relies on the sender for the regions of a route or an account.
#[rstest]
#[case::route("/far/", None, Some(Refusal::NoTarget))]
#[case::account("/s/", Some("bound"), Some(Refusal::NoTarget))]
#[case::unbound("/s/", None, None)]
fn a_node_refuses_requests_that_may_not_be_served_in_its_region(
    #[case] path: &str,
    #[case] account: Option<&str>,
    #[case] expected: Option<Refusal>,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start().await?;
        let near = refusal(&fleet.near, path, account).await?;
        ensure!(near == expected, "{near:?}");
        let far = refusal(&fleet.far, path, account).await?;
        ensure!(far.is_none(), "{far:?}");
        Ok(())
    })
}

/// Fails if targets of an evacuated zone, or their nodes, get requests, a request that runs there is cut off, a node there
/// accepts no requests of its clients, or the zone stays out of service after the order is removed.
#[test]
fn an_evacuated_zone_gets_no_requests() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start().await?;
        fleet.near.backend.set_behavior(Behavior {
            delay: EVACUATION_LIMIT / 2,
            ..Behavior::default()
        });
        let key = format!("op/evacuate/{}", NEAR.zone);
        let running = call(fleet.caller.callers, "POST", "/s/", "h.example", &[], "");
        let evacuated = async {
            let (near, _) = fleet.arrivals();
            eventually("running", || async { fleet.arrivals().0 == near + 1 }).await?;
            fleet.store.put(&key, b"{}");
            Timer::after(EVACUATION_LIMIT).await;
            anyhow::Ok(())
        };
        let (running, evacuated) = smol::future::zip(running, evacuated).await;
        evacuated?;
        ensure!(running?.status == 200);
        fleet.near.backend.set_behavior(Behavior::default());
        let (near, far) = fleet.arrivals();
        for _ in 0..5 {
            ensure!(fleet.request("/s/").await?.status == 200);
            let from_inside = fleet.near.request("POST", "/s/", "r").await?;
            ensure!(from_inside.status == 200, "{}", from_inside.text);
        }
        ensure!(
            fleet.arrivals() == (near, far + 10),
            "{:?}",
            fleet.arrivals()
        );
        ensure!(fleet.near_refusals("evacuated").await? == 0, "offered");
        let refused = refusal(&fleet.near, "/s/", None).await?;
        ensure!(refused == Some(Refusal::Leaving), "{refused:?}");
        ensure!(fleet.near_refusals("evacuated").await? == 1, "not counted");
        fleet.store.remove(&key);
        eventually("taken back", || async {
            let _ = fleet.request("/s/").await;
            fleet.arrivals().0 > near
        })
        .await?;
        ensure!(refusal(&fleet.near, "/s/", None).await?.is_none());
        Ok(())
    })
}

/// Fails if a node that starts in an evacuated zone serves its target until it has read the order, also if
/// that takes longer than to know the target.
#[test]
fn a_restarted_node_keeps_its_zone_evacuated() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::start().await?;
        let key = format!("op/evacuate/{}", NEAR.zone);
        fleet.store.put(&key, b"");
        eventually("evacuated", || async {
            let nodes = [&fleet.caller, &fleet.near, &fleet.far];
            let knows =
                |node: &&Instance| node.log().is_ok_and(|log| log.contains("zone evacuated"));
            nodes.iter().all(knows)
        })
        .await?;
        let (near, _) = fleet.arrivals();
        fleet.near.process.signal("KILL")?;
        fleet.near.process.wait_for_exit(TIMEOUT)?;
        let silent = Faults {
            silent: true,
            ..Faults::default()
        };
        fleet.store.set_faults(silent);
        for other in [&fleet.caller, &fleet.far] {
            other.process.signal("STOP")?;
        }
        fleet.near.restart()?;
        eventually("target known", || async {
            // The node does not listen yet at first.
            let _ = refusal(&fleet.near, "/s/", None).await;
            let log = fleet.near.log();
            log.is_ok_and(|log| log.contains("announcements are used without"))
        })
        .await?;
        let refused = refusal(&fleet.near, "/s/", None).await?;
        ensure!(refused == Some(Refusal::Leaving), "{refused:?}");
        for other in [&fleet.caller, &fleet.far] {
            other.process.signal("CONT")?;
        }
        fleet.store.set_faults(Faults::default());
        fleet.near.wait_ready().await?;
        let refused = refusal(&fleet.near, "/s/", None).await?;
        ensure!(refused == Some(Refusal::Leaving), "{refused:?}");
        ensure!(fleet.arrivals().0 == near);
        fleet.store.put(&format!("op/evacuate/{}", FAR.zone), b"{}");
        eventually("all zones evacuated", || async {
            let answer = fleet.request("/s/").await;
            answer.is_ok_and(|answer| answer.status == 503)
        })
        .await
    })
}

/// Fails if a node that was frozen runs what was sent meanwhile, by orders that it may not have read yet.
#[test]
fn a_node_that_was_frozen_runs_nothing_from_before() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start().await?;
        let setting = format!("bounds.evacuate_s={}", EVACUATION_LIMIT.as_secs());
        fleet.near.add_setting(&setting).await?;
        let mut tcp = connect(&fleet.near).await?;
        let (near, _) = fleet.arrivals();
        fleet.near.process.signal("STOP")?;
        send_frames(&mut tcp, "/s/", None).await?;
        Timer::after(EVACUATION_LIMIT * 3 / 4).await;
        fleet.near.process.signal("CONT")?;
        let refused = read_refusal(&mut tcp).await?;
        ensure!(refused == Some(Refusal::Leaving), "{refused:?}");
        ensure!(fleet.arrivals().0 == near);
        eventually("served again", || async {
            matches!(refusal(&fleet.near, "/s/", None).await, Ok(None))
        })
        .await
    })
}
