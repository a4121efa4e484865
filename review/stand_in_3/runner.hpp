#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace review {

/// What a runner can take, in the units of the pages.
struct room {
    std::int64_t cpu = 0;
    std::int64_t mem_mb = 0;
};

/// A runner that does not guard its room: it starts whatever it is told to.
class runner {
  public:
    /// A run that the runner has begun.
    struct run {
        std::string task;
        std::uint64_t number = 0;
        std::int64_t begun_at = 0;
        std::int64_t length_ms = 0;
    };

    /// Called when a run begins.
    using start_observer = std::function<void(const runner&, const run&)>;

    runner(event_loop& loop, store& entries, record& log, std::string id, std::string zone,
           room size, start_observer on_start);

    const std::string& id() const { return id_; }

    /// Changes the room; the runner says so in its entry at once.
    void set_room(room next);

    const room& size() const { return room_; }

    /// Processor shares of the runs that have not ended.
    std::int64_t used_cpu(const std::function<std::int64_t(const std::string& task)>& cpu_of) const;

    const std::map<std::string, run>& running() const { return running_; }

  private:
    struct waiting_hold {
        std::uint64_t last_seen = 0;
        std::int64_t deadline = 0;
        http_server::responder answer;
    };

    std::int64_t clock_ms() const { return now_ms() - begun_at_ + 1000; }

    void beat();
    void on_request(const http_message& request, const http_server::responder& answer);
    void start(const nlohmann::json& body, const http_server::responder& answer);
    void stop(const nlohmann::json& body, const http_server::responder& answer);
    void extend(const nlohmann::json& body);
    void end(const std::string& task, const std::string& how);
    void tick();
    void answer_holds();
    void reply(const http_server::responder& answer, int status, nlohmann::json body) const;

    event_loop& loop_;
    store& store_;
    record& record_;
    std::string id_;
    std::string zone_;
    room room_;
    start_observer on_start_;
    std::int64_t begun_at_;
    std::int64_t born_ms_;
    std::int64_t sequence_ = 0;
    std::uint64_t highest_token_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, run> running_;
    std::map<std::string, std::uint64_t> closed_; ///< highest run that was stopped or has ended
    nlohmann::json ended_ = nlohmann::json::array();
    std::list<waiting_hold> holds_;
    std::unique_ptr<http_server> server_;
};

} // namespace review
