#include "papayafall/cli/commands/status_command.hpp"

#include "status_output.hpp"

#include "papayafall/cli/http/blocking_http.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <algorithm>
#include <ostream>

namespace papayafall {

namespace {

constexpr int http_ok = 200;
constexpr std::string_view http_scheme = "http://";

endpoint parse_host_argument(std::string_view text)
{
    return parse_endpoint(text.starts_with(http_scheme) ? text.substr(http_scheme.size()) : text);
}

detail::host_report read_report(const std::string& host, std::chrono::milliseconds timeout)
{
    const endpoint address = parse_host_argument(host);
    try {
        const entry_host_response answer =
            call_entry_host(address, {.path = "/v1/status", .timeout = timeout});
        if (answer.status == http_ok) {
            return {host, nlohmann::json::parse(answer.body)};
        }
    } catch (const request_error&) {
        return {host, std::nullopt}; // reported as a host without an answer
    } catch (const nlohmann::json::exception& ex) {
        throw message_error(error_id::malformed_message, host + ": " + ex.what());
    }
    return {host, std::nullopt};
}

} // namespace

CLI::App* status_command::attach(CLI::App& app)
{
    CLI::App* subcommand = app.add_subcommand("status", "Print the state of entry hosts");
    subcommand->add_option("--host", hosts_, "entry host as address:port; may be repeated")
        ->capture_default_str();
    subcommand->add_option("--output", output_format_, "output format")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
    subcommand->add_option("--timeout-ms", timeout_ms_, "timeout for each host in milliseconds")
        ->capture_default_str();
    subcommand->footer("Examples:\n"
                       "  papayafall status --host 10.0.0.1:8080 --host 10.0.0.2:8080\n"
                       "  papayafall status --host 10.0.0.1:8080 --output json");
    return subcommand;
}

exit_code status_command::run()
{
    std::vector<detail::host_report> reports;
    reports.reserve(hosts_.size());
    for (const std::string& it : hosts_) {
        reports.push_back(read_report(it, std::chrono::milliseconds(timeout_ms_)));
    }
    if (output_format_ == "json") {
        out_ << detail::encode_reports(reports).dump(2) << "\n";
    } else {
        for (const detail::host_report& it : reports) {
            detail::print_report(out_, it);
        }
    }
    const bool all_answered = std::all_of(reports.begin(), reports.end(),
                                          [](const auto& it) { return it.status.has_value(); });
    return all_answered ? exit_code::success : exit_code::unavailable;
}

} // namespace papayafall
