#pragma once

#include "papayafall/daemon/kept/request_server.hpp"

#include <vector>

namespace papayafall {

/// Records the calls, which the test answers itself.
class recording_handler : public request_handler {
  public:
    void on_request(call_id call, const http_request_message& request,
                    time_point received_at) override
    {
        calls.push_back(call);
        requests.push_back(request);
        received.push_back(received_at);
    }

    void on_abandoned(call_id call) override { abandoned.push_back(call); }

    std::vector<call_id> calls;
    std::vector<http_request_message> requests;
    std::vector<time_point> received;
    std::vector<call_id> abandoned;
};

} // namespace papayafall
