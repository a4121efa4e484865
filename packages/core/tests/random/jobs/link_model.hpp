#pragma once

#include "random/jobs/network_model.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"
#include "papayafall/core/jobs/messages/job_event.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace papayafall::random_runs {

/// One end of a link: a life of a host.
struct link_end {
    std::string host;
    incarnation_id incarnation;
    std::function<void(const jobs::job_event&)> deliver; ///< to the life that made the end
    std::function<bool()> running;                       ///< alive and not suspended
};

/// A connection from one host to another, as `job_links` keeps it: what was sent arrives in order
/// or not at all, and either end takes silence for the end.
class link_model : public std::enable_shared_from_this<link_model> {
  public:
    link_model(link_end opener, link_end accepter, jobs::link_number number, schedule& time,
               network_model& network);
    link_model(const link_model&) = delete;
    link_model& operator=(const link_model&) = delete;
    ~link_model() = default;

    jobs::link_number number() const noexcept { return number_; }

    const std::string& accepter() const noexcept { return sides_[1].end.host; }

    bool opener_lost() const noexcept { return sides_[0].lost; }

    /// Tells both ends of the link and begins to watch for silence.
    void open();

    void send_to_accepter(const jobs::job_event& it) { send(1, it); }

    void send_to_opener(const jobs::job_event& it) { send(0, it); }

    /// The process of an end closed its side, or is gone.
    void close(const std::string& host);

  private:
    struct side {
        link_end end;
        bool lost = false;
        time_point heard_at{};
        std::deque<jobs::job_event> in_flight;
    };

    void send(std::size_t to, const jobs::job_event& it);
    void arrive(std::size_t to);
    void mark_lost(std::size_t index);
    void check_silence();

    schedule& time_;
    network_model& network_;
    jobs::link_number number_;
    std::array<side, 2> sides_; ///< opener and accepter
};

} // namespace papayafall::random_runs
