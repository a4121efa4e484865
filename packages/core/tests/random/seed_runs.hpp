#pragma once

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace papayafall::random_runs {

/// Runs a range of seeds; the main function of programs with the usage
/// `PROGRAM FIRST_SEED LAST_SEED [SECONDS]`, where SECONDS is the virtual time of each run.
/// @param run runs one seed and returns a summary line; any exception is a failure
/// @return exit status of the program: 0 if all seeds passed, 1 if any failed, 2 for wrong usage
inline int
run_seeds(int argc, char** argv,
          const std::function<std::string(std::uint64_t seed, std::chrono::seconds length)>& run)
{
    if (argc < 3) {
        std::cerr << "usage: " << argv[0] << " FIRST_SEED LAST_SEED [SECONDS]\n";
        return 2;
    }
    constexpr std::int64_t default_length_s = 120;
    const std::uint64_t first = std::stoull(argv[1]);
    const std::uint64_t last = std::stoull(argv[2]);
    const std::chrono::seconds length(argc > 3 ? std::stoll(argv[3]) : default_length_s);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        try {
            std::cout << "seed " << seed << ": " << run(seed, length) << std::endl;
        } catch (const std::exception& ex) {
            ++failed;
            std::cout << "seed " << seed << " FAILED: " << ex.what() << std::endl;
        }
    }
    std::cout << last - first + 1 - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

} // namespace papayafall::random_runs
