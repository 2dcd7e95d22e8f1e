#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-drill ./review/_drill
