#pragma once

#include "papayafall/core/values/host.hpp"

#include <cstdint>

namespace papayafall {

/// A listening TCP socket that shares its port with other sockets of this kind (SO_REUSEPORT).
class listening_socket {
  public:
    /// Opens the socket; port 0 picks a free port.
    /// @throws configuration_error (`invalid_settings`) when the address cannot be used
    explicit listening_socket(const endpoint& address);

    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    /// Closes the descriptor unless it was released.
    ~listening_socket();

    /// Port that the socket listens on.
    std::uint16_t port() const noexcept { return port_; }

    /// Hands the descriptor to the caller, who has to close it.
    int release() noexcept;

  private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace papayafall
