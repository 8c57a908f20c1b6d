#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -mod=readonly -o target/review-rig-2 ./review/rig2
