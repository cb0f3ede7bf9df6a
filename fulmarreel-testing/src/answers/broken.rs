//! Answers that RFC 9112 calls invalid or incomplete, and that a gateway must not pass on.

/// The status line of an answer whose status line is sound.
const OK: &str = "HTTP/1.1 200 OK";

/// Status lines that are none (RFC 9112, section 4; RFC 9110, section 15), or that change the protocol
/// although the client has not asked for it.
const STATUS_LINES: &[(&str, &str)] = &[
    ("status 000", "HTTP/1.1 000 Trouble"),
    ("status 001", "HTTP/1.1 001 Trouble"),
    ("status 099", "HTTP/1.1 099 Trouble"),
    ("status 600", "HTTP/1.1 600 Trouble"),
    ("status 999", "HTTP/1.1 999 Trouble"),
    ("four digits", "HTTP/1.1 2000 OK"),
    ("two digits", "HTTP/1.1 20 OK"),
    ("signed status", "HTTP/1.1 +20 OK"),
    ("blanks in the status", "HTTP/1.1 2 0 0 OK"),
    ("letter in the status", "HTTP/1.1 20O OK"),
    ("no status", "HTTP/1.1 OK"),
    ("no blank after the status", "HTTP/1.1 200OK"),
    ("no blank after the version", "HTTP/1.1200 OK"),
    ("tab after the version", "HTTP/1.1\t200 OK"),
    ("other protocol", "HTTQ/1.1 200 OK"),
    ("lower-case protocol", "http/1.1 200 OK"),
    ("other major version", "HTTP/2.0 200 OK"),
    ("spoilt version", "HTTP/1.x 200 OK"),
    ("blank before the version", " HTTP/1.1 200 OK"),
    ("empty line before the version", "\r\nHTTP/1.1 200 OK"),
    ("NUL in the reason", "HTTP/1.1 200 O\0K"),
    ("control byte in the reason", "HTTP/1.1 200 O\x01K"),
    ("bare CR in the reason", "HTTP/1.1 200 O\rK"),
    ("switched protocols", "HTTP/1.1 101 Switching Protocols"),
    (
        "switched protocols before an answer",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK",
    ),
    (
        "status 000 before an answer",
        "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK",
    ),
];

/// Lines of a head that are no fields (sections 2.2 and 5).
const FIELD_LINES: &[(&str, &str)] = &[
    ("no colon", "garbage"),
    ("length without a colon", "Content-Length 1"),
    ("no name", ": x"),
    ("blank in a name", "X Y: x"),
    ("blank before the colon", "X : x"),
    ("tab before the colon", "X\t: x"),
    ("tab in a name", "X\tY: x"),
    ("NUL in a name", "X\0Y: x"),
    ("control byte in a name", "X\x01Y: x"),
    ("escape in a name", "X\x1bY: x"),
    ("DEL in a name", "X\x7fY: x"),
    ("bare CR in a name", "X\rY: x"),
    ("byte above ASCII in a name", "X\u{e9}Y: x"),
    ("bracket in a name", "X[0]: x"),
    ("quote in a name", "X\"Y: x"),
    ("slash in a name", "X/Y: x"),
    (
        "control byte late in a long name",
        "X-A-Name-Of-Many-Bytes-For-Wide-Registers-\x02: x",
    ),
    (
        "blank late in a long name",
        "X-A-Name-Of-Many-Bytes-For-Wide-Registers Y: x",
    ),
    ("blank before a name", " X: x"),
    ("folded line", "X: x\r\n y"),
    ("NUL in a value", "X: x\0y"),
    ("control byte in a value", "X: x\x01y"),
    ("DEL in a value", "X: x\x7fy"),
    ("bare CR in a value", "X: x\ry"),
];

