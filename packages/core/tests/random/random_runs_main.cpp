#include "random/seed_runs.hpp"
#include "random/world.hpp"

#include <cstdlib>

/// Randomized runs of several dispatcher cores behind the callers' own interface, in virtual time.
/// See docs/PROOFS.md.
int main(int argc, char** argv)
{
    return papayafall::random_runs::run_seeds(
        argc, argv, [](std::uint64_t seed, std::chrono::seconds length) {
            papayafall::random_runs::world world(seed);
            const auto it = world.run(length);
            std::string text = std::to_string(it.events) + " events, " +
                               std::to_string(it.submissions) + " submissions, " +
                               std::to_string(it.calls) + " calls, " + std::to_string(it.starts) +
                               " starts, " + std::to_string(it.faults) + " faults; complete " +
                               std::to_string(it.complete) + ", not_run " +
                               std::to_string(it.not_run) + ", ran " + std::to_string(it.ran) +
                               ", unknown " + std::to_string(it.unknown);
            if (std::getenv("RANDOM_RUNS_DETAIL") != nullptr) {
                for (const auto& [kind, count] : world.recorded_history().answer_counts()) {
                    text += "\n  " + kind + ' ' + std::to_string(count);
                }
            }
            return text;
        });
}
