#include "bench/simulation.hpp"

#include <cstdio>
#include <limits>

// Compares the standard policies with their baselines in virtual time: one engine with its real
// controllers against simulated targets. The same seed gives the same results on every machine.
// Fails if a goal is not met.

using namespace papayafall;
using namespace papayafall::bench;

namespace {

constexpr std::uint32_t seed = 20261204;
/// Requests before this instant are not evaluated.
constexpr time_point warm_up_end{std::chrono::seconds(20)};
/// Response time of a request without a useful answer.
constexpr double unanswered = std::numeric_limits<double>::infinity();

double to_seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

/// Response times and results of the short requests at crests or in calm times of a run.
struct response_sample {
    std::vector<double> response; ///< in seconds, or `unanswered`
    std::vector<double> ideal;    ///< run times alone, in seconds
    std::vector<double> wait;     ///< response minus ideal time of the useful answers, in seconds
    std::size_t refused = 0;
    std::size_t late = 0; ///< answered late, failed or not answered
    std::size_t useful = 0;

    /// Returns the ratio of a percentile of the response times to that of the ideal times.
    double ratio_to_ideal(double share) const
    {
        return percentile(response, share) / percentile(ideal, share);
    }

    double mean_wait() const
    {
        double sum = 0;
        for (const double it : wait) {
            sum += it;
        }
        return wait.empty() ? 0 : sum / static_cast<double>(wait.size());
    }
};

/// Returns the share of the requests of one service that got a useful answer; for short work only
/// requests at crests are counted.
double answered_share_of_service(const run_result& result, const load_shape& shape,
                                 const service_profile& service)
{
    double offered = 0;
    double useful = 0;
    for (std::size_t n = 0; n < result.arrivals.size(); ++n) {
        const arrival& requested = result.arrivals[n];
        if (requested.service != &service || requested.at < warm_up_end ||
            (!service.long_work && !shape.is_crest(requested.at))) {
            continue;
        }
        offered += 1;
        useful += result.outcomes[n].useful ? 1 : 0;
    }
    return useful / offered;
}

void print_service_shares(const run_result& result, const load_shape& shape)
{
    std::printf("    answered in time:");
    for (const service_profile& it : profiles()) {
        if (it.long_work && !shape.with_long_work) {
            continue;
        }
        std::printf(" %s %.3f", it.name.text().c_str(),
                    answered_share_of_service(result, shape, it));
    }
    std::printf("\n");
}

response_sample collect_responses(const run_result& result, const load_shape& shape, bool crest)
{
    response_sample collected;
    for (std::size_t n = 0; n < result.arrivals.size(); ++n) {
        const arrival& requested = result.arrivals[n];
        if (requested.service->long_work || requested.at < warm_up_end ||
            shape.is_crest(requested.at) != crest) {
            continue;
        }
        const request_outcome& outcome = result.outcomes[n];
        collected.ideal.push_back(to_seconds(requested.run_time));
        if (!outcome.useful) {
            collected.response.push_back(unanswered);
            ++(outcome.refused ? collected.refused : collected.late);
            continue;
        }
        const double response = to_seconds(outcome.answered_at - requested.at);
        collected.response.push_back(response);
        collected.wait.push_back(response - to_seconds(requested.run_time));
        ++collected.useful;
    }
    return collected;
}

/// Returns the slot time within crests that was spent on useful answers, as a share of the capacity
/// of these crests.
double useful_capacity_share(const run_result& result, const load_shape& shape, std::uint32_t slots)
{
    double useful = 0;
    for (std::size_t n = 0; n < result.arrivals.size(); ++n) {
        const request_outcome& outcome = result.outcomes[n];
        if (!outcome.useful) {
            continue;
        }
        const time_point started_at = outcome.answered_at - result.arrivals[n].run_time;
        for (time_point it = warm_up_end; it.time_since_epoch() < shape.run_duration;
             it += shape.period) {
            const time_point from = std::max(it + shape.period - shape.crest_duration, started_at);
            const time_point to = std::min(it + shape.period, outcome.answered_at);
            useful += std::max(0.0, to_seconds(to - from));
        }
    }
    const auto crests = (shape.run_duration - warm_up_end.time_since_epoch()) / shape.period;
    return useful / (static_cast<double>(crests) * to_seconds(shape.crest_duration) * slots);
}

std::string format_ratio(double it)
{
    if (it == unanswered) {
        return "never";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", it);
    return text.data();
}

void print_sample(const char* label, const response_sample& it)
{
    std::printf("    %-6s p50 %6s  p99 %6s  p99.9 %6s of ideal; wait mean %7.1f ms p99 %7.1f ms; "
                "useful %zu refused %zu late or failed %zu\n",
                label, format_ratio(it.ratio_to_ideal(0.5)).c_str(),
                format_ratio(it.ratio_to_ideal(0.99)).c_str(),
                format_ratio(it.ratio_to_ideal(0.999)).c_str(), 1000 * it.mean_wait(),
                1000 * percentile(it.wait, 0.99), it.useful, it.refused, it.late);
}

/// The measurements of one candidate that the goals refer to.
struct policy_metrics {
    double crest_p99_over_ideal = 0;
    double crest_mean_wait = 0;
    double useful_capacity_share = 0;
};

/// The measurements of the first baseline and of the standard policies.
struct comparison {
    policy_metrics first_come_first_served;
    policy_metrics main;
};

comparison compare(const char* title, const load_shape& shape, const target_plan& plan)
{
    std::printf("%s\n", title);
    const std::vector<arrival> arrivals = make_arrivals(shape, plan.slots(), seed);
    std::vector<policy_metrics> measured;
    for (const policy_candidate& it : policy_candidates()) {
        const run_result result = simulation(it, plan, arrivals).run();
        std::size_t useful = 0;
        for (const request_outcome& outcome : result.outcomes) {
            useful += outcome.useful ? 1 : 0;
        }
        const double wasted = static_cast<double>(result.starts) / static_cast<double>(useful) - 1;
        std::printf("  %-18s wasted messages per useful one %.4f; useful work at the crest %.3f "
                    "of capacity\n",
                    it.name.c_str(), wasted, useful_capacity_share(result, shape, plan.slots()));
        print_service_shares(result, shape);
        print_sample("calm", collect_responses(result, shape, false));
        const response_sample crest = collect_responses(result, shape, true);
        print_sample("crest", crest);
        measured.push_back({crest.ratio_to_ideal(0.99), crest.mean_wait(),
                            useful_capacity_share(result, shape, plan.slots())});
    }
    return {measured.front(), measured.back()};
}

/// Prints whether a goal is met. Returns `met`.
bool report_goal(const char* goal, bool met)
{
    std::printf("%s: %s\n", met ? "met" : "NOT MET", goal);
    return met;
}

} // namespace

int main()
{
    compare("short work, crest at 0.8 of capacity", {}, {});
    const comparison high_crest = compare("short work, crest at 0.9 of capacity",
                                          {.calm_load = 0.225, .crest_load = 0.9}, {});
    const comparison alone = compare("short work at 0.15 and 0.6 of capacity, no long work",
                                     {.calm_load = 0.15, .crest_load = 0.6}, {});
    const comparison beside_long = compare(
        "short work at 0.15 and 0.6 of capacity, with bursts of long work of 0.2 in the mean",
        {.calm_load = 0.15, .crest_load = 0.6, .with_long_work = true}, {});
    const comparison overload =
        compare("short work, crest at 1.6 of capacity", {.calm_load = 0.4, .crest_load = 1.6}, {});
    compare("short work, crest at 0.6 of capacity, one target of 8 fails everything",
            {.calm_load = 0.15, .crest_load = 0.6}, {.failing_targets = 1});
    compare("short work, crest at 0.6 of capacity, one target of 8 five times slower",
            {.calm_load = 0.15, .crest_load = 0.6}, {.straggling_targets = 1});

    const auto added_wait = [&](policy_metrics comparison::*which) {
        return (beside_long.*which).crest_mean_wait - (alone.*which).crest_mean_wait;
    };
    bool met = report_goal("below capacity, p99 of short work at the crest is at most 1.3 x ideal",
                           high_crest.main.crest_p99_over_ideal <= 1.3);
    met &= report_goal("long work adds at least 10 x less wait than first come first served",
                       added_wait(&comparison::main) * 10 <=
                           added_wait(&comparison::first_come_first_served));
    met &= report_goal("above capacity, useful answers take at least 0.95 of it",
                       overload.main.useful_capacity_share >= 0.95);
    return met ? 0 : 1;
}
