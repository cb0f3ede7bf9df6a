//! A good version takes over by its deadline, and a bad one is taken back.

use super::support::{
    answered_by, document, fail_targets, now, start, start_calls, store_client, wait_for,
    wait_ready,
};
use anyhow::ensure;
use fulmarreel_rollout::state::Phase;
use std::time::Duration;

/// Fails if the evidence doesn't reach the rollout's owner; verified with zones that send it no
/// reports.
#[test]
fn a_good_version_has_all_traffic_by_its_deadline() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        wait_ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = start_calls(&mesh, Duration::from_secs(75));
        let store = store_client(&mesh);
        let end = wait_for(&store, Duration::from_secs(75), |state| state.is_final()).await?;
        ensure!(end.phase == Phase::Completed, "{end:?}");
        let moved_at = end.moved_at;
        ensure!(moved_at.is_some_and(|moved| moved <= now()), "{end:?}");
        let report = calls.await;
        ensure!(
            answered_by(&report, "v2") > answered_by(&report, "v1") / 4,
            "{}",
            report.summary()
        );
        Ok(())
    })
}

/// Fails if no verdict is reached; verified with an owner that neither applies its verdict nor
/// spreads it.
#[test]
fn a_bad_version_is_taken_back_with_few_calls_harmed() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        wait_ready(&mesh).await?;
        fail_targets(&mesh, &[2, 3]).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = start_calls(&mesh, Duration::from_secs(40));
        let store = store_client(&mesh);
        let end = wait_for(&store, Duration::from_secs(40), |state| state.is_final()).await?;
        ensure!(end.phase == Phase::TakenBack, "{end:?}");
        let report = calls.await;
        let harmed = report.records.iter().filter(|record| record.status == 500);
        let harmed = harmed.count();
        ensure!(harmed > 0 && harmed <= 40, "{harmed} calls were harmed");
        Ok(())
    })
}
