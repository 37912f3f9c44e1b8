//! The dispatcher as a layer in front of an axum service, with a simulated worker.

mod support;

use axum::{body::Body, routing::get, Router};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use streamusher::config::{operators::TenantsConfig, Config, DrmaaConfig};
use streamusher::core::tenants::{Tenant, Tenants};
use streamusher::{handle::Handle, middleware::DispatchLayer, servers};
use streamusher_inventory::KnownNames;
use support::{config, Files, Sent, Shed, LONG};
use tower::ServiceExt;

fn dispatcher(
    shed: &Shed,
    tenants: Option<TenantsConfig>,
) -> (Handle, std::thread::JoinHandle<Result<(), String>>) {
    let files = Files::new();
    let row = format!(
        "name,address,port,zone,kind\nshed-a,127.0.0.1,{},pump-house,standard\n",
        shed.addr.port()
    );
    let workers = servers::load(&files.add("workers.csv", &row), &KnownNames::default()).unwrap();
    let mut config = Config::parse(config(&[]).to_string().as_bytes(), |_| None).unwrap();
    config.tenants = tenants;
    config.drmaa = Some(DrmaaConfig {
        listen: None,
        max_jobs: 10,
        keep_s: 1.0,
        workers,
    });
    Handle::start(config, slog::Logger::root(slog::Discard, slog::o!())).unwrap()
}

fn request(path: &str, id: &str, body: String) -> Request<Body> {
    Request::post(path)
        .header("X-Correlation-Id", id)
        .body(Body::from(body))
        .unwrap()
}

#[rstest]
#[case::dispatched("/depth-log/bh-7", "a1", 4, 200, "log of a1")]
#[case::inner_service("/help", "a1", 4, 200, "help")]
#[case::unknown_path("/render/x", "a1", 4, 404, "")]
#[case::no_id("/depth-log/bh-7", "", 4, 400, "X-Correlation-Id: not an id\n")]
#[case::large("/depth-log/bh-7", "a1", 65537, 413, "the body is over 64 KiB\n")]
#[tokio::test]
async fn requests_for_a_class_are_dispatched_and_others_reach_inner_service(
    #[case] path: &str,
    #[case] id: &str,
    #[case] length: usize,
    #[case] status: u16,
    #[case] body: &str,
) {
    let shed = Shed::start("serves");
    let (handle, thread) = dispatcher(&shed, None);
    let help = get(|| async { "help" }).post(|| async { "help" });
    let app = Router::new()
        .route("/help", help)
        .layer(DispatchLayer::new(handle));
    let answer = app
        .oneshot(request(path, id, "x".repeat(length)))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::from_u16(status).unwrap());
    assert_eq!(answer.into_body().collect().await.unwrap().to_bytes(), body);
    // The dispatcher shuts down cleanly once its last handle is dropped.
    assert_eq!(thread.join().unwrap(), Ok(()));
}

#[rstest]
#[case::header(Some("hydrology"), None, 200)]
#[case::extension(None, Some("hydrology"), 200)]
#[case::extension_first(Some("render"), Some("hydrology"), 200)]
#[case::not_the_header(Some("hydrology"), Some("render"), 403)]
#[case::unlisted(Some("render"), None, 403)]
#[case::none(None, None, 403)]
#[case::no_name(Some("a\tb"), None, 400)]
#[tokio::test]
async fn tenant_extension_takes_precedence_over_the_header(
    #[case] header: Option<&str>,
    #[case] extension: Option<&str>,
    #[case] status: u16,
) {
    let shed = Shed::start("serves");
    let tenants = Tenants::new(&["hydrology".into()], &[], None).unwrap();
    let (handle, thread) = dispatcher(
        &shed,
        Some(TenantsConfig {
            header: "X-Dept".into(),
            tenants,
        }),
    );
    let app = Router::new()
        .route("/help", get(|| async { "help" }))
        .layer(DispatchLayer::new(handle));
    let mut request_with_tenant = request("/depth-log/bh-7", "a1", "core".into());
    if let Some(name) = header {
        request_with_tenant
            .headers_mut()
            .insert("x-dept", name.parse().unwrap());
    }
    if let Some(name) = extension {
        request_with_tenant
            .extensions_mut()
            .insert(Tenant(name.into()));
    }
    let answer = app.oneshot(request_with_tenant).await.unwrap();
    assert_eq!(answer.status(), StatusCode::from_u16(status).unwrap());
    assert_eq!(
        shed.sent.try_recv().is_ok(),
        status == 200,
        "a rejected request must not run"
    );
    assert_eq!(thread.join().unwrap(), Ok(()));
}

#[tokio::test]
async fn dropped_call_is_cancelled_at_its_worker() {
    let shed = Shed::start("runs on");
    let (handle, thread) = dispatcher(&shed, None);
    let app = Router::new()
        .route("/help", get(|| async { "help" }))
        .layer(DispatchLayer::new(handle));
    let call = tokio::spawn(app.oneshot(request("/depth-log/bh-7", "a1", "core".into())));
    let sent = tokio::task::spawn_blocking(move || {
        let first = shed.sent.recv_timeout(LONG).expect("a job");
        (first, shed)
    });
    let (first, shed) = sent.await.unwrap();
    assert!(matches!(first, Sent::Job { .. }));
    call.abort();
    let _ = call.await;
    assert_eq!(shed.sent.recv_timeout(LONG), Ok(Sent::Cancel("a1".into())));
    assert_eq!(thread.join().unwrap(), Ok(()));
}