/// Field lines that tell no length, or several; `$N` stands for the body's true length (section 6.3).
const LENGTHS: &[(&str, &str)] = &[
    ("plus sign", "Content-Length: +$N"),
    ("minus sign", "Content-Length: -$N"),
    ("negative zero", "Content-Length: -0"),
    ("no digits", "Content-Length:"),
    ("word", "Content-Length: two"),
    ("hexadecimal length", "Content-Length: 0x2"),
    ("fraction", "Content-Length: $N.0"),
    ("blank in the length", "Content-Length: $N $N"),
    ("letter behind the length", "Content-Length: $Nb"),
    ("other digits", "Content-Length: \u{662}"),
    ("overflow", "Content-Length: 18446744073709551617"),
    ("list of lengths", "Content-Length: $N, 1"),
    ("two lengths", "Content-Length: $N\r\nContent-Length: 1"),
    (
        "two lengths, one signed",
        "Content-Length: $N\r\nContent-Length: +$N",
    ),
    (
        "blank in the length's name",
        "Content-Length : $N\r\nContent-Length: 1",
    ),
];

/// Field lines of codings that a client that asked for none cannot undo (sections 6.1 and 7).
const CODINGS: &[(&str, &str)] = &[
    ("unknown coding", "Transfer-Encoding: gzip"),
    ("no coding", "Transfer-Encoding:"),
    ("misspelt coding", "Transfer-Encoding: chunke"),
    ("prefixed coding", "Transfer-Encoding: xchunked"),
    ("two codings", "Transfer-Encoding: gzip, chunked"),
    ("chunked not last", "Transfer-Encoding: chunked, gzip"),
    ("chunked twice", "Transfer-Encoding: chunked, chunked"),
    (
        "chunked in two lines",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ),
    (
        "unknown coding in a second line",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
    ),
    (
        "length beside chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
    ),
    (
        "length before chunked",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
    ),
];

/// Chunked bodies that are malformed (section 7.1); `$N` stands for the size of `$B`, the body.
const CHUNKS: &[(&str, &str)] = &[
    ("signed size", "+$N\r\n$B\r\n0\r\n\r\n"),
    ("negative size", "-$N\r\n$B\r\n0\r\n\r\n"),
    ("prefixed size", "0x$N\r\n$B\r\n0\r\n\r\n"),
    ("no size", "\r\n$B\r\n0\r\n\r\n"),
    ("extension without a size", ";x=y\r\n$B\r\n0\r\n\r\n"),
    ("blank before the size", " $N\r\n$B\r\n0\r\n\r\n"),
    ("letter behind the size", "$Nq\r\n$B\r\n0\r\n\r\n"),
    ("word behind the size", "$N bytes\r\n$B\r\n0\r\n\r\n"),
    (
        "size that overflows",
        "10000000000000001\r\n$B\r\n0\r\n\r\n",
    ),
    ("size too small", "1\r\n$B\r\n0\r\n\r\n"),
    ("bare LF behind the size", "$N\n$B\r\n0\r\n\r\n"),
    ("bare LF in an extension", "$N;x\ny\r\n$B\r\n0\r\n\r\n"),
    ("bare CR in an extension", "$N;x\ry\r\n$B\r\n0\r\n\r\n"),
    ("NUL in an extension", "$N;x=\0\r\n$B\r\n0\r\n\r\n"),
    ("no line end behind a chunk", "$N\r\n$B0\r\n\r\n"),
    ("bare LF behind a chunk", "$N\r\n$B\n0\r\n\r\n"),
    ("signed last chunk", "$N\r\n$B\r\n-0\r\n\r\n"),
    (
        "trailer line that is no field",
        "$N\r\n$B\r\n0\r\ngarbage\r\n\r\n",
    ),
    (
        "blank in a trailer's name",
        "$N\r\n$B\r\n0\r\nX Y: x\r\n\r\n",
    ),
    ("trailer without a name", "$N\r\n$B\r\n0\r\n: x\r\n\r\n"),
    (
        "control byte in a trailer's name",
        "$N\r\n$B\r\n0\r\nX\x01: x\r\n\r\n",
    ),
    (
        "control byte in a trailer's value",
        "$N\r\n$B\r\n0\r\nX: \x01\r\n\r\n",
    ),
    ("bare CR in a trailer", "$N\r\n$B\r\n0\r\nX: x\ry\r\n\r\n"),
    ("folded trailer", "$N\r\n$B\r\n0\r\nX: x\r\n y\r\n\r\n"),
    (
        "a further answer for a trailer",
        "$N\r\n$B\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
    ),
    ("no last chunk", "$N\r\n$B\r\n"),
    ("no line end behind the last chunk", "$N\r\n$B\r\n0\r\n"),
    ("trailers without an end", "$N\r\n$B\r\n0\r\nX: x\r\n"),
    ("part of a chunk", "ff\r\n$B"),
];

