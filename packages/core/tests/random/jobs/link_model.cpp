#include "random/jobs/link_model.hpp"

#include <chrono>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr duration silence_timeout = milliseconds(700);
constexpr duration heartbeat_period = milliseconds(100);
/// Time between two attempts to deliver a message that a cut path or a suspended receiver holds up.
constexpr duration resend_period = milliseconds(10);

} // namespace

link_model::link_model(link_end opener, link_end accepter, jobs::link_number number,
                       scheduler& time, network_model& network)
    : time_(time), network_(network),
      number_(number), sides_{side{.end = std::move(opener)}, side{.end = std::move(accepter)}}
{
}

void link_model::open()
{
    for (side& it : sides_) {
        it.last_received_at = time_.now();
    }
    send(0,
         jobs::peer_connected{host_name(sides_[1].end.host), sides_[1].end.incarnation, number_});
    send(1, jobs::delegator_connected{number_});
    check_silence();
}

bool link_model::up() const
{
    return !sides_[0].lost && !sides_[1].lost && sides_[0].end.running() &&
           sides_[1].end.running() && network_.open(sides_[0].end.host, sides_[1].end.host);
}

void link_model::send(std::size_t to, const jobs::job_event& it)
{
    if (sides_[1 - to].lost || sides_[to].lost) {
        return;
    }
    sides_[to].in_flight.push_back(it);
    time_.after(network_.delay(), [self = shared_from_this(), to] { self->arrive(to); });
}

void link_model::arrive(std::size_t to)
{
    side& receiver = sides_[to];
    if (receiver.lost || receiver.in_flight.empty()) {
        return;
    }
    if (!receiver.end.running() || !network_.open(sides_[0].end.host, sides_[1].end.host)) {
        time_.after(resend_period, [self = shared_from_this(), to] { self->arrive(to); });
        return;
    }
    if (time_.now() >= receiver.last_received_at + silence_timeout) {
        mark_lost(to);
        return;
    }
    const jobs::job_event next = receiver.in_flight.front();
    receiver.in_flight.pop_front();
    receiver.last_received_at = time_.now();
    receiver.end.deliver(next);
}

void link_model::close(const std::string& host)
{
    for (std::size_t n = 0; n < sides_.size(); ++n) {
        if (sides_[n].end.host != host) {
            continue;
        }
        mark_lost(n);
        network_.carry(host, sides_[1 - n].end.host,
                       [self = shared_from_this(), n] { self->mark_lost(1 - n); });
    }
}

void link_model::mark_lost(std::size_t index)
{
    if (sides_[index].lost) {
        return;
    }
    sides_[index].lost = true;
    if (index == 0) {
        sides_[index].end.deliver(jobs::peer_lost{host_name(sides_[1].end.host)});
    } else {
        sides_[index].end.deliver(jobs::delegator_lost{number_});
    }
}

void link_model::check_silence()
{
    if (sides_[0].lost && sides_[1].lost) {
        return;
    }
    const bool path_open = network_.open(sides_[0].end.host, sides_[1].end.host);
    for (std::size_t n = 0; n < sides_.size(); ++n) {
        const side& other = sides_[1 - n];
        if (!sides_[n].end.running()) {
            continue;
        }
        if (time_.now() >= sides_[n].last_received_at + silence_timeout) {
            mark_lost(n);
        } else if (path_open && !other.lost && other.end.running()) {
            sides_[n].last_received_at = time_.now();
        }
    }
    time_.after(heartbeat_period, [self = shared_from_this()] { self->check_silence(); });
}

} // namespace papayafall::random_runs
