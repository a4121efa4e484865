#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::detail {

/// Answer of one entry host to `GET /v1/status`.
struct host_report {
    std::string host;                     ///< as the operator named it
    std::optional<nlohmann::json> status; ///< empty where the host gave none
};

nlohmann::json encode_reports(const std::vector<host_report>& reports);

/// @throws nlohmann::json::exception when the status lacks a member
void print_report(std::ostream& out, const host_report& report);

} // namespace papayafall::detail
