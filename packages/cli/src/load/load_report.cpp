#include "papayafall/cli/load/load_summary.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <sstream>

namespace papayafall {

namespace {

using json = nlohmann::ordered_json;

constexpr std::array outcomes{
    load_outcome::in_time,      load_outcome::late,        load_outcome::refused_early,
    load_outcome::refused_late, load_outcome::cancelled,   load_outcome::failed,
    load_outcome::unknown,      load_outcome::unreachable, load_outcome::wrong_answer};

constexpr int name_width = 14;
constexpr int number_width = 9;
constexpr double percent = 100;

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::uint64_t count_of(const load_group& group, load_outcome outcome)
{
    const auto it = group.outcomes.find(outcome);
    return it == group.outcomes.end() ? 0 : it->second;
}

double share_of(const load_group& group, load_outcome outcome)
{
    return group.count == 0
               ? 0
               : static_cast<double>(count_of(group, outcome)) / static_cast<double>(group.count);
}

json encode(const load_quantiles& it)
{
    return {{"count", it.count},
            {"mean", milliseconds(it.mean)},
            {"p50", milliseconds(it.p50)},
            {"p99", milliseconds(it.p99)},
            {"p99.9", milliseconds(it.p999)},
            {"max", milliseconds(it.max)}};
}

json encode(const load_group& group)
{
    json counts = json::object();
    json shares = json::object();
    for (const load_outcome it : outcomes) {
        const std::string name(to_string(it));
        counts[name] = count_of(group, it);
        shares[name] = share_of(group, it);
    }
    return {{"name", group.name},
            {"count", group.count},
            {"outcomes", std::move(counts)},
            {"shares", std::move(shares)},
            {"offered_work_ms", milliseconds(group.offered_work)},
            {"useful_work_ms", milliseconds(group.useful_work)},
            {"response_ms", encode(group.response_times)},
            {"excess_ms", encode(group.excess)},
            {"response_over_ideal",
             {{"p50", group.response_ratio_p50},
              {"p99", group.response_ratio_p99},
              {"p99.9", group.response_ratio_p999}}}};
}

void append_header_row(std::ostream& out)
{
    out << std::left << std::setw(name_width) << "group" << std::right;
    for (const char* it :
         {"count", "in time%", "late%", "early%", "refused%", "failed%", "unknown%", "wrong",
          "p50 ms", "p99 ms", "p99.9 ms", "ratio50", "ratio99"}) {
        out << std::setw(number_width) << it;
    }
    out << '\n';
}

void append_group_row(std::ostream& out, const load_group& group)
{
    out << std::left << std::setw(name_width) << group.name << std::right << std::setw(number_width)
        << group.count;
    for (const load_outcome it :
         {load_outcome::in_time, load_outcome::late, load_outcome::refused_early,
          load_outcome::refused_late, load_outcome::failed, load_outcome::unknown}) {
        out << std::setw(number_width) << percent * share_of(group, it);
    }
    out << std::setw(number_width) << count_of(group, load_outcome::wrong_answer);
    for (const duration it : {group.excess.p50, group.excess.p99, group.excess.p999}) {
        out << std::setw(number_width) << milliseconds(it);
    }
    out << std::setw(number_width) << group.response_ratio_p50 << std::setw(number_width)
        << group.response_ratio_p99 << '\n';
}

} // namespace

std::string encode_summary(const load_summary& summary)
{
    json groups = json::array();
    for (const load_group& it : summary.groups) {
        groups.push_back(encode(it));
    }
    const json document{{"round_trip_ms", milliseconds(summary.round_trip)},
                        {"tasks", summary.tasks},
                        {"groups", std::move(groups)},
                        {"resubmissions", encode(summary.resubmissions)},
                        {"cancellations", encode(summary.cancellations)},
                        {"send_lag_ms", encode(summary.send_lag)}};
    constexpr int indent = 2;
    return document.dump(indent);
}

std::string format_summary(const load_summary& summary)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    append_header_row(out);
    for (const load_group& it : summary.groups) {
        append_group_row(out, it);
    }
    append_group_row(out, summary.resubmissions);
    append_group_row(out, summary.cancellations);
    out << "\nTimes are in excess of the ideal: the longest run time plus a round trip of "
        << milliseconds(summary.round_trip)
        << " ms. early: refused without running within a tenth of the"
        << " time limit;\nrefused: the same, later. Tasks: " << summary.tasks
        << ". Send delay (p99): " << milliseconds(summary.send_lag.p99) << " ms.\n";
    return out.str();
}

} // namespace papayafall
