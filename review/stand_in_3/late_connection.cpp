/// A cut holds up new connections to a machine. Their requests arrive when the callers have left
/// and have sent their jobs to another machine.

#include "case.hpp"

#include <functional>
#include <iostream>
#include <map>
#include <utility>

namespace {

using namespace review;

constexpr int job_count = 10;
constexpr std::int64_t submission_period_ms = 100;
constexpr std::int64_t task_ms = 800;
constexpr int tasks_per_job = 2;
constexpr std::int64_t task_cpu = 2000;

// Of the pages and the sheet.
constexpr std::int64_t deadline_ms = 1500;
constexpr std::int64_t resend_ms = 1300;
constexpr std::int64_t client_round_trip_ms = 2;

constexpr std::int64_t cut_ms = 4000;
/// Time from the start of the cut until the first job is sent.
constexpr std::int64_t submission_delay_ms = 200;

/// The platform's way to one machine: it forwards each new connection. While the machine is cut
/// off, connections, bytes and ends of connections wait; then they arrive in their order, the end
/// of a connection one round trip after the bytes before it.
class forwarder {
  public:
    forwarder(event_loop& loop, int to_port) : loop_(loop), to_port_(to_port)
    {
        server_ = std::make_unique<http_server>(
            loop, [this](const http_message& request, const http_server::responder& answer) {
                forward(request, answer);
            });
    }

    int port() const { return server_->port(); }

    void set_cut(bool cut)
    {
        cut_ = cut;
        if (cut) {
            return;
        }
        for (const auto& it : std::exchange(waiting_, {})) {
            it();
        }
    }

  private:
    void forward(const http_message& request, const http_server::responder& answer)
    {
        if (cut_) {
            // The client closes its connection at its deadline, before the cut ends.
            waiting_.emplace_back([this, request] { deliver_late(request); });
            return;
        }
        http_call::send(loop_, to_port_, text_of(request),
                        [answer](int status, const http_message& reply) {
                            if (status > 0) {
                                answer(status, reply.body);
                            }
                        });
    }

    void deliver_late(const http_message& request)
    {
        const auto call =
            http_call::send(loop_, to_port_, text_of(request), [](int, const http_message&) {});
        loop_.after(client_round_trip_ms, [call] { call->abandon(); });
    }

    static std::string text_of(const http_message& request)
    {
        return format_request(
            request.word(0), request.word(1), request.header("host"), request.body,
            "Papayafall-Deadline-Ms: " + request.header("papayafall-deadline-ms") + "\r\n");
    }

    event_loop& loop_;
    int to_port_;
    bool cut_ = false;
    std::vector<std::function<void()>> waiting_;
    std::unique_ptr<http_server> server_;
};

int run(record& log)
{
    const temporary_folder folder;
    event_loop loop;
    store entries(loop);
    put_configuration(entries, true);
    int broken = 0;
    std::vector<std::unique_ptr<runner>> runners;
    const auto on_start = [&](const runner& it, const runner::run& begun) {
        for (const auto& other : runners) {
            if (other.get() != &it && other->running().contains(begun.task)) {
                ++broken;
                log.write("TWICE: " + begun.task + " begins at runner " + it.id() +
                          " while it runs at " + other->id());
            }
        }
    };
    for (const std::string zone : {"zone-a", "zone-a", "zone-b", "zone-b"}) {
        runners.push_back(std::make_unique<runner>(loop, entries, log,
                                                   "i-" + std::to_string(runners.size() + 1), zone,
                                                   room{64000, 262144}, on_start));
    }
    fleet hosts(loop, entries, log, folder.path(), {"zone-a", "zone-b"});
    hosts.add("zone-a");
    hosts.add("zone-b");
    std::uint64_t last_job = 0;
    if (!hosts.await_readiness(15000) || !await_service(loop, log, hosts, last_job, 15000)) {
        return exit_could_not_run;
    }
    loop.run_for(2000);

    forwarder way(loop, hosts.callers_port(0));
    if (has_trouble()) {
        log.write(hosts.name(0) + " is cut off from its clients");
        way.set_cut(true);
        loop.after(cut_ms, [&] {
            log.write("the cut ends");
            way.set_cut(false);
        });
    }
    loop.run_for(submission_delay_ms);
    int served = 0;
    const std::string body = job_body(task_ms, tasks_per_job, task_cpu);
    const auto send_again = [&](const std::string& id) {
        submit(loop, log, hosts, 1, id, body, deadline_ms,
               [&](int status, const http_message&) { served += status == 200 ? 1 : 0; });
    };
    const auto send = [&](const std::string& id) {
        const std::string request =
            format_request("POST", queue_prefix + id, queue_host, body,
                           "Papayafall-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n");
        log.write("POST " + id + " to " + hosts.name(0));
        const auto answered = std::make_shared<bool>(false);
        const auto call = http_call::send(
            loop, way.port(), request, [&, id, answered](int status, const http_message& answer) {
                *answered = true;
                served += status == 200 ? 1 : 0;
                log.write("answer to POST " + id + ": " + std::to_string(status) + " " +
                          answer.body);
            });
        loop.after(deadline_ms, [&, id, answered, call] {
            if (*answered) {
                return;
            }
            log.write("client of " + id + " closes its connection");
            call->abandon();
            loop.after(resend_ms, [&, id] { send_again(id); });
        });
    };
    for (int n = 0; n < job_count; ++n) {
        const std::string id = job_id(++last_job);
        loop.after(n * submission_period_ms, [&, id] { send(id); });
    }
    loop.run_for(7000);
    log.write(std::to_string(served) + " of " + std::to_string(job_count) + " jobs served");
    if (served == 0) {
        return exit_could_not_run;
    }
    return log.finish(broken > 0, std::to_string(broken) + " tasks ran twice at the same time");
}

} // namespace

int main(int /*argc*/, char** argv)
{
    try {
        record log(argv[1]);
        return run(log);
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return exit_could_not_run;
    }
}
