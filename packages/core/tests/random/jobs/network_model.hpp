#pragma once

#include "random/scheduler.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace papayafall::random_runs {

/// Determines which programs can reach each other, and how long messages take.
class network_model {
  public:
    network_model(scheduler& time, random_source& rng) : time_(time), rng_(rng) {}

    bool open(const std::string& one, const std::string& other) const
    {
        return !cut_paths_.contains(ordered_pair(one, other));
    }

    void cut(const std::string& one, const std::string& other)
    {
        cut_paths_.insert(ordered_pair(one, other));
    }

    void restore_all() { cut_paths_.clear(); }

    /// Calls `arrive` after a random delay if the path is open both now and then.
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
        return rng_.percent(2) ? rng_.milliseconds(5, 60) : rng_.milliseconds(0, 3);
    }

  private:
    static std::pair<std::string, std::string> ordered_pair(const std::string& one,
                                                            const std::string& other)
    {
        return std::minmax(one, other);
    }

    scheduler& time_;
    random_source& rng_;
    std::set<std::pair<std::string, std::string>> cut_paths_;
};

} // namespace papayafall::random_runs
