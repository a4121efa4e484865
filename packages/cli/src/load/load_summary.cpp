#include "papayafall/cli/load/load_summary.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace papayafall {

namespace {

using sample_filter = std::function<bool(const load_sample&)>;

/// Quantile of the sorted `values` at `share`, by nearest rank.
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

bool is_answered(load_outcome outcome)
{
    return outcome == load_outcome::in_time || outcome == load_outcome::late;
}

duration ideal_response_time(const load_sample& sample, duration round_trip)
{
    return sample.request->longest_run_time + round_trip;
}

duration total_run_time(const load_sample& sample)
{
    duration sum{};
    for (const planned_task& it : sample.request->tasks) {
        sum += it.run_time;
    }
    return sum;
}

load_group make_group(std::string name, const std::vector<load_sample>& samples,
                      duration round_trip, const sample_filter& matches)
{
    load_group group{.name = std::move(name)};
    std::vector<duration> response_times;
    std::vector<duration> excess;
    std::vector<double> ratio;
    for (const load_sample& it : samples) {
        if (!matches(it)) {
            continue;
        }
        ++group.count;
        ++group.outcomes[it.outcome];
        const duration work = total_run_time(it);
        group.offered_work += work;
        group.useful_work += it.outcome == load_outcome::in_time ? work : duration{};
        if (!is_answered(it.outcome)) {
            continue;
        }
        const duration ideal = ideal_response_time(it, round_trip);
        response_times.push_back(it.response_time);
        excess.push_back(it.response_time - ideal);
        ratio.push_back(static_cast<double>(it.response_time.count()) /
                        static_cast<double>(ideal.count()));
    }
    std::ranges::sort(ratio);
    group.response_times = make_quantiles(std::move(response_times));
    group.excess = make_quantiles(std::move(excess));
    group.response_ratio_p50 = quantile(ratio, 0.5);
    group.response_ratio_p99 = quantile(ratio, 0.99);
    group.response_ratio_p999 = quantile(ratio, 0.999);
    return group;
}

sample_filter first_sends_only(const sample_filter& matches)
{
    return [matches](const load_sample& it) {
        return it.kind == load_send_kind::first && matches(it);
    };
}

sample_filter in_phase(load_phase phase)
{
    return [phase](const load_sample& it) { return it.request->phase == phase; };
}

sample_filter has_class_and_phase(run_time_class run, load_phase phase)
{
    return [=](const load_sample& it) {
        return it.request->run_class == run && it.request->phase == phase;
    };
}

sample_filter has_urgency(urgency_level urgency)
{
    return [urgency](const load_sample& it) { return it.request->urgency == urgency; };
}

sample_filter has_kind(load_send_kind kind)
{
    return [kind](const load_sample& it) { return it.kind == kind; };
}

struct named_filter {
    const char* name;
    sample_filter matches;
};

std::vector<named_filter> group_filters()
{
    return {
        {.name = "all", .matches = [](const load_sample&) { return true; }},
        {.name = "calm", .matches = in_phase(load_phase::calm)},
        {.name = "crest", .matches = in_phase(load_phase::crest)},
        {.name = "short calm",
         .matches = has_class_and_phase(run_time_class::short_run, load_phase::calm)},
        {.name = "short crest",
         .matches = has_class_and_phase(run_time_class::short_run, load_phase::crest)},
        {.name = "long calm",
         .matches = has_class_and_phase(run_time_class::long_run, load_phase::calm)},
        {.name = "long crest",
         .matches = has_class_and_phase(run_time_class::long_run, load_phase::crest)},
        {.name = "urgent", .matches = has_urgency(urgency_level::urgent)},
        {.name = "normal", .matches = has_urgency(urgency_level::normal)},
        {.name = "background", .matches = has_urgency(urgency_level::background)},
        {.name = "jobs", .matches = [](const load_sample& it) { return it.request->is_job; }},
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
            .max = quantile(times, 1)};
}

load_summary summarise(const std::vector<load_sample>& samples, duration round_trip)
{
    load_summary summary{.round_trip = round_trip};
    for (const named_filter& it : group_filters()) {
        summary.groups.push_back(
            make_group(it.name, samples, round_trip, first_sends_only(it.matches)));
    }
    summary.resubmissions =
        make_group("resubmitted", samples, round_trip, has_kind(load_send_kind::resubmission));
    summary.cancellations =
        make_group("cancellations", samples, round_trip, has_kind(load_send_kind::cancellation));
    for (const load_sample& it : samples) {
        summary.tasks += it.kind == load_send_kind::first ? it.request->tasks.size() : 0;
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
