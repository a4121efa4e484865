#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/operators/change_log.hpp"

#include <CLI/CLI.hpp>

#include <memory>
#include <string>

namespace papayafall {

/// Options shared by the commands that access the platform.
struct operator_options {
    std::string platform_url = "http://127.0.0.1:8500";
    std::string token_file;
    std::string operator_argument;
    std::string output_format = "table";

    /// Adds `--platform`, `--token-file`, `--operator` and `--output` to `app`.
    void attach(CLI::App& app);

    bool wants_json() const noexcept { return output_format == "json"; }

    /// Name of the operator, from `--operator`.
    /// @throws configuration_error if no name was given
    operator_name require_operator_name() const;
};

/// Connection of a command to the platform's key-value store, with the configuration changes kept
/// there.
class operator_connection {
  public:
    /// @throws configuration_error if `--platform` is not an http URL or the token file cannot be
    ///         read
    explicit operator_connection(const operator_options& options);

    change_log& changes() noexcept { return changes_; }

    key_value_store& store() noexcept { return store_; }

    const clock_source& clock() const noexcept { return clock_; }

  private:
    system_clock_source clock_;
    http_key_value_store store_;
    change_log changes_;
};

} // namespace papayafall
