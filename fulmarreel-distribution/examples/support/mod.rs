//! Helpers shared by the examples.

/// The route of an index as JSON, about 190 bytes, which differs for each `variant`.
pub fn route(index: usize, variant: usize) -> String {
    let mut random = fastrand::Rng::with_seed((index + variant) as u64);
    let id: String = (0..12).map(|_| random.lowercase()).collect();
    format!(
        concat!(
            r#"{{"id":"route-{}","host":"{}.mesh.example","prefix":"/api/v{}/{}","service":"svc-{}","#,
            r#""timeout_ms":{},"retries":{},"route_kind":"safe","target_latency_s":0.{},"weight":{}}}"#
        ),
        index,
        id,
        random.u8(1..5),
        id,
        random.u16(0..200),
        random.u16(100..5_000),
        random.u8(0..4),
        random.u16(100..999),
        random.u8(1..100),
    )
}
