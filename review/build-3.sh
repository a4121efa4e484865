#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Needs what the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
parts=(event_loop http store runner fleet)
for it in "${parts[@]}"; do
    g++ -std=c++20 -O1 -c "review/stand_in_3/$it.cpp" -o "$out/$it.o"
done
for it in blocked_queue forgotten_cancel stale_room late_connection; do
    g++ -std=c++20 -O1 "review/stand_in_3/$it.cpp" $(printf "$out/%s.o " "${parts[@]}") -o "$out/$it"
done
