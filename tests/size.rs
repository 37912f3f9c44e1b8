//! The limits on the decision module, which new readers rely on: the files that the deploy file names under `policy`.

#[test]
fn the_decision_module_stays_within_its_limits() {
    let root = env!("CARGO_MANIFEST_DIR");
    let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = deploy.parse().expect("TOML");
    let policy = deploy["policy"].as_array().expect("a list");
    let mut sum = 0;
    for file in policy.iter().map(|f| f.as_str().expect("a path")) {
        let text = std::fs::read_to_string(format!("{root}/{file}")).expect("a file of the decision module");
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= 400, "{file}: {lines} lines that are not blank");
        let long: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(long.is_empty(), "{file}: lines over 110 characters: {long:#?}");
        let first = text.lines().next().unwrap_or_default();
        assert!(first.contains("src/interface.rs"), "{file}: the interface is named at the top");
        sum += lines;
    }
    let all = std::fs::read_dir(format!("{root}/src/balance")).expect("the module's folder").count();
    assert_eq!(all, policy.len(), "each file of the module is named under policy");
    assert!(sum <= 710, "{sum} lines that are not blank");
}
