#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 4 to 6 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/standin2
