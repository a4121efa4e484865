#pragma once

#include "record.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

/// The network between clients and one port: a proxy that can hold up all bytes in both directions,
/// as a partition does. After it, the bytes arrive, and the end of a connection one round trip
/// later, as its segment is sent again only once the bytes before it are acknowledged.
class partition {
  public:
    partition(std::uint16_t to, milliseconds round_trip);
    partition(const partition&) = delete;
    partition& operator=(const partition&) = delete;
    ~partition();

    std::uint16_t port() const noexcept { return port_; }

    void set_cut(bool cut) { cut_ = cut; }

  private:
    void accept_connections();
    void forward(int from, int to);

    std::uint16_t to_;
    milliseconds round_trip_;
    std::uint16_t port_;
    int listener_;
    std::atomic<bool> cut_{false};
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<int> descriptors_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace review
