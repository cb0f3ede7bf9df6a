//! Open connections that carry no byte any more while new ones work.

use super::support::{
    BOOKINGS, Bench, LOOKUPS, RESERVAS, calls, check, check_answered, mesh_with, run_with,
    slow_down, slowest,
};
use fulmarreel_testing::{
    load::Options,
    process::{Spec, free_address},
    relay::{self, Control},
};
use rstest::rstest;
use std::{sync::Arc, time::Duration};

/// Far below the calls' deadline of 8 s, far above what a busy machine needs.
const FAST: Duration = Duration::from_secs(4);

/// One target, and a relay in front of its node.
fn relayed(control: &Arc<Control>) -> anyhow::Result<Bench> {
    let advertise = free_address()?;
    let instance = Spec {
        advertise: Some(advertise),
        ..RESERVAS
    };
    mesh_with(&[instance], |mesh| {
        let node = mesh.instances[1].peers;
        Ok(smol::block_on(relay::start(
            advertise,
            node,
            Arc::clone(control),
        ))?)
    })
}

/// Seen to fail with `Exchange::settle` that gives up without a query, which is the naive baseline,
/// and with `SILENCE_LIMIT` at 70 s.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn every_call_on_a_silent_connection_is_settled_over_a_new_one(
    #[case] path: &str,
) -> anyhow::Result<()> {
    let control = Arc::new(Control::default());
    let mesh = relayed(&control)?;
    smol::block_on(async {
        slow_down(&mesh, 10).await?;
        // What piles up in the silence fits into the slots.
        let options = Options {
            rate: 25.0,
            ..calls(&mesh, path)
        };
        let swallowing = async {
            control.swallow_open_connections();
            Ok(())
        };
        let (report, ()) = run_with(&mesh, &options, swallowing).await?;
        check(&mesh, &report)?;
        check_answered(&report)?;
        assert!(slowest(&report)? < FAST, "{}", report.summary());
        Ok(())
    })
}
