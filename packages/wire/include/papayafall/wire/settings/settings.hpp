#pragma once

#include "papayafall/core/state/core_parameters.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/value.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Paths of the PEM files with the TLS certificate and its private key.
struct tls_settings {
    std::string certificate_file;
    std::string key_file;

    auto operator<=>(const tls_settings&) const = default;
};

/// Settings of the HTTP server for callers.
struct caller_settings {
    endpoint listen;
    std::uint32_t threads = 1;
    std::uint32_t max_body_bytes = 1U << 20U;
    std::uint32_t max_connections = 4000;
    std::chrono::milliseconds request_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::optional<tls_settings> tls;

    auto operator<=>(const caller_settings&) const = default;
};

/// Settings of the traffic with the other entry hosts.
struct peer_settings {
    endpoint link_endpoint;     ///< TCP address on which links are accepted
    endpoint datagram_endpoint; ///< UDP address that receives heartbeats
    /// File with the secret key that all entry hosts share.
    std::string key_file;

    auto operator<=>(const peer_settings&) const = default;
};

/// Settings of the connections to targets.
struct target_settings {
    std::uint32_t threads = 1;
    /// Time after which an idle connection is not reused.
    std::chrono::milliseconds max_idle_time{5'000};

    auto operator<=>(const target_settings&) const = default;
};

enum class platform_kind : std::uint8_t { memory, http };

/// Settings of the connection to the platform.
struct platform_settings {
    platform_kind kind = platform_kind::memory;
    endpoint address; ///< for `http`
    /// For `http`: file whose first line is the access token of this host; empty for no token.
    std::string token_file;
    std::chrono::milliseconds session_ttl{10'000};
    std::chrono::milliseconds call_timeout{2'000};
    std::chrono::milliseconds host_list_period{2'000};
    /// For `memory`: all hosts and targets.
    host_list_snapshot hosts;
    /// For `memory`: the configuration in force at the start.
    configuration initial_configuration;

    auto operator<=>(const platform_settings&) const = default;
};

enum class log_level : std::uint8_t { debug, info, warning, error };

struct log_settings {
    log_level level = log_level::info;
    /// Log file, opened for appending; empty for standard error, `-` for standard output.
    std::string file;

    auto operator<=>(const log_settings&) const = default;
};

struct settings_fields {
    host_name host;
    zone_name zone;
    caller_settings callers;
    peer_settings peers;
    target_settings targets;
    platform_settings platform;
    log_settings log;
    core_parameters parameters;
    /// Maximum duration of a graceful shutdown.
    std::chrono::milliseconds shutdown_limit{30'000};

    auto operator<=>(const settings_fields&) const = default;
};

/// Validated settings of one daemon.
using settings = value<settings_fields>;

/// Parses and validates the settings of a daemon.
/// @throws configuration_error with the JSON pointer of the first error
settings parse_settings(std::string_view text);

/// Reads and validates the settings file of a daemon.
/// @throws configuration_error if the file cannot be read or is invalid
settings load_settings(const std::string& path);

} // namespace papayafall
