//! HTTP exchanges over real TCP connections with a server that sends raw bytes.

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use buckthornwharf_exchange::{
    AnswerFraming, BodyPart, CallClient, CallError, ExchangeError, OutboundCall,
    OutboundConnection, OutboundRequest,
};
use bytes::Bytes;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn get(path_and_query: &str) -> OutboundCall {
    OutboundCall {
        method: Method::GET,
        path_and_query: path_and_query.to_owned(),
        body: Bytes::new(),
        content_type: "",
        head_timeout: Duration::from_secs(20),
        max_answer_bytes: 1 << 20,
    }
}

/// Starts a server that answers each connection with the next of `answers` and closes it.
async fn serve(answers: &[&'static str]) -> CallClient {
    CallClient::new(serve_on(answers).await)
}

async fn serve_on(answers: &[&'static str]) -> SocketAddr {
    let answers = answers.to_vec();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            let mut request = vec![0; 4096];
            let read = stream.read(&mut request).await.expect("the request arrives");
            assert!(read > 0);
            stream.write_all(answer.as_bytes()).await.expect("the client reads");
            stream.shutdown().await.expect("the connection is open");
        }
    });
    address
}

#[actix_rt::test]
async fn answers_of_every_framing_are_read_completely() {
    let client = serve(&[
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ])
    .await;
    for _ in 0..6 {
        let answer = client.call(get("/")).await.expect("the answer is complete");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, "hello");
    }
}

#[actix_rt::test]
async fn a_truncated_answer_is_an_error() {
    let client = serve(&[
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n",
    ])
    .await;
    for _ in 0..2 {
        let failure = client.call(get("/")).await.expect_err("the answer is truncated");
        assert!(matches!(failure, CallError::Failed(ExchangeError::ClosedEarly)), "{failure}");
    }
}

/// Guards against an answer that is cut in its head and taken for one with an empty or short body.
#[actix_rt::test]
async fn an_answer_cut_anywhere_in_its_head_is_an_error() {
    const ANSWERS: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nserver: s\r\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\nserver: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nserver: s\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\n",
    ];
    for answer in ANSWERS {
        for cut_at in 0..answer.len() {
            let client = serve(&[&answer[..cut_at]]).await;
            let failure = client.call(get("/")).await.expect_err("the head is cut");
            let is_cut = matches!(failure, CallError::Failed(ExchangeError::ClosedEarly));
            assert!(is_cut, "{:?}: {failure}", &answer[..cut_at]);
        }
    }
}

#[actix_rt::test]
async fn a_malformed_answer_is_an_error() {
    let client = serve(&["what is this?\r\n\r\n"]).await;
    let failure = client.call(get("/")).await.expect_err("the answer is malformed");
    assert!(matches!(failure, CallError::Failed(ExchangeError::Malformed)), "{failure}");
}

#[actix_rt::test]
async fn the_head_timeout_does_not_limit_the_time_for_the_body() {
    const PARTS: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = vec![0; 4096];
        assert!(stream.read(&mut request).await.expect("the request arrives") > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        for _ in 0..PARTS {
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            stream.write_all(b"x").await.expect("the client still reads");
        }
    });
    let call = OutboundCall { head_timeout: Duration::from_millis(800), ..get("/") };
    let answer = CallClient::new(address).call(call).await.expect("the answer is complete");
    assert_eq!(answer.body.len(), PARTS);
}

#[actix_rt::test]
async fn a_body_that_hardly_progresses_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = vec![0; 4096];
        assert!(stream.read(&mut request).await.expect("the request arrives") > 0);
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        while stream.write_all(b"x").await.is_ok() {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let client = CallClient::new(address);
    let call = tokio::time::timeout(Duration::from_secs(30), client.call(get("/"))).await;
    assert!(matches!(call, Ok(Err(CallError::TimedOut))), "{call:?}");
}