/// Answers that end before they are whole (section 8); `$N` stands for the body's length, `$F` for fields,
/// `$B` for the body.
const CUT: &[(&str, &str)] = &[
    ("no answer", ""),
    ("part of a head", "HTTP/1.1 200 OK\r\n$F"),
    ("no body", "HTTP/1.1 200 OK\r\n$FContent-Length: $N\r\n\r\n"),
    (
        "part of a body",
        "HTTP/1.1 200 OK\r\n$FContent-Length: 1$N\r\n\r\n$B",
    ),
    ("interim answer alone", "HTTP/1.1 103 Early Hints\r\n$F\r\n"),
];

/// What is broken in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The status line.
    StatusLine,
    /// A line of the head, which is no field.
    Field,
    /// The field that tells the body's length.
    Length,
    /// The field that tells the body's transfer coding.
    Coding,
    /// The chunked body.
    Chunks,
    /// The end, which is missing.
    End,
}

/// A broken answer.
#[derive(Debug, Clone)]
pub struct Broken {
    /// Names what is broken.
    pub name: String,
    /// The answer, head and body.
    pub bytes: Vec<u8>,
}

/// Broken answers of one kind: but for the one fault they hold `fields`, lines with their ends, and `body`.
pub fn broken(fault: Fault, fields: &str, body: &str) -> Vec<Broken> {
    let decimal = body.len().to_string();
    let hexadecimal = format!("{:x}", body.len());
    let length = format!("Content-Length: {decimal}");
    let chunked = format!("{hexadecimal}\r\n{body}\r\n0\r\n\r\n");
    let mut answers = Vec::new();
    let mut add = |name: &str, status_line: &str, lines: &str, body: &str| {
        let (name, head) = (name.to_owned(), format!("{status_line}\r\n{fields}{lines}"));
        let bytes = format!("{head}\r\n\r\n{body}").into_bytes();
        answers.push(Broken { name, bytes });
    };
    match fault {
        Fault::StatusLine => {
            for (name, line) in STATUS_LINES {
                add(name, line, &length, body);
            }
        }
        Fault::Field => {
            for (name, line) in FIELD_LINES {
                add(name, OK, &format!("{line}\r\n{length}"), body);
                let name = format!("{name}, without a length");
                add(&name, OK, line, body);
            }
        }
        Fault::Length => {
            for (name, lines) in LENGTHS {
                add(name, OK, &lines.replace("$N", &decimal), body);
            }
        }
        Fault::Coding => {
            for (name, lines) in CODINGS {
                add(name, OK, lines, &chunked);
            }
            let (status_line, lines) = ("HTTP/1.0 200 OK", "Transfer-Encoding: chunked");
            add("chunked in HTTP/1.0", status_line, lines, &chunked);
        }
        Fault::Chunks => {
            for (name, chunks) in CHUNKS {
                let chunks = chunks.replace("$N", &hexadecimal).replace("$B", body);
                add(name, OK, "Transfer-Encoding: chunked", &chunks);
            }
        }
        Fault::End => {
            let fill = |text: &str| text.replace("$N", &decimal).replace("$F", fields);
            answers.extend(CUT.iter().map(|(name, text)| Broken {
                name: (*name).to_owned(),
                bytes: fill(text).replace("$B", body).into_bytes(),
            }));
        }
    }
    answers
}
