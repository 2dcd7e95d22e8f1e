#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The project's program is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/site ./review/_site
