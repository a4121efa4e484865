#pragma once

#include <compare>
#include <string>
#include <utility>

namespace papayafall {

/// Access token for the platform's service. It must never be written to a log, an error message or
/// other output; use `secret` only for the request header.
class platform_token {
  public:
    platform_token() = default;

    explicit platform_token(std::string secret) : secret_(std::move(secret)) {}

    bool empty() const noexcept { return secret_.empty(); }

    const std::string& secret() const noexcept { return secret_; }

    friend auto operator<=>(const platform_token&, const platform_token&) = default;

  private:
    std::string secret_;
};

/// Reads a token from the first line of a file.
/// @param path file name; if empty, an empty token is returned
/// @param setting JSON pointer or option name to report in errors
/// @throws configuration_error (`invalid_settings`) if the file cannot be read, or its first
///         line is empty or contains characters other than visible ASCII
platform_token read_platform_token(const std::string& path, const std::string& setting);

} // namespace papayafall
