//! Calls to faulty backend servers. Guards against two failures: a request that may have been sent
//! is reported as not sent (only a failed connect proves that), and the HTTP client retries a
//! request on its own after the server has closed an idle connection.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jasminestage_core::traffic::Outcome;
use jasminestage_daemon::front::backend::{BackendCall, BackendClient};
use salvo::http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Number of times that each body was received.
type Received = Arc<Mutex<HashMap<String, u32>>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// The port is closed.
    NotListening,
    /// The connection is closed before anything is read.
    ClosesUnread,
    /// The connection is closed after the request is read.
    ClosesRead,
    /// The request is read and not answered.
    NoResponse,
    /// The response is shorter than its content length.
    Truncated,
    /// The response has the id of another request.
    Mismatched,
    /// A complete response.
    Responds,
    /// A complete response with this status line.
    StatusLine(&'static str),
    /// The body of a response without a head, as in HTTP/0.9; the connection is closed after it.
    BodyOnly,
    /// A complete response, after which the connection is closed without a `connection: close` header.
    RespondsThenCloses,
}

async fn start_backend(behaviour: Behaviour) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    let received_bodies = Received::default();
    if behaviour != Behaviour::NotListening {
        let received_bodies = Arc::clone(&received_bodies);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, behaviour, Arc::clone(&received_bodies)));
            }
        });
    }
    (address, received_bodies)
}

async fn serve(
    mut stream: TcpStream,
    behaviour: Behaviour,
    received_bodies: Received,
) -> Option<()> {
    if behaviour == Behaviour::ClosesUnread {
        return None;
    }
    loop {
        let (id, body) = read_request(&mut stream).await?;
        *received_bodies
            .lock()
            .expect("no task panics while it holds the lock")
            .entry(body)
            .or_default() += 1;
        let (id, length) = match behaviour {
            Behaviour::ClosesRead => return None,
            Behaviour::NoResponse => std::future::pending().await,
            Behaviour::Truncated => (id, 100),
            Behaviour::Mismatched => ("another".to_owned(), 2),
            _ => (id, 2),
        };
        let line = match behaviour {
            Behaviour::StatusLine(line) => line,
            _ => "HTTP/1.1 200 OK",
        };
        if behaviour == Behaviour::BodyOnly {
            stream.write_all(b"ok").await.ok()?;
            return None;
        }
        let head = format!("{line}\r\nx-request-id: {id}\r\ncontent-length: {length}");
        stream.write_all(format!("{head}\r\n\r\nok").as_bytes()).await.ok()?;
        if matches!(behaviour, Behaviour::Truncated | Behaviour::RespondsThenCloses) {
            return None;
        }
    }
}

/// Reads a request; returns its id and its body.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| {
                let line = head.lines().find(|l| l.to_lowercase().starts_with(name))?;
                line.split_once(':').map(|(_, value)| value.trim().to_owned())
            };
            let length: usize = field("content-length")?.parse().ok()?;
            if body.len() >= length {
                return Some((field("x-request-id")?, body.to_owned()));
            }
        }
        match stream.read(&mut buf).await.ok()? {
            0 => return None,
            len => bytes.extend_from_slice(&buf[..len]),
        }
    }
}

fn call(body: String, at_most_once: bool) -> BackendCall {
    BackendCall {
        method: Method::POST,
        path_and_query: "/a".to_owned(),
        headers: HeaderMap::new(),
        body: body.into(),
        at_most_once,
    }
}

struct Case {
    name: &'static str,
    behaviour: Behaviour,
    outcome: Result<u16, Outcome>,
    received: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "no connection",
        behaviour: Behaviour::NotListening,
        outcome: Err(Outcome::ConnectFailed),
        received: 0,
    },
    Case {
        name: "closed before the request is read",
        behaviour: Behaviour::ClosesUnread,
        outcome: Err(Outcome::ConnectionLost),
        received: 0,
    },
    Case {
        name: "closed after the request is read",
        behaviour: Behaviour::ClosesRead,
        outcome: Err(Outcome::ConnectionLost),
        received: 1,
    },
    Case {
        name: "no response",
        behaviour: Behaviour::NoResponse,
        outcome: Err(Outcome::TimedOut),
        received: 1,
    },
    Case {
        name: "truncated",
        behaviour: Behaviour::Truncated,
        outcome: Err(Outcome::BadAnswer),
        received: 1,
    },
    Case {
        name: "mismatched",
        behaviour: Behaviour::Mismatched,
        outcome: Err(Outcome::BadAnswer),
        received: 1,
    },
    Case { name: "complete", behaviour: Behaviour::Responds, outcome: Ok(200), received: 1 },
];

