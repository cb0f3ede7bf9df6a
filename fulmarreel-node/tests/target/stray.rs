//! A target that writes an earlier response once more on a kept connection.

use crate::support::{call, run};
use anyhow::ensure;
use fulmarreel_node::target::Client;
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{io, net::SocketAddr, time::Duration};

/// Calls that the client makes one after the other.
const CALLS: u64 = 8;

/// Time between two calls, longer than [`STRAY_DELAY`].
const PAUSE: Duration = Duration::from_millis(40);

/// How long after its response a copy is sent.
const STRAY_DELAY: Duration = Duration::from_millis(15);

/// When the copy of a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Timing {
    /// Right behind the response.
    BehindResponse,
    /// While the connection is idle.
    Idle,
    /// Once the next request has arrived, before its response.
    BeforeResponse,
}

/// Starts a target that responds to `/N` with the body `N`.
async fn start_target(timing: Timing) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            smol::spawn(async move { serve(tcp, timing).await.ok() }).detach();
        }
    })
    .detach();
    Ok(address)
}

async fn serve(mut tcp: TcpStream, timing: Timing) -> io::Result<()> {
    let mut last: Option<String> = None;
    loop {
        let mut buffer = [0; 4_096];
        let read = tcp.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let request = String::from_utf8_lossy(&buffer[..read]);
        let number = request.split(['/', ' ']).nth(2).unwrap_or_default();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{number}");
        if let (Some(last), Timing::BeforeResponse) = (&last, timing) {
            tcp.write_all(last.as_bytes()).await?;
        }
        tcp.write_all(response.as_bytes()).await?;
        match timing {
            Timing::BehindResponse => tcp.write_all(response.as_bytes()).await?,
            Timing::Idle => {
                Timer::after(STRAY_DELAY).await;
                tcp.write_all(response.as_bytes()).await?;
            }
            Timing::BeforeResponse => {}
        }
        last = Some(response);
    }
}

/// Fails if a call gets the copy of an earlier call's response.
#[rstest]
fn a_copy_of_an_earlier_response_answers_no_call(
    #[values(Timing::BehindResponse, Timing::Idle, Timing::BeforeResponse)] timing: Timing,
) -> anyhow::Result<()> {
    run(async {
        let client = Client::new(start_target(timing).await?);
        for number in 0..CALLS {
            let mut response = call(&client, number).await?;
            let mut text = String::new();
            response.body.read_to_string(&mut text).await?;
            ensure!(text == number.to_string(), "{number}: {text:?}");
            Timer::after(PAUSE).await;
        }
        Ok(())
    })
}
