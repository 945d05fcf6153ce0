//! Statuses that answer a request.

/// A status that is not that of a final answer. Whether the request has run is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("status {0:03} is no answer")]
pub struct NoAnswer(pub u16);

/// Fails unless a status is that of a final answer. Below 200 more is to follow on the
/// connection, 101 changes its protocol, which no hop asks for, and HTTP defines no class
/// outside 100 to 599 (RFC 9110, section 15).
pub fn require_final(status: u16) -> Result<(), NoAnswer> {
    if (200..=599).contains(&status) {
        return Ok(());
    }
    metrics::counter!("ibiscove_odd_statuses_total").increment(1);
    Err(NoAnswer(status))
}

/// Length of a status line up to its status.
const STATUS_END: usize = "HTTP/1.1 200".len();
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The interim status by which a server asks for the body of the request.
const CONTINUE: u16 = 100;

/// Finds the status of each answer in the bytes of a connection, for a parser that does
/// not survive all of them.
#[derive(Debug, Default)]
pub struct StatusWatch {
    state: WatchState,
}

#[derive(Debug, Default)]
enum WatchState {
    /// The rest of an answer, or no answer is awaited.
    #[default]
    Idle,
    /// A status line, of which this much has been read.
    StatusLine { line: [u8; STATUS_END], len: usize },
    /// The head of an interim answer, with the number of bytes of its end.
    Interim { matched: usize },
}

impl StatusWatch {
    /// Expects an answer next, because a request was written.
    pub fn expect_answer(&mut self) {
        self.state = WatchState::StatusLine {
            line: [0; STATUS_END],
            len: 0,
        };
    }

    /// Reads bytes of the connection. Returns the status of the final answer if it is
    /// among them, and fails if that is none.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<u16>, NoAnswer> {
        for byte in bytes {
            match &mut self.state {
                WatchState::Idle => return Ok(None),
                WatchState::Interim { matched } => {
                    *matched = match *byte == HEAD_END[*matched] {
                        true => *matched + 1,
                        false => usize::from(*byte == HEAD_END[0]),
                    };
                    if *matched == HEAD_END.len() {
                        self.expect_answer();
                    }
                }
                // Parsers skip empty lines before an answer.
                WatchState::StatusLine { len: 0, .. } if matches!(byte, b'\r' | b'\n') => {}
                WatchState::StatusLine { line, len } => {
                    line[*len] = *byte;
                    *len += 1;
                    if *len < STATUS_END {
                        continue;
                    }
                    // What is no status line at all is left to the parser.
                    let status = parse_status(line);
                    self.state = match status {
                        Some(CONTINUE) => WatchState::Interim { matched: 0 },
                        _ => WatchState::Idle,
                    };
                    if let Some(status) = status.filter(|status| *status != CONTINUE) {
                        require_final(status)?;
                        return Ok(Some(status));
                    }
                }
            }
        }
        Ok(None)
    }
}

fn parse_status(line: &[u8; STATUS_END]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let digits = rest.get(2..)?;
    let is_numeric = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok()?;
    is_numeric.then(|| text.parse().ok()).flatten()
}