#[tokio::test]
async fn each_failure_of_a_call_has_its_own_outcome() {
    for case in CASES {
        for at_most_once in [false, true] {
            let (address, received_bodies) = start_backend(case.behaviour).await;
            let backends = BackendClient::default();
            let timeout = Duration::from_millis(300);
            let body = "body".to_owned();
            let answer =
                backends.call(address, &call(body, at_most_once), timeout, at_most_once).await;
            let outcome = answer.map(|reply| reply.status.as_u16());
            assert_eq!(outcome, case.outcome, "{}, at most once: {at_most_once}", case.name);
            let received = received_bodies
                .lock()
                .expect("no task panics while it holds the lock")
                .get("body")
                .copied();
            assert_eq!(received.unwrap_or_default(), case.received, "{}", case.name);
            assert_eq!(
                backends.mismatched_replies(),
                u64::from(case.behaviour == Behaviour::Mismatched)
            );
        }
    }
}

#[tokio::test]
async fn a_request_on_a_stale_connection_is_not_sent_twice() {
    for at_most_once in [false, true] {
        let (address, received_bodies) = start_backend(Behaviour::RespondsThenCloses).await;
        let backends = BackendClient::default();
        let mut lost = 0;
        for n in 0..300 {
            let body = format!("body {n}");
            let timeout = Duration::from_secs(2);
            let answer =
                backends.call(address, &call(body, at_most_once), timeout, at_most_once).await;
            lost += u32::from(answer.is_err());
            if n % 3 == 0 {
                tokio::task::yield_now().await;
            }
        }
        let received_bodies =
            received_bodies.lock().expect("no task panics while it holds the lock");
        println!(
            "at most once: {at_most_once}, {lost} of 300 lost, {} received",
            received_bodies.len()
        );
        assert!(
            received_bodies.values().all(|count| *count == 1),
            "each body arrives once: {received_bodies:?}"
        );
        assert!(!at_most_once || lost == 0, "a new connection loses none");
    }
}

struct StatusCase {
    name: &'static str,
    behaviour: Behaviour,
    outcome: Result<u16, Outcome>,
}

const fn status_line(line: &'static str, outcome: Result<u16, Outcome>) -> StatusCase {
    StatusCase { name: line, behaviour: Behaviour::StatusLine(line), outcome }
}

const STATUS_CASES: &[StatusCase] = &[
    status_line("HTTP/1.1 000 Zero", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 00 Zero", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 099 Low", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 101 Switching Protocols", Err(Outcome::BadAnswer)),
    status_line(
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other",
        Err(Outcome::BadAnswer),
    ),
    status_line("HTTP/1.1 199 Interim", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 600 High", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 999 High", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 2000 OK", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1 abc OK", Err(Outcome::BadAnswer)),
    status_line("HTTP/1.1", Err(Outcome::BadAnswer)),
    status_line("HTTP/2.0 200 OK", Err(Outcome::BadAnswer)),
    StatusCase {
        name: "HTTP/0.9",
        behaviour: Behaviour::BodyOnly,
        outcome: Err(Outcome::BadAnswer),
    },
    status_line("HTTP/1.1 200", Ok(200)),
    status_line("HTTP/1.1 200 ", Ok(200)),
    status_line("HTTP/1.0 200 OK", Ok(200)),
    status_line("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK", Ok(200)),
    status_line("HTTP/1.1 299 Other", Ok(299)),
    status_line("HTTP/1.1 404 Not Found", Ok(404)),
    status_line("HTTP/1.1 503 Busy", Ok(503)),
    status_line("HTTP/1.1 599 Other", Ok(599)),
];

/// Guards against an invalid status that is passed on to the caller, and against one that counts as a
/// lost connection: requests that often lose connections are taken for requests that crash servers.
#[tokio::test]
async fn an_invalid_status_is_a_bad_answer() {
    let mut wrong = Vec::new();
    for case in STATUS_CASES {
        for at_most_once in [false, true] {
            let (address, received_bodies) = start_backend(case.behaviour).await;
            let backends = BackendClient::default();
            let call = call("body".to_owned(), at_most_once);
            let answer = backends.call(address, &call, Duration::from_secs(2), at_most_once).await;
            let outcome = answer.map(|reply| reply.status.as_u16());
            if outcome != case.outcome {
                wrong.push((case.name, at_most_once, outcome));
            }
            let received = received_bodies.lock().expect("no task panics while it holds the lock");
            assert_eq!(received.get("body"), Some(&1), "{}", case.name);
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
