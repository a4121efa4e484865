#pragma once

#include "papayafall/core/values/host.hpp"

#include <cstdint>

namespace papayafall {

/// A listening TCP socket with SO_REUSEPORT, so that several sockets can share a port.
class listening_socket {
  public:
    /// Opens the socket; port 0 selects a free port.
    /// @throws configuration_error (`invalid_settings`) if the address is unusable
    explicit listening_socket(const endpoint& address);

    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    /// Closes the descriptor unless it was released.
    ~listening_socket();

    /// Port that the socket listens on.
    std::uint16_t port() const noexcept { return port_; }

    /// Transfers ownership of the descriptor to the calling code.
    int release() noexcept;

  private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace papayafall
