#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -o ../../target/review/standin .
