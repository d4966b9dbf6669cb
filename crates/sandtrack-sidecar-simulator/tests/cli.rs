//! The command line as its users see it: exit status, messages, files.
use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack-sidecar-simulator"));
    command
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios"))
        .args(args);
    command.output().expect("the laboratory starts")
}

fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "sandtrack-sidecar-simulator-{}-{name}",
        std::process::id()
    ))
}

fn short() -> String {
    let path = scratch("short.toml");
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/hall.toml"))
        .unwrap();
    let text = text
        .replace("duration_s = 75", "duration_s = 8")
        .replace("at_s = 15", "at_s = 4");
    std::fs::write(
        &path,
        text.replace("for_s = 15", "for_s = 2")
            .replace("warmup_s = 5", "warmup_s = 1"),
    )
    .unwrap();
    path.display().to_string()
}

#[test]
fn a_sweep_is_left_as_json_and_plotted_and_compared() {
    let (short, json, svg) = (short(), scratch("sweep.json"), scratch("sweep.svg"));
    let (json, svg) = (json.display().to_string(), svg.display().to_string());
    let swept = lab(&[
        "sweep",
        &short,
        "--set",
        "client.rps=4,8",
        "--seeds",
        "2",
        "--json",
        &json,
    ]);
    assert_eq!(swept.status.code(), Some(0), "{swept:?}");
    let plotted = lab(&["plot", &json, "--figures", "in_time,p99_ms", "--out", &svg]);
    assert_eq!(plotted.status.code(), Some(0), "{plotted:?}");
    assert!(std::fs::read_to_string(&svg).unwrap().contains("<svg"));
    let compared = lab(&["compare", &json, &json, "--figure", "p99_ms"]);
    let told = String::from_utf8_lossy(&compared.stdout).into_owned();
    assert_eq!(
        (
            compared.status.code(),
            told.matches("0.0000 ±0.0000").count()
        ),
        (Some(0), 2),
        "{told}"
    );
    for file in [&short, &json, &svg] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn faulty_input_ends_with_status_2_before_anything_runs() {
    let points: Vec<String> = (1..200).map(|n| n.to_string()).collect();
    let many = format!("client.rps={}", points.join(","));
    let cases: [&[&str]; 8] = [
        &["run", "none.toml"],
        &["run", "hall.toml", "--policy", "clairvoyant"],
        &[
            "sweep",
            "hall.toml",
            "--set",
            "client.rps=",
            "--json",
            "/dev/null",
        ],
        &[
            "sweep",
            "hall.toml",
            "--set",
            "client.rps=nan",
            "--json",
            "/dev/null",
        ],
        &[
            "sweep",
            "hall.toml",
            "--set",
            "client.speed=3",
            "--json",
            "/dev/null",
        ],
        &[
            "sweep",
            "hall.toml",
            "--set",
            &many,
            "--set",
            &many,
            "--json",
            "/dev/null",
        ],
        &["compare", "hall.toml", "--seeds", "1"],
        &[
            "plot",
            "hall.toml",
            "--figures",
            "in_time",
            "--out",
            "/dev/null",
        ],
    ];
    for args in cases {
        let ended = lab(args);
        assert_eq!(ended.status.code(), Some(2), "{args:?} {ended:?}");
        assert!(
            !ended.stderr.is_empty() && ended.stdout.is_empty(),
            "{args:?}"
        );
    }
}
