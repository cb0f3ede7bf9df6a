//! Sound answers in all the forms that RFC 9112 allows.

/// A sound answer.
#[derive(Debug, Clone)]
pub struct Sound {
    /// Names the form.
    pub name: &'static str,
    /// The answer, head and body.
    pub bytes: Vec<u8>,
    /// Whether the end of the connection ends the body.
    pub ends_by_close: bool,
}

/// Heads of answers whose body ends by its length, `$N`.
const WITH_LENGTH: &[(&str, &str)] = &[
    ("length", "HTTP/1.1 200 OK\r\n$FContent-Length: $N"),
    (
        "padded length",
        "HTTP/1.1 200 OK\r\n$FContent-Length: 000$N",
    ),
    (
        "blanks around a length",
        "HTTP/1.1 200 OK\r\n$FContent-Length: \t $N \t",
    ),
    ("lower-case names", "HTTP/1.1 200 OK\r\n$Fcontent-length:$N"),
    (
        "HTTP/1.0 with a length",
        "HTTP/1.0 200 OK\r\n$FContent-Length: $N",
    ),
    ("empty reason", "HTTP/1.1 200 \r\n$FContent-Length: $N"),
    (
        "reason above ASCII",
        "HTTP/1.1 200 Tr\u{e8}s bien\r\n$FContent-Length: $N",
    ),
    (
        "all characters of a name",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n$FContent-Length: $N",
    ),
    (
        "empty value",
        "HTTP/1.1 200 OK\r\nX:\r\n$FContent-Length: $N",
    ),
    (
        "tab and bytes above ASCII in a value",
        "HTTP/1.1 200 OK\r\nX: a\tb \u{e9}\r\n$FContent-Length: $N",
    ),
    (
        "interim answers before",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
        HTTP/1.1 200 OK\r\n$FContent-Length: $N",
    ),
    (
        "closing connection",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n$FContent-Length: $N",
    ),
];

/// Chunked bodies; `$N` stands for the size of `$B`, the body.
const CHUNKED: &[(&str, &str)] = &[
    ("chunk", "$N\r\n$B\r\n0\r\n\r\n"),
    ("padded size", "00$N\r\n$B\r\n000\r\n\r\n"),
    ("extensions", "$N;a;b=c;d=\"e f\"\r\n$B\r\n0;g\r\n\r\n"),
    (
        "blanks around an extension",
        "$N ; a = b\r\n$B\r\n0\r\n\r\n",
    ),
    ("trailers", "$N\r\n$B\r\n0\r\nX: y\r\nZ:\r\n\r\n"),
    (
        "long trailer",
        "$N\r\n$B\r\n0\r\nX: a trailer of over 256 bytes .................................\
        ..........................................................................................\
        ..........................................................................................\
        ..........................................................................................\
        \r\n\r\n",
    ),
];

/// Heads of answers whose body ends with the connection.
const UNTIL_CLOSE: &[(&str, &str)] = &[
    ("no length", "HTTP/1.1 200 OK\r\n$F"),
    (
        "no length and a close",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n$F",
    ),
    ("HTTP/1.0", "HTTP/1.0 200 OK\r\n$F"),
];

/// Sound answers with `fields`, lines with their ends, and `body`.
pub fn sound(fields: &str, body: &str) -> Vec<Sound> {
    let fill = |text: &str, size: &str| {
        let text = text.replace("$F", fields).replace("$N", size);
        text.replace("$B", body)
    };
    let decimal = body.len().to_string();
    let with_length = WITH_LENGTH.iter().map(|(name, head)| Sound {
        name,
        bytes: format!("{}\r\n\r\n{body}", fill(head, &decimal)).into_bytes(),
        ends_by_close: false,
    });
    let hexadecimal = format!("{:X}", body.len());
    let chunked = CHUNKED.iter().map(|(name, chunks)| Sound {
        name,
        bytes: format!(
            "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: Chunked\r\n\r\n{}",
            fill(chunks, &hexadecimal)
        )
        .into_bytes(),
        ends_by_close: false,
    });
    let until_close = UNTIL_CLOSE.iter().map(|(name, head)| Sound {
        name,
        bytes: format!("{}\r\n{body}", fill(head, "")).into_bytes(),
        ends_by_close: true,
    });
    with_length.chain(chunked).chain(until_close).collect()
}
