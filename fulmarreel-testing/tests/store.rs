//! Tests of the fake store's own HTTP interface, `/counts` and `/faults`.

use fulmarreel_testing::store::FakeEtcd;
use rstest::rstest;
use serde_json::{Value, json};
use trillium_client::{Client, Error};
use trillium_smol::ClientConfig;

async fn post(store: &FakeEtcd, path: &str, body: &Value) -> Result<(u16, Value), Error> {
    let url = format!("http://{}{path}", store.address());
    let client = Client::new(ClientConfig::new()).without_keepalive();
    let mut conn = client.post(url).with_body(body.to_string()).await?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn.response_body().read_string().await?;
    Ok((status, serde_json::from_str(&text).unwrap()))
}

async fn start_store() -> FakeEtcd {
    FakeEtcd::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

#[test]
fn calls_are_counted_by_kind() {
    smol::block_on(async {
        let store = start_store().await;
        for path in [
            "/v3/kv/put",
            "/v3/kv/range",
            "/v3/kv/range",
            "/v3/lease/grant",
        ] {
            assert_eq!(
                post(&store, path, &json!({"key": "YQ=="})).await.unwrap().0,
                200
            );
        }
        let (_, counts) = post(&store, "/counts", &json!({})).await.unwrap();
        assert_eq!(
            counts,
            json!({"grant": 1, "open_watches": 0, "put": 1, "range": 2})
        );
    });
}

#[test]
fn faults_can_be_replaced_while_the_store_is_down() {
    smol::block_on(async {
        let store = start_store().await;
        let key = json!({"key": "YQ=="});
        assert_eq!(
            post(&store, "/faults", &json!({"down": true}))
                .await
                .unwrap()
                .0,
            200
        );
        assert!(post(&store, "/v3/kv/put", &key).await.is_err());
        assert_eq!(post(&store, "/faults", &json!({})).await.unwrap().0, 200);
        let (_, answer) = post(&store, "/v3/kv/range", &key).await.unwrap();
        assert_eq!(
            answer.get("kvs"),
            None,
            "a write took effect while the store was down"
        );
    });
}

#[rstest]
#[case::unknown_field(json!({"dwn": true}))]
#[case::wrong_type(json!({"down": 1}))]
fn an_invalid_fault_is_refused(#[case] faults: Value) {
    smol::block_on(async {
        let store = start_store().await;
        assert_eq!(post(&store, "/faults", &faults).await.unwrap().0, 400);
    });
}
