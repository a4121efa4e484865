#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o target/review/stand_in review/stand_in/*.cpp
