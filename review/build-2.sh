#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./cmd/fake-fleet ./review/_standins-2/crowd ./review/_standins-2/sampler ./review/_standins-2/order
