#pragma once

#include "papayafall/core/values/host.hpp"

#include <QObject>
#include <QThread>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace papayafall {

/// Faults of the stand-in; each change replaces all of them.
struct stand_in_faults {
    bool down = false;               ///< every call loses its connection
    std::uint32_t delay_ms = 0;      ///< before each call is handled
    std::uint32_t lose_answers = 0;  ///< next writes that are applied and lose their answer
    bool end_sessions = false;       ///< end every session now
    std::set<std::string> cut_zones; ///< callers of these zones are cut off
    std::string token;               ///< calls without this token are refused; empty for any call

    auto operator<=>(const stand_in_faults&) const = default;
};

/// The platform's key-value service for tests, on a thread of its own.
class stand_in_platform {
  public:
    /// @param port 0 for any free port
    explicit stand_in_platform(std::uint16_t port = 0);
    stand_in_platform(const stand_in_platform&) = delete;
    stand_in_platform& operator=(const stand_in_platform&) = delete;
    ~stand_in_platform();

    const endpoint& address() const noexcept { return address_; }

    /// Switches the faults; they are in effect on return.
    void set_faults(const stand_in_faults& faults);

    /// Calls handled so far by kind; a waiting watch counts as one.
    std::map<std::string, std::uint64_t> counts();

  private:
    class service;

    QThread thread_;
    std::unique_ptr<QObject> context_;
    std::unique_ptr<service> service_;
    endpoint address_;
};

} // namespace papayafall
