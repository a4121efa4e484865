#include "random/world.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace {

/// Runs one seed; returns whether every check held.
bool run_seed(std::uint64_t seed, std::chrono::seconds length)
{
    try {
        papayafall::random_runs::world world(seed);
        const auto it = world.run(length);
        std::cout << "seed " << it.seed << ": " << it.events << " events, " << it.submissions
                  << " submissions, " << it.calls << " calls, " << it.starts << " starts, "
                  << it.faults << " faults; complete " << it.complete << ", not_run " << it.not_run
                  << ", ran " << it.ran << ", unknown " << it.unknown << '\n';
        if (std::getenv("RANDOM_RUNS_DETAIL") != nullptr) {
            for (const auto& [kind, count] : world.seen().answer_counts()) {
                std::cout << "  " << kind << ' ' << count << '\n';
            }
        }
        return true;
    } catch (const std::exception& ex) {
        std::cout << "seed " << seed << " FAILED: " << ex.what() << '\n';
        return false;
    }
}

} // namespace

/// Usage: random-runs FIRST_SEED LAST_SEED [SECONDS of virtual time a seed].
int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "usage: random-runs FIRST_SEED LAST_SEED [SECONDS]\n";
        return 2;
    }
    const std::uint64_t first = std::stoull(argv[1]);
    const std::uint64_t last = std::stoull(argv[2]);
    const std::chrono::seconds length(argc > 3 ? std::stoll(argv[3]) : 120);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        failed += run_seed(seed, length) ? 0 : 1;
    }
    std::cout << last - first + 1 - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
