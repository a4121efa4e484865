#include "papayafall/cli/load/load_summary.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace papayafall {

namespace {

using sample_filter = std::function<bool(const load_sample&)>;

/// Value at `share` of sorted `values` by nearest rank.
template <typename Value>
Value quantile(const std::vector<Value>& values, double share)
{
    if (values.empty()) {
        return Value{};
    }
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values.at(std::clamp(rank, std::size_t{1}, values.size()) - 1);
}

bool is_whole(load_outcome outcome)
{
    return outcome == load_outcome::in_time || outcome == load_outcome::late;
}

duration ideal_of(const load_sample& sample, duration round_trip)
{
    return sample.request->longest_run + round_trip;
}

duration work_of(const load_sample& sample)
{
    duration sum{};
    for (const planned_task& it : sample.request->tasks) {
        sum += it.run_time;
    }
    return sum;
}

load_group make_group(std::string name, const std::vector<load_sample>& samples,
                      duration round_trip, const sample_filter& belongs)
{
    load_group group{.name = std::move(name)};
    std::vector<duration> response;
    std::vector<duration> excess;
    std::vector<double> ratio;
    for (const load_sample& it : samples) {
        if (!belongs(it)) {
            continue;
        }
        ++group.count;
        ++group.outcomes[it.outcome];
        const duration work = work_of(it);
        group.offered_work += work;
        group.useful_work += it.outcome == load_outcome::in_time ? work : duration{};
        if (!is_whole(it.outcome)) {
            continue;
        }
        const duration ideal = ideal_of(it, round_trip);
        response.push_back(it.response);
        excess.push_back(it.response - ideal);
        ratio.push_back(static_cast<double>(it.response.count()) /
                        static_cast<double>(ideal.count()));
    }
    std::ranges::sort(ratio);
    group.response = make_quantiles(std::move(response));
    group.excess = make_quantiles(std::move(excess));
    group.ratio_p50 = quantile(ratio, 0.5);
    group.ratio_p99 = quantile(ratio, 0.99);
    group.ratio_p999 = quantile(ratio, 0.999);
    return group;
}

sample_filter first_of(const sample_filter& belongs)
{
    return [belongs](const load_sample& it) {
        return it.sending == load_sending::first && belongs(it);
    };
}

sample_filter in_phase(load_phase phase)
{
    return [phase](const load_sample& it) { return it.request->phase == phase; };
}

sample_filter in_class(run_class run, load_phase phase)
{
    return
        [=](const load_sample& it) { return it.request->run == run && it.request->phase == phase; };
}

sample_filter of_urgency(urgency_level urgency)
{
    return [urgency](const load_sample& it) { return it.request->urgency == urgency; };
}

sample_filter of_sending(load_sending sending)
{
    return [sending](const load_sample& it) { return it.sending == sending; };
}

struct named_filter {
    const char* name;
    sample_filter belongs;
};

std::vector<named_filter> group_filters()
{
    return {
        {.name = "all", .belongs = [](const load_sample&) { return true; }},
        {.name = "calm", .belongs = in_phase(load_phase::calm)},
        {.name = "crest", .belongs = in_phase(load_phase::crest)},
        {.name = "short calm", .belongs = in_class(run_class::short_run, load_phase::calm)},
        {.name = "short crest", .belongs = in_class(run_class::short_run, load_phase::crest)},
        {.name = "long calm", .belongs = in_class(run_class::long_run, load_phase::calm)},
        {.name = "long crest", .belongs = in_class(run_class::long_run, load_phase::crest)},
        {.name = "urgent", .belongs = of_urgency(urgency_level::urgent)},
        {.name = "normal", .belongs = of_urgency(urgency_level::normal)},
        {.name = "background", .belongs = of_urgency(urgency_level::background)},
        {.name = "jobs", .belongs = [](const load_sample& it) { return it.request->job; }},
    };
}

load_quantiles send_lags(const std::vector<load_sample>& samples)
{
    std::vector<duration> lags;
    lags.reserve(samples.size());
    for (const load_sample& it : samples) {
        lags.push_back(it.send_lag);
    }
    return make_quantiles(std::move(lags));
}

} // namespace

load_quantiles make_quantiles(std::vector<duration> times)
{
    std::ranges::sort(times);
    const duration sum = std::accumulate(times.begin(), times.end(), duration{});
    const auto count = static_cast<std::int64_t>(std::max(times.size(), std::size_t{1}));
    return {.count = times.size(),
            .mean = sum / count,
            .p50 = quantile(times, 0.5),
            .p99 = quantile(times, 0.99),
            .p999 = quantile(times, 0.999),
            .highest = quantile(times, 1)};
}

load_summary summarise(const std::vector<load_sample>& samples, duration round_trip)
{
    load_summary summary{.round_trip = round_trip};
    for (const named_filter& it : group_filters()) {
        summary.groups.push_back(make_group(it.name, samples, round_trip, first_of(it.belongs)));
    }
    summary.resubmissions =
        make_group("resubmitted", samples, round_trip, of_sending(load_sending::again));
    summary.cancellations =
        make_group("cancellations", samples, round_trip, of_sending(load_sending::cancel));
    for (const load_sample& it : samples) {
        summary.tasks += it.sending == load_sending::first ? it.request->tasks.size() : 0;
    }
    summary.send_lag = send_lags(samples);
    return summary;
}

std::string_view to_string(load_outcome outcome) noexcept
{
    switch (outcome) {
    case load_outcome::in_time:
        return "in_time";
    case load_outcome::late:
        return "late";
    case load_outcome::refused_early:
        return "refused_early";
    case load_outcome::refused_late:
        return "refused_late";
    case load_outcome::cancelled:
        return "cancelled";
    case load_outcome::failed:
        return "failed";
    case load_outcome::unreachable:
        return "unreachable";
    case load_outcome::wrong_answer:
        return "wrong_answer";
    case load_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace papayafall
