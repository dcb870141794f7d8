#!/bin/bash
# Builds the program of each review case, with its stand-ins, into target/review. The controllers are built
# by the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  go build -o "target/review/$number" "./review/$number"
done
