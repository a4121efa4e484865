#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::detail {

/// Answer of one entry host to `GET /v1/status`.
struct host_report {
    std::string host;                     ///< as given on the command line
    std::optional<nlohmann::json> status; ///< empty if the host reported none
};

/// Encodes the reports as a JSON array; the status is null for a host that reported none.
nlohmann::json encode_reports(const std::vector<host_report>& reports);

/// Prints a report as text.
/// @throws nlohmann::json::exception if the status lacks a member
void print_report(std::ostream& out, const host_report& report);

} // namespace papayafall::detail
