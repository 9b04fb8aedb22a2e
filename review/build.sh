#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin: the review's own and the project's fake of the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/fake-fleet ./cmd/fake-fleet
go build -o review/bin/standin ./review/standin
