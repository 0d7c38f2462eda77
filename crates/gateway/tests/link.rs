//! Shedding of connections by a box whose network link is saturated, on a paused clock.

use std::time::Duration;

use gateway::Link;

/// 10 Mbit/s.
const BYTES_PER_S: usize = 1_250_000;

/// Sends traffic at a rate for some seconds; returns for each second whether the link sheds at its end.
async fn send_traffic(link: &Link, bytes_per_s: usize, seconds: u32) -> Vec<bool> {
    let mut is_shedding = Vec::new();
    for _ in 0..seconds {
        for _ in 0..20 {
            link.record_chunk(bytes_per_s / 20);
            tokio::time::advance(Duration::from_millis(50)).await;
        }
        is_shedding.push(link.is_shedding());
    }
    is_shedding
}

#[tokio::test(start_paused = true)]
async fn saturated_link_sheds_until_load_falls_well_below() {
    let link = Link::new(10.0);
    let cases = [
        ("half full", BYTES_PER_S / 2, false),
        ("nearly full", BYTES_PER_S * 9 / 10, true),
        ("half full again", BYTES_PER_S / 2, true),
        ("a fifth", BYTES_PER_S / 5, false),
        ("half full once more", BYTES_PER_S / 2, false),
    ];
    for (what, rate, is_shedding) in cases {
        let seen = send_traffic(&link, rate, 4).await;
        assert_eq!(seen.last(), Some(&is_shedding), "{what}: {seen:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn fast_link_does_not_shed_under_the_same_load() {
    let link = Link::new(200.0);
    assert_eq!(send_traffic(&link, BYTES_PER_S, 5).await, vec![false; 5]);
}

#[tokio::test(start_paused = true)]
async fn one_large_request_does_not_cause_shedding() {
    let link = Link::new(10.0);
    link.record_request(100_000);
    assert!(!link.is_shedding());
}
