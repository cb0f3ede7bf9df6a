//! The size of datagrams on quotas.

use fulmarreel_wire::{
    PROTOCOL,
    notice::{
        Datagram, MAX_DATAGRAM_BYTES, MAX_QUOTA_DEMANDS, Notice, QuotaAnswer, QuotaDemand,
        QuotaGrant, QuotaReport,
    },
};

/// Fails if a report, or the answer to it, can be larger than a datagram.
#[test]
fn reports_and_answers_fit_a_datagram() -> Result<(), Box<dyn std::error::Error>> {
    let demand = QuotaDemand {
        account: u64::MAX,
        rate_milli: u64::MAX,
        wanted: u32::MAX,
        ahead: u32::MAX,
        returned: u32::MAX,
        applied: u32::MAX,
        held_rate_milli: u64::MAX,
        held_bucket: u32::MAX,
        held_ms: u32::MAX,
    };
    let grant = QuotaGrant {
        account: u64::MAX,
        rate_milli: u64::MAX,
        bucket: u32::MAX,
        tokens: u32::MAX,
        wanted: u32::MAX,
        missing: u32::MAX,
        of_rate_milli: u64::MAX,
        of_capacity: u32::MAX,
    };
    let (boot, sequence, sent_ms) = (u64::MAX, u32::MAX, u64::MAX);
    let report = Notice::QuotaReport(QuotaReport {
        boot,
        sequence,
        sent_ms,
        never_granted: true,
        demands: vec![demand; MAX_QUOTA_DEMANDS],
    });
    let answer = Notice::QuotaAnswer(QuotaAnswer {
        boot,
        sequence,
        sent_ms,
        grants: vec![grant; MAX_QUOTA_DEMANDS],
    });
    for notice in [report, answer] {
        let from = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse()?;
        let datagram = Datagram {
            protocol: PROTOCOL,
            from,
            notice,
        };
        let bytes = datagram.encode()?;
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(Datagram::decode(&bytes)?, datagram);
    }
    Ok(())
}
