//! Open connections that stop carrying bytes, while new connections work.

use super::support::{
    BOOKINGS, LOOKUPS, RESERVAS, TestMesh, check_all_answered, check_history, load_options,
    run_load_with, slow_down, slowest, start_mesh_with,
};
use fulmarreel_testing::{
    load::Options,
    process::{InstanceSpec, free_address},
    relay::{self, Control},
};
use rstest::rstest;
use std::{sync::Arc, time::Duration};

/// Far below the calls' deadline of 8 s, and far above what a busy machine needs.
const FAST: Duration = Duration::from_secs(4);

/// Starts a mesh with one target, and a relay between its node and the others.
fn start_relayed(control: &Arc<Control>) -> anyhow::Result<TestMesh> {
    let advertise = free_address()?;
    let instance = InstanceSpec {
        advertise: Some(advertise),
        ..RESERVAS
    };
    start_mesh_with(&[instance], |mesh| {
        let node = mesh.instances[1].peers;
        Ok(smol::block_on(relay::start(
            advertise,
            node,
            Arc::clone(control),
        ))?)
    })
}

/// Verified to fail when calls on a lost connection are given up without a query over a new one,
/// which is the naive baseline, and when a connection is closed only after 70 s of silence.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn every_call_on_a_silent_connection_is_settled_over_a_new_one(
    #[case] path: &str,
) -> anyhow::Result<()> {
    let control = Arc::new(Control::default());
    let mesh = start_relayed(&control)?;
    smol::block_on(async {
        slow_down(&mesh, 10).await?;
        // The calls that accumulate during the silence fit into the slots.
        let options = Options {
            rate: 25.0,
            ..load_options(&mesh, path)
        };
        let blackholing = async {
            control.blackhole_open_connections();
            Ok(())
        };
        let (report, ()) = run_load_with(&mesh, &options, blackholing).await?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)?;
        assert!(slowest(&report)? < FAST, "{}", report.summary());
        Ok(())
    })
}
