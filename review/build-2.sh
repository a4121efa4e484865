#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/stand_in_2/*.cpp -o target/review-2/stand_in.new
mv target/review-2/stand_in.new target/review-2/stand_in
