#pragma once

#include <CLI/CLI.hpp>

namespace papayafall {

/// Exit codes of `papayafall`, as documented in docs/OPERATIONS.md.
enum class exit_code : int {
    success = 0,
    refused = 1,     ///< the operation was refused or failed
    usage = 2,       ///< invalid arguments, or a file that is unreadable or invalid
    unavailable = 3, ///< no entry host or platform service could be reached
    conflict = 4,    ///< superseded by another operator's change
    internal = 70,   ///< internal error of the program
};

/// One subcommand of `papayafall`.
class command {
  public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    virtual ~command() = default;

    /// Registers the subcommand with its options and examples at `app`.
    /// @return the parser of the subcommand, owned by `app`
    virtual CLI::App* attach(CLI::App& app) = 0;

    /// Runs the subcommand; its options have been parsed.
    /// @throws exception for every failure; the caller prints it and maps it to an exit code
    virtual exit_code run() = 0;
};

} // namespace papayafall
