#pragma once

#include <CLI/CLI.hpp>

namespace papayafall {

/// Exit codes of `papayafall`, as documented in docs/OPERATIONS.md.
enum class exit_code : int {
    success = 0,
    refused = 1,     ///< the system refused or failed what was asked
    usage = 2,       ///< wrong arguments or an unreadable or invalid file
    unavailable = 3, ///< no entry host or platform service could be reached
    conflict = 4,    ///< another operator's change came first
    internal = 70,   ///< a fault of the program
};

/// One subcommand of `papayafall`.
class command {
  public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    virtual ~command() = default;

    /// Adds the subcommand with its options and examples to `app`.
    virtual CLI::App* attach(CLI::App& app) = 0;

    /// Runs the subcommand after its options were parsed.
    /// @throws exception for every failure; the caller prints it and picks the exit code
    virtual exit_code run() = 0;
};

} // namespace papayafall
