#include "papayafall/cli/load/planned_request.hpp"

#include "papayafall/cli/load/load_profile.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace papayafall {

namespace {

using std::chrono::milliseconds;

/// Ratio of the offered rate to the base rate from which a request counts as sent at the crest.
constexpr double crest_threshold = 2.5;

/// Range of run times and its share of all tasks.
struct run_time_range {
    double share;
    double shortest_ms;
    double longest_ms;
};

constexpr std::array<run_time_range, 3> run_time_mix{{
    {.share = 0.95, .shortest_ms = 50, .longest_ms = 1000},
    {.share = 0.045, .shortest_ms = 2000, .longest_ms = 6000},
    {.share = 0.005, .shortest_ms = 10'000, .longest_ms = 30'000},
}};
constexpr double longest_short_run_ms = 1000;

/// Largest ratio between the declared and the actual run time, in either direction.
constexpr double max_declaration_factor = 10;

constexpr double urgent_share = 0.2;
constexpr double background_share = 0.2;

/// Cancellations of requests first sent within one period are sent together at its end.
constexpr milliseconds cancellation_period{1000};

class request_planner {
  public:
    explicit request_planner(const load_plan& plan)
        : plan_(plan), run_length_s_(std::chrono::duration<double>(plan.run_length).count()),
          profile_(make_load_profile(plan.profile, run_length_s_)), random_(plan.seed)
    {
    }

    std::vector<planned_request> run()
    {
        std::vector<planned_request> requests;
        const double highest_rate = plan_.base_rate_per_s * load_profile::crest_to_base_ratio;
        std::exponential_distribution<double> interval(highest_rate);
        for (double offset_s = interval(random_); offset_s < run_length_s_;
             offset_s += interval(random_)) {
            const double rate_factor = profile_->rate_factor(offset_s);
            if (!random_bool(rate_factor / load_profile::crest_to_base_ratio)) {
                continue;
            }
            requests.push_back(make_request(offset_s, rate_factor, requests.size()));
        }
        return requests;
    }

  private:
    bool random_bool(double share) { return std::bernoulli_distribution(share)(random_); }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    double log_uniform(double low, double high)
    {
        return std::exp(uniform(std::log(low), std::log(high)));
    }

    std::size_t random_index(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
    }

    planned_request make_request(double offset_s, double rate_factor, std::uint64_t number)
    {
        planned_request_fields fields{
            .number = number,
            .first_send = {.offset = to_duration(offset_s), .host_index = choose_host(number)},
            .service = plan_.services.at(random_index(plan_.services.size())),
            .urgency = choose_urgency(),
            .phase = rate_factor >= crest_threshold ? load_phase::crest : load_phase::calm,
            .is_job = random_bool(plan_.job_share),
            .keyed = random_bool(plan_.keyed_share),
        };
        add_tasks(fields);
        if (fields.run_class == run_time_class::long_run && !plan_.long_service.empty()) {
            fields.service = plan_.long_service;
        }
        add_resubmission(fields);
        add_cancellation(fields);
        return {std::move(fields)};
    }

    static duration to_duration(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    std::size_t choose_host(std::uint64_t number)
    {
        return plan_.choice == host_choice::random ? random_index(plan_.hosts.size())
                                                   : number % plan_.hosts.size();
    }

    urgency_level choose_urgency()
    {
        const double draw = uniform(0, 1);
        if (draw < urgent_share) {
            return urgency_level::urgent;
        }
        return draw < 1 - background_share ? urgency_level::normal : urgency_level::background;
    }

    void add_tasks(planned_request_fields& fields)
    {
        const std::size_t count = fields.is_job ? 1 + random_index(plan_.max_job_tasks) : 1;
        double longest_ms = 0;
        for (std::size_t n = 0; n < count; ++n) {
            const double run_ms = choose_run_time();
            longest_ms = std::max(longest_ms, run_ms);
            const double declared_ms =
                run_ms * log_uniform(1 / max_declaration_factor, max_declaration_factor);
            fields.tasks.push_back({.id = plan_.run_name + "." + std::to_string(fields.number) +
                                          "." + std::to_string(n),
                                    .run_time = scale_to_ms(run_ms),
                                    .declared_run_time = scale_to_ms(declared_ms)});
        }
        fields.run_class = longest_ms > longest_short_run_ms ? run_time_class::long_run
                                                             : run_time_class::short_run;
        fields.longest_run_time = scale_to_ms(longest_ms);
        fields.time_limit =
            scale_to_ms(static_cast<double>(plan_.base_time_limit.count()) + 2 * longest_ms);
    }

    double choose_run_time()
    {
        double remaining_share =
            uniform(0, plan_.short_tasks_only ? run_time_mix.front().share : 1);
        for (const run_time_range& it : run_time_mix) {
            remaining_share -= it.share;
            if (remaining_share < 0) {
                return log_uniform(it.shortest_ms, it.longest_ms);
            }
        }
        return run_time_mix.back().longest_ms;
    }

    milliseconds scale_to_ms(double ms) const
    {
        return milliseconds(std::max(1L, std::lround(ms * plan_.time_scale)));
    }

    void add_resubmission(planned_request_fields& fields)
    {
        if (!random_bool(plan_.resubmitted_share)) {
            return;
        }
        const double delay_ms =
            uniform(0, 2) * static_cast<double>(fields.longest_run_time.count());
        fields.keyed = true;
        fields.resubmission = planned_send{
            .offset = fields.first_send.offset + to_duration(delay_ms / 1000),
            .host_index = (fields.first_send.host_index + 1) % plan_.hosts.size(),
        };
    }

    void add_cancellation(planned_request_fields& fields)
    {
        if (!random_bool(plan_.cancelled_share)) {
            return;
        }
        const auto period =
            std::chrono::ceil<milliseconds>(fields.first_send.offset) / cancellation_period;
        fields.keyed = true;
        fields.cancellation = planned_send{
            .offset = (period + 1) * cancellation_period,
            .host_index = fields.first_send.host_index,
        };
    }

    const load_plan& plan_;
    double run_length_s_;
    std::unique_ptr<load_profile> profile_;
    std::mt19937_64 random_;
};

} // namespace

std::vector<planned_request> plan_requests(const load_plan& plan)
{
    return request_planner(plan).run();
}

} // namespace papayafall
