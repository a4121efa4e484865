#pragma once

#include "papayafall/core/values/host.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace papayafall {

/// Files of the key and the certificate chain, both PEM, that the front end shows to callers.
struct tls_files {
    std::string certificate_chain;
    std::string private_key;

    auto operator<=>(const tls_files&) const = default;
};

/// Limits of one caller's connection.
struct connection_limits {
    std::size_t max_header_size = std::size_t{16} * 1024; ///< bytes of request line and headers
    std::size_t max_body_size = std::size_t{1024} * 1024; ///< bytes
    /// Time from the first byte of a request to its last, and for the caller to take an answer.
    std::chrono::milliseconds transfer_timeout{10'000};
    /// Time between two requests of one connection.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Time for a caller to read a last answer and hang up, before the connection is cut.
    std::chrono::milliseconds linger_timeout{1'000};

    auto operator<=>(const connection_limits&) const = default;
};

/// Settings of the callers' front end.
struct front_end_options {
    endpoint listen{.address = "127.0.0.1", .port = 0}; ///< port 0: any free port
    std::uint32_t threads = 1;
    std::size_t max_connections_per_thread = 2'000;
    connection_limits connection;
    /// Without a published status for this time the process counts as not healthy.
    std::chrono::milliseconds status_validity{5'000};
    std::optional<tls_files> tls; ///< empty: plain HTTP

    auto operator<=>(const front_end_options&) const = default;
};

} // namespace papayafall
