#!/bin/sh
# Builds the stand-ins that the scripts under review/ start. Run it after the build of deploy/system.toml. No network is needed.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
