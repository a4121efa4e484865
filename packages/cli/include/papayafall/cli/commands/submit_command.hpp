#pragma once

#include "papayafall/cli/command.hpp"
#include "papayafall/cli/http/blocking_http.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// `papayafall submit`: submits a single task or a job and prints the answer.
///
/// Without `--key` it first fetches a ticket as the idempotency key. If an answer is lost, the
/// submission can then be retried at any entry host without a task running twice.
class submit_command : public command {
  public:
    CLI::App* attach(CLI::App& app) override;
    exit_code run() override;

  private:
    std::string take_ticket() const;
    entry_host_request make_request(const std::string& key) const;
    entry_host_response submit(const entry_host_request& request) const;

    std::vector<std::string> hosts_{"127.0.0.1:8080"};
    std::string service_;
    std::vector<std::string> tasks_;
    bool submit_as_job_ = false;
    std::string key_;
    std::string team_;
    std::string urgency_;
    std::uint32_t deadline_ms_ = 0;
    std::uint32_t attempts_ = 3;
};

} // namespace papayafall
