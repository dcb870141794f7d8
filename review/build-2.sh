#!/bin/bash
# Builds the programs of the second review's cases, with every stand-in that they start, below target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/[4-8]; do
  go build -o "target/review-2/$(basename "$folder")" "./$folder"
done
