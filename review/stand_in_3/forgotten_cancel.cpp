/// A job is cancelled, all hosts are killed at once, and a late copy of the job's request arrives.

#include "case.hpp"

#include <iostream>

namespace {

using namespace review;

constexpr std::int64_t task_ms = 5000;
constexpr std::size_t host_count = 3;

// Of the pages.
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t cancel_ms = 3000;

/// Time from the acknowledgement until the hosts are killed, and from then until they are started.
constexpr std::int64_t kill_delay_ms = 500;
constexpr std::int64_t restart_delay_ms = 1000;
/// Time from the acknowledgement until the late copy arrives.
constexpr std::int64_t copy_delay_ms = 9000;

int run(record& log)
{
    const temporary_folder folder;
    event_loop loop;
    store entries(loop);
    put_configuration(entries, true);
    const std::string cancelled_job = job_id(900001);
    std::int64_t acknowledged_at = 0;
    bool begun = false;
    bool broken = false;
    const auto on_start = [&](const runner&, const runner::run& it) {
        if (!it.task.starts_with(cancelled_job)) {
            return;
        }
        begun = true;
        if (acknowledged_at > 0 && now_ms() > acknowledged_at + cancel_ms) {
            broken = true;
            log.write("UNASKED: " + it.task + " begins " +
                      std::to_string(now_ms() - acknowledged_at) +
                      " ms after its cancelling was acknowledged");
        }
    };
    std::vector<std::unique_ptr<runner>> runners;
    for (const std::string zone : {"zone-a", "zone-a", "zone-b", "zone-b"}) {
        runners.push_back(std::make_unique<runner>(loop, entries, log,
                                                   "i-" + std::to_string(runners.size() + 1), zone,
                                                   room{64000, 262144}, on_start));
    }
    fleet hosts(loop, entries, log, folder.path(), {"zone-a", "zone-b"});
    for (const std::string zone : {"zone-a", "zone-a", "zone-b"}) {
        hosts.add(zone);
    }
    std::uint64_t last_job = 0;
    if (!hosts.await_readiness(15000) || !await_service(loop, log, hosts, last_job, 15000)) {
        return exit_could_not_run;
    }
    loop.run_for(2000);

    const std::string body = job_body(task_ms, 1, 1000);
    int first_status = -1;
    submit(loop, log, hosts, 0, cancelled_job, body, 15000,
           [&](int status, const http_message&) { first_status = status; });
    if (!loop.run_until([&] { return begun; }, 3000)) {
        return exit_could_not_run;
    }
    loop.run_for(500);
    int cancel_status = -1;
    log.write("DELETE " + cancelled_job + " to " + hosts.name(1));
    http_call::send(loop, hosts.callers_port(1),
                    format_request("DELETE", queue_prefix + cancelled_job, queue_host, ""),
                    [&](int status, const http_message&) { cancel_status = status; });
    const bool answered =
        loop.run_until([&] { return cancel_status >= 0 && first_status >= 0; }, 3000);
    log.write("answer to DELETE: " + std::to_string(cancel_status));
    if (!answered || cancel_status != 200 || first_status != 200) {
        return exit_could_not_run;
    }
    acknowledged_at = now_ms();

    loop.run_for(kill_delay_ms);
    if (has_trouble()) {
        for (std::size_t n = 0; n < host_count; ++n) {
            hosts.kill(n);
        }
        loop.run_for(restart_delay_ms);
        for (std::size_t n = 0; n < host_count; ++n) {
            hosts.start(n);
        }
    }
    if (!hosts.await_readiness(4000)) {
        return exit_could_not_run;
    }
    // The hosts are in touch again.
    loop.run_for(std::max(contact_ms, acknowledged_at + copy_delay_ms - now_ms()));
    bool copy_answered = false;
    submit(loop, log, hosts, 2, cancelled_job, body, 15000,
           [&](int, const http_message&) { copy_answered = true; });
    loop.run_until([&] { return copy_answered; }, 10000);
    return log.finish(broken, broken ? "a cancelled job was started" : "it was not started again");
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
