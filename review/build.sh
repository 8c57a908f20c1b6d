#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -mod=readonly -o target/review-rig ./review/rig
