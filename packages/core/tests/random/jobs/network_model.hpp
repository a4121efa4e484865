#pragma once

#include "random/schedule.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace papayafall::random_runs {

/// Which programs reach each other, and how long messages take.
class network_model {
  public:
    network_model(schedule& time, dice& chance) : time_(time), chance_(chance) {}

    bool open(const std::string& one, const std::string& other) const
    {
        return !cuts_.contains(pair_of(one, other));
    }

    void cut(const std::string& one, const std::string& other)
    {
        cuts_.insert(pair_of(one, other));
    }

    void heal() { cuts_.clear(); }

    /// Carries a message if the path is open when it is sent and when it arrives.
    void carry(const std::string& from, const std::string& to, std::function<void()> arrive)
    {
        if (!open(from, to)) {
            return;
        }
        time_.after(delay(), [this, from, to, arrive = std::move(arrive)] {
            if (open(from, to)) {
                arrive();
            }
        });
    }

    duration delay()
    {
        return chance_.percent(2) ? chance_.milliseconds(5, 60) : chance_.milliseconds(0, 3);
    }

  private:
    static std::pair<std::string, std::string> pair_of(const std::string& one,
                                                       const std::string& other)
    {
        return std::minmax(one, other);
    }

    schedule& time_;
    dice& chance_;
    std::set<std::pair<std::string, std::string>> cuts_;
};

} // namespace papayafall::random_runs
