#pragma once

#include <compare>
#include <string>
#include <utility>

namespace papayafall {

/// Secret that proves to the platform's service who calls. It is never written to a log, an error
/// or an output; `secret` is for the header of a call alone.
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

/// Reads a token from the first line of a file; without a path there is none.
/// @param path file; empty for no token
/// @param setting JSON pointer or name of the option that names the file, for the error
/// @throws configuration_error (`invalid_settings`) when the file cannot be read, or its first
///         line is empty or has other than visible ASCII characters
platform_token read_platform_token(const std::string& path, const std::string& setting);

} // namespace papayafall