/// Reads the answer to one request with `method`; returns its framing and body.
async fn read_answer(
    method: Method,
    answer: &'static [&'static str],
) -> (AnswerFraming, Vec<BodyPart>) {
    let address = serve_on(answer).await;
    let timeout = Duration::from_secs(20);
    let mut connection = OutboundConnection::open(address, timeout).await.expect("it listens");
    let request = OutboundRequest {
        method,
        uri: "/".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let head = connection.exchange(request).await.expect("an answer");
    let mut parts = Vec::new();
    while parts.last().is_none_or(|part| matches!(part, BodyPart::Data(_))) {
        parts.push(connection.read_body().await.expect("no error"));
    }
    (head.framing, parts)
}

#[actix_rt::test]
async fn an_answer_with_another_transfer_encoding_than_chunked_is_not_taken_as_empty() {
    let answer = &["HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello"];
    let (framing, parts) = read_answer(Method::GET, answer).await;
    assert_eq!(framing, AnswerFraming::UntilClose);
    assert_eq!(parts, [BodyPart::Data("hello".into()), BodyPart::Closed]);
}

#[actix_rt::test]
async fn an_answer_that_has_no_body_ends_with_its_head() {
    for (method, answer) in [
        (Method::HEAD, &["HTTP/1.1 200 OK\r\n\r\n"]),
        (Method::HEAD, &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"]),
        (Method::GET, &["HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"]),
    ] {
        let answered = read_answer(method, answer).await;
        assert_eq!(answered, (AnswerFraming::NoBody, vec![BodyPart::End]));
    }
}

/// Starts a server that answers each request on a connection after `delay`; returns its client and the
/// number of connections accepted.
async fn serve_after(delay: Duration) -> (CallClient, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let accepted = Rc::new(Cell::new(0));
    let counter = accepted.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.set(counter.get() + 1);
            actix_rt::spawn(async move {
                let mut request = vec![0; 4096];
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    actix_rt::time::sleep(delay).await;
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    stream.write_all(answer).await.expect("the client reads");
                }
            });
        }
    });
    (CallClient::new(address), accepted)
}

#[actix_rt::test]
async fn a_connection_that_waited_long_for_an_answer_is_not_reused() {
    for (delay, connections) in [(Duration::ZERO, 1), (Duration::from_millis(4100), 2)] {
        let (client, accepted) = serve_after(delay).await;
        for _ in 0..2 {
            client.call(get("/")).await.expect("an answer");
        }
        assert_eq!(accepted.get(), connections, "{delay:?}");
    }
}

/// Guards against a call that was decided on long before a connection for it is open.
#[actix_rt::test]
async fn a_call_that_is_withdrawn_before_it_is_sent_does_not_reach_the_server() {
    let (client, accepted) = serve_after(Duration::ZERO).await;
    let withdrawn = client.call_if(get("/withdrawn"), || false).await;
    assert!(matches!(withdrawn, Err(CallError::Withdrawn)), "{withdrawn:?}");
    client.call_if(get("/sent"), || true).await.expect("an answer");
    assert_eq!(accepted.get(), 2, "the connection of the withdrawn call is not used");
}

/// Starts a server that answers with `head`, and then with `repeated` until the client closes.
async fn serve_endless(head: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = vec![0; 4096];
        let read = stream.read(&mut request).await.expect("the request arrives");
        assert!(read > 0);
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        let block = repeated.repeat(64);
        while stream.write_all(block.as_bytes()).await.is_ok() {}
    });
    address
}

/// Sends a request with `body`, and reads an answer whose body is not expected to have any bytes.
async fn read_endless(address: SocketAddr, body: Bytes) -> Result<BodyPart, ExchangeError> {
    let timeout = Duration::from_secs(20);
    let mut connection = OutboundConnection::open(address, timeout).await.expect("a server");
    let request = OutboundRequest {
        method: Method::POST,
        uri: "/x".parse().expect("a path"),
        headers: HeaderMap::new(),
        body,
    };
    let read = async {
        connection.exchange(request).await?;
        connection.read_body().await
    };
    tokio::time::timeout(timeout, read).await.expect("the answer is given up")
}

#[actix_rt::test]
async fn an_answer_without_end_in_its_head_or_framing_is_given_up() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    for (head, repeated) in [
        (HEAD, "x-header: value\r\n"),
        (HEAD, "x"),
        ("", "no answer "),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED, "extension"),
    ] {
        // The server does not read the long body, so that it is still being sent.
        for body in [Bytes::new(), Bytes::from(vec![0; 32 * 1024 * 1024])] {
            let address = serve_endless(head, repeated).await;
            let result = read_endless(address, body).await;
            assert!(matches!(result, Err(ExchangeError::Malformed)), "{repeated:?}: {result:?}");
        }
    }
}

/// Guards against a call whose answer fills the memory of the process.
#[actix_rt::test]
async fn a_body_without_end_is_given_up_at_the_size_limit() {
    for head in
        ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n"]
    {
        let client = CallClient::new(serve_endless(head, "5\r\nhello\r\n").await);
        let failure = client.call(get("/")).await.expect_err("the body has no end");
        assert!(matches!(failure, CallError::TooLong), "{head:?}: {failure}");
    }
}

