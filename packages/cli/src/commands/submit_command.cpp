#include "papayafall/cli/commands/submit_command.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace papayafall {

namespace {

constexpr int http_ok = 200;
constexpr int first_http_error_status = 400;
/// Time beyond the deadline of the request for which the tool awaits the answer.
constexpr std::chrono::seconds answer_grace_period{5};

} // namespace

CLI::App* submit_command::attach(CLI::App& app)
{
    CLI::App* subcommand =
        app.add_subcommand("submit", "Submit a request or a job and print the answer");
    subcommand
        ->add_option("--host", hosts_,
                     "entry host as address:port; repeat to add hosts for retries")
        ->capture_default_str();
    subcommand->add_option("--service", service_, "service that runs the tasks")->required();
    subcommand->add_option("--task", tasks_, "body of a task; repeat for a job of several tasks")
        ->required();
    subcommand->add_flag("--job", submit_as_job_, "submit a job even for a single task");
    subcommand->add_option("--key", key_,
                           "idempotency key; default: a ticket fetched from an entry host");
    subcommand->add_option("--team", team_, "team whose quota is charged");
    subcommand->add_option("--urgency", urgency_, "urgency: urgent, normal or background");
    subcommand->add_option("--deadline-ms", deadline_ms_,
                           "milliseconds within which the answer is required");
    subcommand
        ->add_option("--attempts", attempts_, "maximum number of times the submission is sent")
        ->capture_default_str();
    subcommand->footer("Examples:\n"
                       "  papayafall submit --service quote --task '{\"rolls\": 12}'\n"
                       "  papayafall submit --service booking --key "
                       "01890a5d-ac96-774b-bcce-b302099a8057 --task '{\"slot\": \"mon-10\"}'\n"
                       "  papayafall submit --service check --task 1 --task 2 --task 3");
    return subcommand;
}

exit_code submit_command::run()
{
    const std::string key = key_.empty() ? take_ticket() : key_;
    const entry_host_response response = submit(make_request(key));
    std::cout << response.body << '\n';
    return response.status == http_ok ? exit_code::success : exit_code::refused;
}

std::string submit_command::take_ticket() const
{
    const entry_host_request request{
        .method = entry_host_method::post, .path = "/v1/tickets", .body = R"({"count": 1})"};
    const entry_host_response response = submit(request);
    if (response.status != http_ok) {
        throw request_error(error_id::no_home, "entry host issued no ticket: " + response.body);
    }
    return nlohmann::json::parse(response.body).at("tickets").at(0).get<std::string>();
}

entry_host_request submit_command::make_request(const std::string& key) const
{
    const bool is_job = submit_as_job_ || tasks_.size() > 1;
    entry_host_request request{.method = entry_host_method::post,
                               .path =
                                   "/v1/services/" + service_ + (is_job ? "/jobs" : "/requests"),
                               .headers = {{"Idempotency-Key", key}},
                               .body = tasks_.front()};
    if (is_job) {
        nlohmann::json tasks = nlohmann::json::array();
        for (const std::string& it : tasks_) {
            tasks.push_back({{"body", it}});
        }
        request.body = nlohmann::json{{"tasks", tasks}}.dump();
    }
    if (!team_.empty()) {
        request.headers.push_back({"Papayafall-Team", team_});
    }
    if (!urgency_.empty()) {
        request.headers.push_back({"Papayafall-Urgency", urgency_});
    }
    if (deadline_ms_ > 0) {
        request.headers.push_back({"Papayafall-Deadline-Ms", std::to_string(deadline_ms_)});
        request.timeout = std::chrono::milliseconds(deadline_ms_) + answer_grace_period;
    }
    return request;
}

/// Sends the request to the hosts in turn until one gives a final answer. The idempotency key makes
/// the retries safe.
entry_host_response submit_command::submit(const entry_host_request& request) const
{
    std::optional<request_error> last_error;
    for (std::uint32_t n = 0; n < attempts_; ++n) {
        try {
            entry_host_response response =
                call_entry_host(parse_endpoint(hosts_.at(n % hosts_.size())), request);
            if (response.status < first_http_error_status || n + 1 == attempts_ ||
                response.body.find("home_unreachable") == std::string::npos) {
                return response;
            }
        } catch (const request_error& ex) {
            if (ex.id() == error_id::malformed_request) {
                throw;
            }
            last_error = ex;
        }
    }
    throw request_error(last_error.value_or(
        request_error(error_id::home_unreachable, "no entry host gave a final answer")));
}

} // namespace papayafall
