#include "random/jobs/job_world.hpp"
#include "random/seed_runs.hpp"

/// Simulates several job dispatchers in virtual time; see docs/PROOFS.md.
int main(int argc, char** argv)
{
    return papayafall::random_runs::run_seeds(
        argc, argv, [](std::uint64_t seed, std::chrono::seconds length) {
            papayafall::random_runs::job_world world(seed);
            const auto it = world.run(length);
            return std::to_string(it.jobs) + " jobs, " + std::to_string(it.attempts) +
                   " attempts, " + std::to_string(it.served) + " served, " +
                   std::to_string(it.starts) + " starts, " + std::to_string(it.faults) + " faults";
        });
}
