//! The operators' command-line client against a running deployment.

use {
    hyper::Method,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        load::{Generator, Shot},
        operator::Run,
    },
};

const SERVICE: &str = "ordre-app";

async fn deployment() -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(2)]);
    Deployment::start(&layout)
        .await
        .expect("the deployment starts")
}

fn run_client(deployment: &Deployment, arguments: &[&str]) -> Run {
    deployment.operate(arguments).expect("the client runs")
}

#[tokio::test]
async fn applied_document_is_in_force_on_every_instance_when_apply_returns() {
    let deployment = deployment().await;
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let file = folder.path().join("edit.toml");
    let got = run_client(&deployment, &["get", SERVICE]).stdout;
    let text = got.replace("weight = 4", "weight = 7");
    std::fs::write(&file, text).expect("the file is written");

    let applied = run_client(
        &deployment,
        &["apply", "--json", &file.display().to_string()],
    );
    let status = run_client(&deployment, &["status", "--json", SERVICE]);

    assert_eq!(applied.code, 0);
    assert_eq!(applied.json()["in_force"], 4);
    let rows = status.json()["instances"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    assert_eq!(rows.len(), 4);
    for row in rows {
        assert_eq!(
            (&row["state"], &row["behind"]),
            (&"ready".into(), &false.into())
        );
        assert_eq!(row["revision"], applied.json()["revision"]);
    }
}

#[tokio::test]
async fn explain_shows_the_routing_decision_of_a_request() {
    let deployment = deployment().await;
    let generator = Generator::new(&deployment.entries());
    let shot = Shot::plain(SERVICE, "slibe-example-key", Method::GET, "/orders/7", "")
        .with_key("order/7%b");
    let record = generator.offer(tokio::time::Instant::now(), 1, &shot).await;
    assert!(record.whole, "{record:?}");

    let known = run_client(&deployment, &["explain", "--json", "order/7%b"]);
    let unknown = run_client(&deployment, &["explain", "order-8"]);

    assert_eq!((known.code, unknown.code), (0, 7));
    let decision = &known.json()["decisions"][0];
    assert_eq!(decision["router"], deployment.routers[1].name.as_str());
    assert_eq!(decision["organisation"], "slibehuset");
    assert!(
        decision["chosen"]
            .as_str()
            .is_some_and(|chosen| chosen.starts_with(SERVICE))
    );
}
