#!/bin/sh
# Builds the stand-ins of the cases of the second review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
