//! How verdicts and the states of rollouts spread between nodes, which all run in the test process.

use anyhow::{Context, ensure};
use fulmarreel_distribution::Verdict;
use fulmarreel_node::{gossip, peer::stream, runtime, settings, state::State, sync};
use fulmarreel_testing::process::{Fleet, eventually, free_address};
use smol::net::TcpListener;
use std::{net::SocketAddr, sync::Arc};

/// Starts a node's gossip and synchronisation; it serves no calls.
fn start_node(store: SocketAddr, zone: &str, seeds: &[SocketAddr]) -> anyhow::Result<Arc<State>> {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = serde_json::json!({
        "zone": zone,
        "region": "altiplano",
        "callers": { "bind": free_address()?.to_string() },
        "peers": { "bind": free_address()?.to_string() },
        "admin": { "bind": free_address()?.to_string() },
        "target": free_address()?.to_string(),
        "store": [store.to_string()],
        "seeds": seeds,
    });
    let settings = settings::parse(&text.to_string())?;
    let state = Arc::new(State::new(settings));
    runtime::spawn(accept_peers(Arc::clone(&state)));
    let gossiping = Arc::clone(&state);
    runtime::spawn(async move { gossip::run(gossiping).await.expect("peers' address") });
    runtime::spawn(sync::run(Arc::clone(&state)));
    Ok(state)
}

/// Accepts peers' connections for synchronisation.
async fn accept_peers(state: Arc<State>) {
    let listener = TcpListener::bind(state.settings.peers).await;
    let listener = listener.expect("peers' address");
    while let Ok((mut tcp, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        runtime::spawn(async move {
            if let Ok(hello) = stream::read(&mut tcp).await {
                // The node that opened a connection handles its failure.
                let _ = sync::accept(&state, tcp, &hello).await;
            }
        });
    }
}

/// Waits until a node has the state of a rollout at a revision, and all four members' records.
async fn wait_for_rollout(state: &State, service: &str, revision: u64) -> anyhow::Result<()> {
    eventually(|| async move {
        let published = state.published_rollout(service).context("no move")?;
        ensure!(published.revision == revision, "{published:?}");
        ensure!(state.records().len() == 4, "{:?}", state.records());
        Ok(())
    })
    .await
}

/// Verified to fail when nodes don't apply rollout states from the store, when they accept
/// malformed ones, and when verdicts are neither sent to peers at once nor exchanged in
/// comparisons; either of these two ways alone is enough.
#[test]
fn verdicts_spread_without_the_store_and_moves_with_it() -> anyhow::Result<()> {
    runtime::init();
    runtime::block_on(async {
        let fleet = Fleet::prepare(&[], 0)?;
        let first = start_node(fleet.store_address, "alt-apizaco", &[])?;
        let seed = [first.settings.advertise];
        let mut states = vec![Arc::clone(&first)];
        for zone in ["alt-apizaco", "alt-huamantla", "alt-huamantla"] {
            states.push(start_node(fleet.store_address, zone, &seed)?);
        }
        let reservas = "fulmarreel/moves/reservas";
        let revision = fleet.put(reservas, r#"{ "step": 1 }"#).await?;
        for state in &states {
            wait_for_rollout(state, "reservas", revision).await?;
        }
        // Malformed: the earlier state stays.
        fleet.put(reservas, "{ \"step\": ").await?;
        let later = "fulmarreel/moves/parcelas";
        let later = fleet.put(later, r#"{ "step": 2 }"#).await?;
        for state in &states {
            wait_for_rollout(state, "parcelas", later).await?;
            wait_for_rollout(state, "reservas", revision).await?;
        }
        fleet
            .set_faults(&serde_json::json!({ "down": true }))
            .await?;
        let verdict = Verdict {
            service: "reservas".to_owned(),
            revision: 7,
            version: "v2".to_owned(),
        };
        ensure!(states[3].take_back(&verdict));
        ensure!(
            !states[3].take_back(&verdict),
            "the verdict was accepted twice"
        );
        let (verdict, peer) = (&verdict, &states[2].settings.advertise);
        for state in &states {
            eventually(|| async move {
                ensure!(
                    state.is_taken_back(verdict),
                    "{} has no verdict",
                    state.settings.advertise
                );
                Ok(())
            })
            .await?;
        }
        // A node that starts later gets the verdict from its peers.
        let late = &start_node(fleet.store_address, "alt-apizaco", &[*peer])?;
        eventually(|| async move {
            ensure!(late.is_taken_back(verdict), "the late node has no verdict");
            Ok(())
        })
        .await
    })
}
