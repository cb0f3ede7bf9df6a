//! A good version takes over by its deadline, and a bad one is taken back.

use super::support::{
    answered_by, call_for, document, fail_targets, now, ready, start, store, wait_for,
};
use anyhow::ensure;
use fulmarreel_rollout::state::Phase;
use std::time::Duration;

/// Fails where evidence is not sent to the owner: seen with `report_zone` sending nothing.
#[test]
fn a_good_version_has_all_traffic_by_its_deadline() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = call_for(&mesh, Duration::from_secs(75));
        let store = store(&mesh);
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

/// Fails where no verdict is reached: seen with the verdict of `owner::tick` neither joined nor
/// spread.
#[test]
fn a_bad_version_is_taken_back_with_few_calls_harmed() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        ready(&mesh).await?;
        fail_targets(&mesh, &[2, 3]).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = call_for(&mesh, Duration::from_secs(40));
        let store = store(&mesh);
        let end = wait_for(&store, Duration::from_secs(40), |state| state.is_final()).await?;
        ensure!(end.phase == Phase::TakenBack, "{end:?}");
        let report = calls.await;
        let harmed = report.records.iter().filter(|record| record.status == 500);
        let harmed = harmed.count();
        ensure!(harmed > 0 && harmed <= 40, "{harmed} calls were harmed");
        Ok(())
    })
}
