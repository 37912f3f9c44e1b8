//! Texts that operators and peers read and write, compared byte for byte: settings files and their errors,
//! command lines, log lines, and the responses that the HTTP server generates itself.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use bytes::Bytes;
use http::StatusCode;
use std::fmt::Write;
use std::time::Duration;
use streamusher_runtime::http::{
    empty, json, parse_json, text, Client, NotSentReason, Request, RequestError, Response, Server,
    ServerLimits, UnknownReason, REQUEST_ID_HEADER,
};
use streamusher_runtime::logs::LastError;
use streamusher_runtime::options::{
    self, CommandDescription, ParsedCommandLine, ProgramDescription,
};
use streamusher_runtime::settings::{self, ProcessSettings, PATH_VARIABLE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SETTINGS: [(&str, &str); 4] = [
    ("page", include_str!("fixtures/settings/page.toml")),
    ("least", include_str!("fixtures/settings/least.toml")),
    ("control", include_str!("fixtures/settings/control.toml")),
    ("side", include_str!("fixtures/settings/side.toml")),
];

const PROGRAM: ProgramDescription = ProgramDescription {
    name: "tool",
    summary: "Does things.",
    version: "1.2.3",
    commands: &[
        CommandDescription {
            name: "one",
            summary: "the first",
        },
        CommandDescription {
            name: "another",
            summary: "the second",
        },
    ],
};

/// Formats each key of the settings with its value, followed by values derived from several keys.
fn format_settings(settings: &ProcessSettings) -> String {
    let ProcessSettings {
        node_name,
        role,
        machine_class,
        serves,
        ip,
        zone,
        region,
        port_range,
        seeds,
        bootstrap,
        counts_for_quorum,
        data_dir,
        heartbeat_ms,
        contracts,
        commands,
        zones,
        listen,
        limits,
        fault_tolerance,
        bounds,
    } = settings;
    let mut lines = format!(
        "{node_name:?} {role:?} {machine_class:?} {serves:?} {ip:?} {zone:?} {region:?} {port_range:?} {seeds:?}\n\
         {bootstrap:?} {counts_for_quorum:?} {data_dir:?} {heartbeat_ms:?} {contracts:?} {commands:?} {zones:?}\n\
         listen {:?} {:?} {:?}\n",
        listen.front, listen.ready, listen.control
    );
    let fields = |text: String| text.split_once(" { ").unwrap().1.to_owned();
    writeln!(lines, "limits {}", fields(format!("{limits:?}"))).unwrap();
    writeln!(
        lines,
        "fault_tolerance {}",
        fields(format!("{fault_tolerance:?}"))
    )
    .unwrap();
    writeln!(lines, "bounds {}", fields(format!("{bounds:?}"))).unwrap();
    let seeds = settings.core_addresses_of_seeds();
    let seeds = seeds.iter().map(|seed| (&seed.internal, &seed.control));
    writeln!(
        lines,
        "derived {} {} {:?} {:?}",
        settings.internal_address(2),
        bounds.grace_ms(),
        limits.max_connections(300),
        seeds.collect::<Vec<_>>()
    )
    .unwrap();
    lines
}

#[test]
fn settings_files_have_the_recorded_values() {
    let mut actual = String::new();
    for (name, file) in SETTINGS {
        let settings = settings::parse(file, name).unwrap();
        write!(actual, "{name}:\n{}", format_settings(&settings)).unwrap();
    }
    write!(
        actual,
        "default:\n{}",
        format_settings(&ProcessSettings::default())
    )
    .unwrap();
    assert_eq!(actual, include_str!("fixtures/settings/values.txt"));
}

#[test]
fn settings_errors_have_the_recorded_texts() {
    let (_, file) = SETTINGS[0];
    let changes = [
        ("heartbeat_ms = 1500", "heartbeat_ms = \"soon\""),
        ("heartbeat_ms = 1500", "heartbeat_ms = 0"),
        ("heartbeat_ms = 1500", "heartbeat_ms = -1"),
        ("heartbeat_ms = 1500", "heartbeat_ms = nan"),
        ("ip = \"10.1.0.38\"", "ip = \"here\""),
        ("ip = \"10.1.0.38\"", ""),
        ("port_range = [7380,7395]", "port_range = [7395, 7380]"),
        ("port_range = [7380,7395]", "port_range = [0, 7380]"),
        ("port_range = [7380,7395]", "port_range = [7380]"),
        ("port_range = [7380,7395]", "port_range = [7380, 70000]"),
        ("port_range = [7380,7395]", ""),
        ("\"10.2.0.45:8144\"", "\"elsewhere\""),
        ("\"10.2.0.45:8144\"", "true"),
        ("bootstrap = true", "bootstrap = 1.5"),
        ("bootstrap = true", "bootstrap = { a = 1 }"),
        ("[zones]", "[[zones]]"),
        ("front = \"10.1.0.38:8149\"", "front = \"10.1.0.38\""),
        ("cores = 1", "cores = [\"x\", [1, false]]"),
        ("max_fds = 4100", "max_fds = -1"),
        ("machines = 1", "machines = 0.5"),
        ("grace_s = 6", "grace_s = [6]"),
        ("grace_s = 6", "grace_s = -1"),
        ("grace_s = 6", "grace_s = nan"),
        ("hold_max_ms = 6000", "hold_max_ms = 0"),
        ("early_ms = 250", "early_ms = -0.1"),
        ("ip = \"10.1.0.38\"", "ip = ["),
    ];
    let mut actual = String::new();
    for (original, replacement) in changes {
        let text = file.replacen(original, replacement, 1);
        assert_ne!(text, file);
        let error = settings::parse(&text, "settings.toml").unwrap_err();
        writeln!(actual, "{replacement}\t{error}").unwrap();
    }
    let no_seeds = "ip = \"127.0.0.1\"\nport_range = [1, 2]\n";
    let error = settings::parse(no_seeds, "settings.toml").unwrap_err();
    writeln!(actual, "no seeds\t{error}").unwrap();
    let path = std::path::Path::new("/nonexistent/settings.toml");
    let error = settings::load_from(path).unwrap_err();
    writeln!(actual, "no file\t{error}").unwrap();
    writeln!(actual, "{PATH_VARIABLE} {}", settings::DEFAULT_PATH).unwrap();
    assert_eq!(actual, include_str!("fixtures/settings/errors.txt"));
}

#[test]
fn command_lines_have_the_recorded_results() {
    let lines = [
        "",
        "one",
        "another --check",
        "--log-level trace one",
        "one --log-level loud",
        "one another",
        "three",
        "--fast one",
        "one --check=1",
        "--version",
        "--help",
    ];
    let mut actual = String::new();
    let without_commands = ProgramDescription {
        commands: &[],
        ..PROGRAM
    };
    for program in [PROGRAM, without_commands] {
        for line in lines {
            let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
            match options::parse(&program, &arguments) {
                Ok(ParsedCommandLine::Print(text)) => writeln!(actual, "{line}: {text}"),
                Ok(ParsedCommandLine::Run(run)) => writeln!(
                    actual,
                    "{line}: {:?} {:?} {:?}",
                    run.command.unwrap_or(""),
                    run.check,
                    run.log_level
                ),
                Err(error) => writeln!(actual, "{line}: {error}"),
            }
            .unwrap();
        }
    }
    writeln!(actual, "{}", options::EXIT_MISUSE).unwrap();
    assert_eq!(actual, include_str!("fixtures/encoded/command_lines.txt"));
}

fn format_response(response: &Response) -> String {
    let mut headers: Vec<String> = response
        .headers()
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    headers.sort();
    let body = String::from_utf8_lossy(response.body());
    format!("{} {headers:?} {body:?}", response.status())
}

#[derive(Debug, serde::Deserialize)]
struct Body {
    #[allow(dead_code, reason = "only its presence is read")]
    sequence: u64,
}

#[test]
fn responses_and_body_errors_have_the_recorded_forms() {
    let mut actual = String::new();
    let not_found = StatusCode::NOT_FOUND;
    writeln!(
        actual,
        "{}",
        format_response(&empty(StatusCode::NO_CONTENT))
    )
    .unwrap();
    writeln!(actual, "{}", format_response(&text(not_found, "none\n"))).unwrap();
    writeln!(
        actual,
        "{}",
        format_response(&json(StatusCode::OK, &[1, 2]))
    )
    .unwrap();
    let no_key = std::collections::BTreeMap::from([((1, 2), 3)]);
    writeln!(
        actual,
        "{}",
        format_response(&json(StatusCode::OK, &no_key))
    )
    .unwrap();
    let long_key = format!("{{\"{}\":x", "k".repeat(90));
    let bodies = [
        "",
        "{",
        "[]",
        "7",
        "{\"other\":1}",
        "{\"other\":\n1,\n\"sequence\":\"four\",\"more\":2}",
        "{\"sequence\":-1}",
        "{\"sequence\":1} x",
        "{\"a\":{\"b\":tru}}",
        &long_key,
    ];
    for body in bodies {
        let error = parse_json::<Body>(body.as_bytes()).unwrap_err();
        writeln!(actual, "{body:?}\t{error}").unwrap();
    }
    let last_error = LastError {
        age_ms: 12,
        level: "WARN",
        text: "a \"line\"".to_owned(),
    };
    writeln!(actual, "{}", serde_json::to_string(&last_error).unwrap()).unwrap();
    assert_eq!(actual, include_str!("fixtures/encoded/responses.txt"));
}

/// Writes `request` to a new connection and returns the complete response.
async fn send_raw(server: std::net::SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(server).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut response = Vec::new();
    // If the server closes with bytes of the request unread, the connection is reset after the response.
    let _reset = stream.read_to_end(&mut response).await;
    String::from_utf8(response).unwrap()
}

#[test]
fn bytes_on_connections_are_as_recorded() {
    streamusher_runtime::event_loop::block_on(async {
        let limits = ServerLimits {
            max_body_bytes: 10,
            body_timeout: Duration::from_millis(200),
            ..ServerLimits::default()
        };
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
        let address = server.local_address().unwrap();
        let echo = |request: Request| {
            let header = |name| request.headers().get(name).map(|value| format!("{value:?}"));
            let description = format!(
                "{} {} {:?} {:?}",
                request.method(),
                request.uri(),
                header("x-a"),
                header(REQUEST_ID_HEADER.as_str())
            );
            std::future::ready(text(StatusCode::OK, description))
        };
        tokio::task::spawn_local(server.run(echo));
        let mut actual = String::new();
        let long_head = format!("GET / HTTP/1.1\r\nx-a: {}\r\n\r\n", "a".repeat(20_000));
        let requests = [
            "GET /a?b=%20 HTTP/1.1\r\nx-a: 1\r\nconnection: close\r\n\r\n",
            "POST / HTTP/1.1\r\nstreamusher-call: 7\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi",
            "POST / HTTP/1.1\r\nstreamusher-call: 8\r\ncontent-length: 11\r\n\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nb\r\n0123456789a\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhi",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            &long_head,
            "no http\r\n\r\n",
        ];
        for request in requests {
            let response = send_raw(address, request.as_bytes()).await;
            let request: String = request.chars().take(60).collect();
            writeln!(actual, "{request:?}\t{response:?}").unwrap();
        }
        let client = Client::new(address);
        for path in ["/first", "/second"] {
            let request = http::Request::get(path).body(Bytes::new()).unwrap();
            let response = client.send(request, Duration::from_secs(20)).await.unwrap();
            writeln!(actual, "{}", format_response(&response)).unwrap();
        }
        for error in [
            RequestError::NotSent(NotSentReason::Connect(std::io::Error::other("why"))),
            RequestError::Unknown(UnknownReason::Body("why".into())),
        ] {
            writeln!(actual, "{error}").unwrap();
        }
        assert_eq!(actual, include_str!("fixtures/encoded/connections.txt"));
    })
    .unwrap();
}
