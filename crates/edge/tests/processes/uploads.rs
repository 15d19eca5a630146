//! Large bodies of callers' requests.

use std::{net::SocketAddr, time::Duration};

use jasminestage_platform_standin::{
    backend::Backend,
    caller::request_once,
    fleet::{self, API_KEY, Host, HostSetup},
    store::Store,
};
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{BINARY, eventually};

/// Memory of the host in MB; 40% of it is for bodies of requests, of which large ones get 75%.
const MEMORY_MB: u32 = 200;
/// Size of an upload, which is within the limit on one body and of which two do not fit into the
/// memory.
const UPLOAD_BYTES: usize = 40_000_000;
/// Limit on one body in the configuration.
const MAX_BODY_BYTES: usize = 50_000_000;
/// Uploads at the same time.
const UPLOADS: usize = 8;
/// Size of the parts of an upload.
static PART: [u8; 64 * 1024] = [b'x'; 64 * 1024];

/// Starts a host with little memory and two servers per service.
async fn start() -> (Store, Vec<Backend>, Host) {
    let store = Store::start().await;
    let mut config = fleet::sample_config(1, &[API_KEY]);
    let resources = config["resources"].as_array_mut().expect("a list");
    let limits = resources.iter_mut().find(|r| r["resource-kind"] == "limits").expect("limits");
    limits["spec"]["max-body-bytes"] = json!(MAX_BODY_BYTES);
    store.put("op/config", &config);
    let mut servers = Vec::new();
    for service in ["lookup", "booking"] {
        for n in 1..=2 {
            let id = format!("{service}-{n}");
            servers.push(Backend::start(&store, &id, service, "a1").await);
        }
    }
    let setup = HostSetup { memory_mb: MEMORY_MB, ..HostSetup::default() };
    let host = Host::start_with(BINARY, "host-0", "a1", store.address, &setup);
    host.wait_until_ready().await;
    (store, servers, host)
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /book/x HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: {id}\r\n\
         authorization: Token {API_KEY}\r\n{framing}\r\n\r\n"
    )
}

/// Sends a body and returns the status of the response; `None` if the connection ends without one.
async fn upload(to: SocketAddr, id: &str, is_chunked: bool) -> Option<u16> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {UPLOAD_BYTES}"),
    };
    stream.write_all(head(id, &framing).as_bytes()).await.ok()?;
    let (mut from_host, mut to_host) = stream.split();
    let send = async {
        let mut left = UPLOAD_BYTES;
        while left > 0 {
            let part = &PART[..left.min(PART.len())];
            if is_chunked {
                to_host.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
            }
            to_host.write_all(part).await?;
            if is_chunked {
                to_host.write_all(b"\r\n").await?;
            }
            left -= part.len();
        }
        if is_chunked { to_host.write_all(b"0\r\n\r\n").await } else { Ok(()) }
    };
    let receive = async {
        let mut response = Vec::new();
        while !response.windows(4).any(|w| w == b"\r\n\r\n") {
            if from_host.read_buf(&mut response).await.ok()? == 0 {
                return None;
            }
        }
        let text = String::from_utf8_lossy(&response);
        let is_refusal = text.starts_with("HTTP/1.1 503");
        assert!(!is_refusal || text.to_lowercase().contains("retry-after:"), "{text}");
        text.split(' ').nth(1)?.parse().ok()
    };
    // The host may answer before it has read the whole body.
    let (_, status) = tokio::join!(send, receive);
    status
}

struct Case {
    is_chunked: bool,
}

/// Fails if uploads that are each within the limit exhaust the memory of the host together, if none of
/// them is served, or if small requests of other callers are not served meanwhile.
#[test_case(&Case { is_chunked: false }; "announced lengths")]
#[test_case(&Case { is_chunked: true }; "chunks")]
fn uploads_stay_within_the_memory(case: &Case) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (_store, servers, host) = start().await;
        let (callers, is_chunked) = (host.caller_address, case.is_chunked);
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|n| {
                tokio::spawn(async move { upload(callers, &format!("u{n}"), is_chunked).await })
            })
            .collect();
        let (mut peak, mut small) = (0, 0);
        while !uploads.iter().all(tokio::task::JoinHandle::is_finished) {
            peak = peak.max(host.resident_bytes().expect("the host runs"));
            small += 1;
            let id = format!("small-{small}");
            let answer = request_once(callers, "/book/x", &id, API_KEY).await.expect("an answer");
            assert!(answer.is_complete(&id), "{answer:?}");
        }
        let limit = u64::from(MEMORY_MB) * 1_000_000;
        assert!(peak < limit, "the host used {peak} bytes");
        let mut statuses = Vec::new();
        for (n, upload) in uploads.into_iter().enumerate() {
            let status = upload.await.expect("the upload ends");
            let id = format!("u{n}");
            let runs = servers.iter().filter(|s| s.executed_requests().contains_key(&id)).count();
            assert!(status == Some(200) || runs == 0, "{id} ran and its caller got {status:?}");
            statuses.push(status);
        }
        assert!(small > 0);
        assert!(statuses.contains(&Some(200)), "{statuses:?}");
    });
}

/// Fails if a caller that announces a large body and does not send it keeps the memory for longer than
/// its request may take.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_does_not_come_gives_its_memory_back() {
    let (_store, _servers, host) = start().await;
    let mut idle = TcpStream::connect(host.caller_address).await.expect("the host listens");
    let announced = head("idle", &format!("content-length: {UPLOAD_BYTES}"));
    idle.write_all(announced.as_bytes()).await.expect("the head is sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_ne!(upload(host.caller_address, "early", false).await, Some(200));
    let mut n = 0;
    // The timeout of the route is 1.5 s.
    let is_served = eventually(Duration::from_secs(3), async || {
        n += 1;
        upload(host.caller_address, &format!("late-{n}"), false).await == Some(200)
    });
    assert!(is_served.await);
}
