//! Plain services: what is passed on, and what is not.

use http::{HeaderMap, HeaderName};

/// Headers that belong to one connection, or that the router sets itself.
const OWN: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// The headers that are passed on: neither hop-by-hop ones nor those that the router sets.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all("connection");
    let named: Vec<String> = listed
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &HeaderName| {
        !OWN.contains(&name.as_str()) && !named.iter().any(|listed| listed == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_stay_here() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "close, X-Once"),
            ("x-once", "1"),
            ("accept", "a"),
            ("te", "b"),
            ("authorization", "secret"),
            ("x-clinic", "7"),
        ] {
            headers.insert(name, value.parse().unwrap());
        }
        let kept = end_to_end(&headers);
        let mut names: Vec<&str> = kept.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "x-clinic"]);
    }
}