const BODY_BYTES: usize = 100_000;

/// Aborts an exchange whose peer stands still, so that it has not acknowledged the whole request. Returns
/// what the peer received after that, and how its connection ended.
async fn abort_exchange(reset_on_abort: bool) -> (usize, std::io::Result<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    socket2::SockRef::from(&listener).set_recv_buffer_size(4096).expect("an open socket");
    let address = listener.local_addr().expect("it is bound");
    let timeout = Duration::from_secs(20);
    let mut connection = OutboundConnection::open(address, timeout).await.expect("it connects");
    let request = OutboundRequest {
        method: Method::POST,
        uri: "/".parse().expect("a valid path"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
    };
    let (mut stream, _) = listener.accept().await.expect("a client connects");
    let mut first_byte = [0];
    tokio::select! {
        _ = connection.exchange(request) => panic!("there is no answer"),
        peeked = stream.peek(&mut first_byte) => assert_eq!(peeked.expect("the request arrives"), 1),
    }
    connection.set_reset_on_abort(reset_on_abort);
    drop(connection);
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received).await;
    (received.len(), ended)
}

#[actix_rt::test]
async fn an_aborted_exchange_does_not_deliver_the_rest_of_its_request() {
    let (received, ended) = abort_exchange(true).await;
    let failure = ended.expect_err("the connection is reset").kind();
    assert_eq!(failure, std::io::ErrorKind::ConnectionReset);
    assert!(received < BODY_BYTES, "the whole request was delivered");
}

#[actix_rt::test]
async fn an_exchange_that_ends_orderly_delivers_what_was_sent_and_then_its_end() {
    let (received, ended) = abort_exchange(false).await;
    assert_eq!(ended.expect("an orderly end"), received);
}

const FOREIGN_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";
const OWN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Sends a request with a body of `length` bytes, to which the server writes an answer to another request,
/// and reads that answer to its end.
async fn skip_foreign_answer(length: usize) -> (OutboundConnection, tokio::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    socket2::SockRef::from(&listener).set_recv_buffer_size(4096).expect("an open socket");
    let address = listener.local_addr().expect("it is bound");
    let timeout = Duration::from_secs(20);
    let mut connection = OutboundConnection::open(address, timeout).await.expect("it connects");
    let (mut stream, _) = listener.accept().await.expect("a client connects");
    stream.write_all(FOREIGN_ANSWER).await.expect("the client reads");
    let request = OutboundRequest {
        method: Method::POST,
        uri: "/".parse().expect("a valid path"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; length]),
    };
    let head = connection.exchange(request).await.expect("an answer");
    assert_eq!(head.status, StatusCode::SERVICE_UNAVAILABLE);
    let body = connection.read_body().await.expect("a body");
    assert_eq!(body, BodyPart::Data(Bytes::from_static(b"full")));
    assert_eq!(connection.read_body().await.expect("an end"), BodyPart::End);
    (connection, stream)
}

#[actix_rt::test]
async fn the_rest_of_a_request_is_sent_after_an_answer_to_another_one() {
    const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;
    let (mut connection, mut stream) = skip_foreign_answer(LONG_BODY_BYTES).await;
    let answer = async {
        let mut received = 0;
        let mut part = vec![0; 64 * 1024];
        while received < LONG_BODY_BYTES {
            received += stream.read(&mut part).await.expect("the rest of the request");
        }
        stream.write_all(OWN_ANSWER).await.expect("the client reads");
    };
    let exchange = async { tokio::join!(connection.read_head(), answer) };
    let ended = tokio::time::timeout(Duration::from_secs(20), exchange).await;
    let (head, ()) = ended.expect("the request is sent completely");
    assert_eq!(head.expect("an answer").status, StatusCode::OK);
    assert!(!connection.is_reusable(), "an answer came before the request was sent");
}

#[actix_rt::test]
async fn an_exchange_that_is_aborted_after_an_answer_to_another_request_is_reset() {
    let (mut connection, mut stream) = skip_foreign_answer(BODY_BYTES).await;
    connection.set_reset_on_abort(true);
    tokio::select! {
        biased;
        _ = connection.read_head() => panic!("there is no other answer"),
        () = std::future::ready(()) => {}
    }
    drop(connection);
    let ended = stream.read_to_end(&mut Vec::new()).await;
    let failure = ended.expect_err("the connection is reset").kind();
    assert_eq!(failure, std::io::ErrorKind::ConnectionReset);
}
