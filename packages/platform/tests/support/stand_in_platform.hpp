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

/// Faults to inject; each call of `set_faults` replaces all of them.
struct stand_in_faults {
    bool down = false;               ///< the connection of every call is aborted
    std::uint32_t delay_ms = 0;      ///< delay before each call is handled
    std::uint32_t lose_answers = 0;  ///< number of next writes that are applied but not answered
    bool end_sessions = false;       ///< end all sessions at once
    std::set<std::string> cut_zones; ///< calls from these zones are aborted
    std::string token;               ///< calls without this token are rejected; empty to accept all

    auto operator<=>(const stand_in_faults&) const = default;
};

/// Stand-in for the platform's key-value service in tests; runs on its own thread.
class stand_in_platform {
  public:
    /// @param port TCP port; 0 for any free port
    explicit stand_in_platform(std::uint16_t port = 0);
    stand_in_platform(const stand_in_platform&) = delete;
    stand_in_platform& operator=(const stand_in_platform&) = delete;
    ~stand_in_platform();

    const endpoint& address() const noexcept { return address_; }

    /// Sets the faults, which are in effect on return.
    void set_faults(const stand_in_faults& faults);

    /// Number of calls handled so far by kind; a blocking watch counts as one.
    std::map<std::string, std::uint64_t> counts();

  private:
    class service;

    QThread thread_;
    std::unique_ptr<QObject> context_;
    std::unique_ptr<service> service_;
    endpoint address_;
};

} // namespace papayafall
