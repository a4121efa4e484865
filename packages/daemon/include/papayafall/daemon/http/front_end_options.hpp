#pragma once

#include "papayafall/core/values/host.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace papayafall {

/// Paths of the PEM files with the server's certificate chain and private key.
struct tls_files {
    std::string certificate_chain;
    std::string private_key;

    auto operator<=>(const tls_files&) const = default;
};

/// Limits of a single connection.
struct connection_limits {
    /// Maximum size of the request line and the headers, in bytes.
    std::size_t max_header_size = std::size_t{16} * 1024;
    /// Maximum size of the body, in bytes.
    std::size_t max_body_size = std::size_t{1024} * 1024;
    /// Limit from the first to the last byte of a request, and for the caller to read a response.
    std::chrono::milliseconds transfer_timeout{10'000};
    /// Limit between a response and the next request on the connection.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Limit for the caller to read the last response and close, before the connection is aborted.
    std::chrono::milliseconds linger_timeout{1'000};

    auto operator<=>(const connection_limits&) const = default;
};

/// Settings of the HTTP front end.
struct front_end_options {
    endpoint listen{.address = "127.0.0.1", .port = 0}; ///< port 0 selects a free port
    std::uint32_t threads = 1; ///< number of traffic threads; 0 is treated as 1
    std::size_t max_connections_per_thread = 2'000;
    connection_limits connection;
    /// Age of the last published status above which the process is reported as unhealthy.
    std::chrono::milliseconds status_validity{5'000};
    std::optional<tls_files> tls; ///< plain HTTP if empty

    auto operator<=>(const front_end_options&) const = default;
};

} // namespace papayafall
