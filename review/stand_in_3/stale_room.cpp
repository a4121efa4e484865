/// Runners that do not guard their room shrink while the store rejects the host that gives them
/// orders.

#include "case.hpp"

#include <deque>
#include <iostream>

namespace {

using namespace review;

constexpr std::int64_t full_cpu = 64000;
constexpr std::int64_t shrunk_cpu = 30000;
constexpr std::int64_t task_cpu = 27000;
constexpr std::int64_t task_ms = 600;
constexpr int tasks_per_job = 2;
constexpr std::int64_t submission_period_ms = 250;
constexpr std::size_t runner_count = 2;
constexpr std::size_t host_count = 3;

// Of the pages.
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t heartbeat_interval_ms = 1500;
constexpr std::int64_t rejection_ms = 9000;

/// Time from the start of the rejection until the rooms shrink.
constexpr std::int64_t shrink_delay_ms = 500;

/// A room that a runner has said it has, from an instant on.
struct said_room {
    std::int64_t from = 0;
    std::int64_t cpu = 0;
};

/// Largest room that may be used at `now`: a smaller one counts `contact_ms` and a beat later.
std::int64_t usable_cpu(const std::deque<said_room>& said, std::int64_t now)
{
    std::int64_t largest = said.back().cpu;
    for (std::size_t n = 0; n + 1 < said.size(); ++n) {
        if (now < said[n + 1].from + contact_ms + heartbeat_interval_ms) {
            largest = std::max(largest, said[n].cpu);
        }
    }
    return largest;
}

int run(record& log)
{
    const temporary_folder folder;
    event_loop loop;
    store entries(loop);
    put_configuration(entries, false);
    std::map<std::string, std::deque<said_room>> said;
    std::map<std::string, std::int64_t> cpu_of_job;
    int broken = 0;
    const auto cpu_of = [&](const std::string& task) {
        return cpu_of_job[task.substr(0, task.find('.'))];
    };
    const auto on_start = [&](const runner& it, const runner::run& begun) {
        const std::int64_t used = it.used_cpu(cpu_of);
        const std::int64_t usable = usable_cpu(said[it.id()], now_ms());
        if (used > usable) {
            ++broken;
            log.write("LIMIT: " + begun.task + " brings runner " + it.id() + " to " +
                      std::to_string(used) + " of " + std::to_string(usable));
        }
    };
    std::vector<std::unique_ptr<runner>> runners;
    for (std::size_t n = 0; n < runner_count; ++n) {
        const std::string id = "i-" + std::to_string(n + 1);
        said[id].push_back({now_ms(), full_cpu});
        runners.push_back(std::make_unique<runner>(loop, entries, log, id, "zone-a",
                                                   room{full_cpu, 262144}, on_start));
    }
    fleet hosts(loop, entries, log, folder.path(), {"zone-a"});
    for (std::size_t n = 0; n < host_count; ++n) {
        hosts.add("zone-a");
    }
    std::uint64_t last_job = 0;
    if (!hosts.await_readiness(15000) || !await_service(loop, log, hosts, last_job, 15000)) {
        return exit_could_not_run;
    }
    loop.run_for(3000);

    std::size_t served = 0;
    bool submitting = true;
    loop.every(submission_period_ms, [&] {
        if (!submitting) {
            return;
        }
        const std::string id = job_id(++last_job);
        cpu_of_job[id] = task_cpu;
        submit(loop, log, hosts, last_job % host_count, id,
               job_body(task_ms, tasks_per_job, task_cpu), 8000,
               [&](int status, const http_message&) { served += status == 200 ? 1 : 0; });
    });
    loop.run_for(2000);

    const std::size_t rejected = entries.last_conditional_writer();
    if (has_trouble()) {
        log.write("the store rejects " + hosts.name(rejected));
        entries.set_access(hosts.entrance(rejected), access::busy);
    }
    loop.run_for(shrink_delay_ms);
    for (const auto& it : runners) {
        it->set_room({shrunk_cpu, 262144});
        said[it->id()].push_back({now_ms(), shrunk_cpu});
    }
    loop.run_for(rejection_ms - shrink_delay_ms);
    entries.set_access(hosts.entrance(rejected), access::serve);
    log.write("the store serves all hosts");
    loop.run_for(4000);
    submitting = false;
    loop.run_for(3000);
    log.write(std::to_string(served) + " jobs served");
    if (served == 0) {
        return exit_could_not_run;
    }
    return log.finish(broken > 0,
                      std::to_string(broken) + " starts brought a runner over its room");
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
