//! Reads `Retry-After` (RFC 9110, section 10.2.3), extended by fractions of a second.

use std::time::{Duration, SystemTime};

use http::{HeaderMap, header};

/// The longest delay in the headers, `Err` with the first value if none can be parsed, `None` if there is none.
pub fn read(headers: &HeaderMap) -> Option<Result<Duration, &[u8]>> {
    let sent = headers.get(header::DATE).and_then(|date| date.to_str().ok());
    let sent = sent.and_then(|date| httpdate::parse_http_date(date).ok());
    let values = headers.get_all(header::RETRY_AFTER);
    let delays = values.iter().filter_map(|value| delay(value.to_str().ok()?.trim(), sent));
    match delays.max() {
        Some(longest) => Some(Ok(longest)),
        None => values.iter().next().map(|value| Err(value.as_bytes())),
    }
}

/// Parses a delay in seconds or a date. A date is relative to the `Date` of the response, since the clocks of both
/// sides may differ.
fn delay(text: &str, sent: Option<SystemTime>) -> Option<Duration> {
    match text.parse::<f64>() {
        Ok(seconds) => Duration::try_from_secs_f64(seconds).ok(),
        Err(_) => {
            let until = httpdate::parse_http_date(text).ok()?;
            Some(until.duration_since(sent.unwrap_or_else(SystemTime::now)).unwrap_or_default())
        }
    }
}
