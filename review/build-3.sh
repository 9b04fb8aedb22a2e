#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the programs of the deploy file: their driver, which holds all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/driver ./review/_driver-3
