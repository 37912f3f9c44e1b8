//! The command `streamusher servers`, run on files in a folder.

mod support;

use rstest::rstest;
use serde_json::Value;
use std::path::Path;
use std::process::Command;
use support::*;

const GOOD: &str = "name;ip;building;kind;weight\ncore-1;10.0.0.1;pump-house;standard;1.5\ncore-2;10.0.0.2;pump-house;standard;\n";

/// Runs the command; returns its exit code, standard output and standard error.
fn servers(dir: &Path, words: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamusher"));
    let done = command
        .arg("servers")
        .args(words)
        .current_dir(dir)
        .output()
        .expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (
        done.status.code().unwrap_or(-1),
        text(done.stdout),
        text(done.stderr),
    )
}

#[test]
fn check_reports_every_mistake_of_every_file_as_text_and_json() {
    let files = Files::new();
    files.add("good.csv", GOOD);
    files.add(
        "bad.csv",
        "name,ip,building\na,10.0.0.1,\nb,nowhere,pump-hose\n",
    );
    files.add("config.json", &config(&[]).to_string());
    let (code, stdout, stderr) = servers(
        &files.0,
        &["check", "good.csv", "bad.csv", "--settings", "config.json"],
    );
    assert_eq!((code, stdout.as_str()), (3, "good.csv: 2 workers\n"));
    for line in [
        "host a: zone: missing",
        "bad.csv:2:1",
        "host b: address: not an IP address",
        "did you mean \"pump-house\"?",
    ] {
        assert!(stderr.contains(line), "{stderr}");
    }
    let (code, stdout, _) = servers(&files.0, &["check", "--json", "bad.csv"]);
    let all: Value = serde_json::from_str(&stdout).unwrap();
    let problem = &all[0]["problems"][0];
    assert_eq!(
        (code, &problem["line"], &problem["host"], &problem["key"]),
        (3, &2.into(), &"a".into(), &"zone".into())
    );
}

#[test]
fn show_diff_and_convert_agree_on_every_format() {
    let files = Files::new();
    files.add("old.csv", GOOD);
    let (code, stdout, _) = servers(&files.0, &["show", "old.csv"]);
    assert!(code == 0 && stdout.contains("10.0.0.2:6444"), "{stdout}");
    for to in ["csv", "yaml", "ini", "json"] {
        let (code, text, _) = servers(&files.0, &["convert", "old.csv", "--to", to]);
        assert_eq!(code, 0);
        files.add(&format!("new.{to}"), &text);
        let (code, stdout, _) = servers(&files.0, &["diff", "old.csv", &format!("new.{to}")]);
        assert_eq!((code, stdout.as_str()), (0, "nothing differs\n"), "{text}");
    }
    files.add("new.csv", "name,ip,zone,kind,weight\ncore-1,10.0.0.1,pump-house,standard,3\ncore-3,10.0.0.3,pump-house,standard,\n");
    let (code, stdout, _) = servers(&files.0, &["diff", "old.csv", "new.csv"]);
    assert_eq!(
        (code, stdout.as_str()),
        (0, "added: core-3\ndrained: core-2\nreweighted: core-1\n")
    );
}

#[rstest]
#[case::missing("nothing.csv", "No such file")]
#[case::folder("folder.csv", "not a file")]
#[case::fifo("fifo.csv", "not a file")]
#[case::symlink_loop("loop.csv", "symbolic links")]
#[case::large("large.csv", "over 16 MB")]
fn unreadable_inventory_is_rejected_with_reason(#[case] name: &str, #[case] why: &str) {
    let files = Files::new();
    std::fs::create_dir(files.0.join("folder.csv")).unwrap();
    let created = Command::new("mkfifo")
        .arg(files.0.join("fifo.csv"))
        .status()
        .unwrap();
    assert!(created.success());
    std::os::unix::fs::symlink("loop.csv", files.0.join("loop.csv")).unwrap();
    std::fs::File::create(files.0.join("large.csv"))
        .unwrap()
        .set_len(100 << 20)
        .unwrap();
    let (code, stdout, stderr) = servers(&files.0, &["check", name]);
    assert_eq!(code, 3, "{stderr}");
    assert!((stdout + &stderr).contains(why), "{stderr}");
    let (code, _, stderr) = servers(&files.0, &["show", name]);
    assert!(code == 3 && !stderr.is_empty());
}
