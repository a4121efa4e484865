#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/request.hpp"

#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace papayafall::bench {

/// One service of the workload and how its run times are distributed.
struct service_profile {
    service_name name;
    duration min_run_time;
    duration max_run_time;
    duration time_limit;
    /// Share of the offered slot time.
    double load_share = 1;
    bool long_work = false;

    double mean_run_time_seconds() const
    {
        return std::chrono::duration<double>(min_run_time + max_run_time).count() / 2;
    }
};

/// Load over the time of one run: calm, then a crest of four times the calm load, and so on.
struct load_shape {
    double calm_load = 0.2; ///< offered slot time over the capacity
    double crest_load = 0.8;
    duration period = std::chrono::seconds(20);
    duration crest_duration = std::chrono::seconds(8);
    duration run_duration = std::chrono::seconds(400);
    bool with_long_work = false;

    bool is_crest(time_point at) const
    {
        return at.time_since_epoch() % period >= period - crest_duration;
    }

    double load_at(time_point at) const { return is_crest(at) ? crest_load : calm_load; }
};

/// One request that the simulated callers make.
struct arrival {
    time_point at;
    const service_profile* service;
    duration run_time;
    duration declared_run_time;
    team_name team;
};

inline const std::vector<service_profile>& profiles()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    static const std::vector<service_profile> all{
        {service_name("stock"), milliseconds(50), milliseconds(150), seconds(1), 0.3},
        {service_name("quote"), milliseconds(100), milliseconds(700), seconds(2), 0.7},
        {service_name("layout"), seconds(10), seconds(30), seconds(120), 0.2, true},
    };
    return all;
}

/// Arrivals of a Poisson process whose rate follows `shape`, by thinning.
inline std::vector<arrival> make_arrivals(const load_shape& shape, std::uint32_t slots,
                                          std::uint32_t seed)
{
    std::vector<arrival> arrivals;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const service_profile& it : profiles()) {
        if (it.long_work && !shape.with_long_work) {
            continue;
        }
        const double rate_at_full_load = it.load_share * slots / it.mean_run_time_seconds();
        // long work arrives in bursts of 0.6 tasks a slot, which do not follow the swing
        const auto burst_size = it.long_work ? static_cast<int>(0.6 * slots) : 1;
        const double max_rate =
            it.long_work ? rate_at_full_load / burst_size : rate_at_full_load * shape.crest_load;
        double seconds = 0;
        while (true) {
            seconds -= std::log(1 - uniform(random)) / max_rate;
            const time_point at(duration(static_cast<duration::rep>(seconds * 1e6)));
            if (at.time_since_epoch() >= shape.run_duration) {
                break;
            }
            if (!it.long_work && uniform(random) > shape.load_at(at) / shape.crest_load) {
                continue;
            }
            for (int n = 0; n < burst_size; ++n) {
                const auto run_time_range_us =
                    static_cast<double>((it.max_run_time - it.min_run_time).count());
                const duration run_time =
                    it.min_run_time +
                    duration(static_cast<duration::rep>(uniform(random) * run_time_range_us));
                // declarations are off by a factor of up to ten in both directions
                const double declaration_factor = std::pow(10.0, 2 * uniform(random) - 1);
                const duration declared_run_time(static_cast<duration::rep>(
                    static_cast<double>(run_time.count()) * declaration_factor));
                arrivals.push_back({at, &it, run_time, declared_run_time,
                                    team_name(uniform(random) < 0.5 ? "desk" : "web")});
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& lhs, const arrival& rhs) { return lhs.at < rhs.at; });
    return arrivals;
}

inline configuration make_configuration()
{
    configuration_fields fields{.revision = revision_id(1)};
    for (const service_profile& it : profiles()) {
        fields.services[it.name] = service_configuration{
            .time_limit = std::chrono::duration_cast<std::chrono::milliseconds>(it.time_limit),
            .idempotent = true};
    }
    fields.teams[team_name("desk")] = team_configuration{.slot_quota = 32};
    fields.teams[team_name("web")] = team_configuration{.slot_quota = 32};
    return fields;
}

} // namespace papayafall::bench
