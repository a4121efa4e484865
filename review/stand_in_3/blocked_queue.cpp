/// One job arrives while the hosts recover from the final fault, and all other jobs are refused
/// from then on. The job can never be done or, with the argument `large`, is a valid one of many
/// tasks.

#include "case.hpp"

#include <functional>
#include <iostream>

namespace {

using namespace review;

constexpr std::size_t host_count = 3;
constexpr std::size_t runner_count = 4;
constexpr std::int64_t room_cpu = 64000;

// The ordinary jobs.
constexpr std::int64_t submission_period_ms = 50;
constexpr std::int64_t task_ms = 50;
constexpr int tasks_per_job = 2;
constexpr std::int64_t task_cpu = 20000;
constexpr std::int64_t deadline_ms = 3000;

// The job that can never be done: after a first task, a second one asks for more than any runner
// has.
constexpr std::int64_t impossible_cpu = 70000;
constexpr std::int64_t impossible_estimate_ms = 8000;

// The large job: its tasks run on different runners, on each of which room is left for others.
constexpr int large_tasks = 9;
constexpr std::int64_t large_cpu = 27000;
constexpr std::int64_t large_task_ms = 12000;

constexpr std::int64_t blocking_deadline_ms = 60000;
/// What a refusal tells its client to wait.
constexpr std::int64_t retry_after_ms = 1000;
/// Time from the return of the machines until it arrives.
constexpr std::int64_t blocking_delay_ms = 2000;

// Of the pages.
constexpr std::int64_t recovery_ms = 12000;

constexpr std::int64_t before_ms = 10000;
constexpr std::int64_t down_ms = 1000;
/// Length of the span after the recovery of which the requests are counted.
constexpr std::int64_t judged_ms = 8000;

std::string impossible_job_body()
{
    using nlohmann::json;
    const json first{{"count", 1}, {"cpu", task_cpu}, {"mem_mb", 64}, {"estimated_ms", task_ms}};
    const json second{{"count", 1},
                      {"cpu", impossible_cpu},
                      {"mem_mb", 64},
                      {"estimated_ms", impossible_estimate_ms},
                      {"after", json::array({0})}};
    return json{{"spec", std::to_string(task_ms)},
                {"best_effort", true},
                {"steps", json::array({first, second})}}
        .dump();
}

std::string large_job_body()
{
    using nlohmann::json;
    const json step{{"count", large_tasks},
                    {"cpu", large_cpu},
                    {"mem_mb", 64},
                    {"estimated_ms", large_task_ms},
                    {"anti_affinity", 1}};
    return json{{"spec", std::to_string(large_task_ms)},
                {"best_effort", true},
                {"steps", json::array({step})}}
        .dump();
}

struct tally {
    int sent = 0;
    int served = 0;

    std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }

    bool is_quarter_served() const { return served * 4 >= sent; }
};

int run(record& log, const std::string& blocking_body)
{
    const temporary_folder folder;
    event_loop loop;
    store entries(loop);
    put_configuration(entries, true);
    std::vector<std::unique_ptr<runner>> runners;
    for (std::size_t n = 0; n < runner_count; ++n) {
        runners.push_back(std::make_unique<runner>(loop, entries, log, "i-" + std::to_string(n + 1),
                                                   "zone-a", room{room_cpu, 262144},
                                                   [](const runner&, const runner::run&) {}));
    }
    fleet hosts(loop, entries, log, folder.path(), {"zone-a"});
    for (std::size_t n = 0; n < host_count; ++n) {
        hosts.add("zone-a");
    }
    std::uint64_t last_job = 0;
    if (!hosts.await_readiness(15000) || !await_service(loop, log, hosts, last_job, 15000)) {
        return exit_could_not_run;
    }

    tally before;
    tally recovering;
    tally after;
    tally* current = &before;
    bool submitting = true;
    loop.every(submission_period_ms, [&] {
        if (!submitting) {
            return;
        }
        const std::uint64_t number = ++last_job;
        ++current->sent;
        submit(loop, log, hosts, number % host_count, job_id(number),
               job_body(task_ms, tasks_per_job, task_cpu), deadline_ms,
               [counted = current](int status, const http_message&) {
                   counted->served += status == 200 ? 1 : 0;
               });
    });
    loop.run_for(before_ms);

    log.write("final fault: all processes are killed");
    current = &recovering;
    for (std::size_t n = 0; n < host_count; ++n) {
        hosts.kill(n);
    }
    loop.run_for(down_ms);
    for (std::size_t n = 0; n < host_count; ++n) {
        hosts.start(n);
    }
    const std::int64_t back_at = now_ms();
    log.write("the machines are back");
    if (!hosts.await_readiness(4000)) {
        return exit_could_not_run;
    }
    loop.run_for(back_at + blocking_delay_ms - now_ms());
    // Its client asks again when it is told that the job has not run.
    const std::string blocking_job = job_id(++last_job);
    std::function<void()> submit_blocking = [&] {
        submit(loop, log, hosts, 0, blocking_job, blocking_body, blocking_deadline_ms,
               [&](int status, const http_message&) {
                   if (submitting && status == 503) {
                       loop.after(retry_after_ms, submit_blocking);
                   }
               });
    };
    if (has_trouble()) {
        log.write("job " + blocking_job + " holds up the others");
        submit_blocking();
    }
    loop.run_for(back_at + recovery_ms - now_ms());
    log.write("the machines have been back for " + std::to_string(recovery_ms) + " ms");
    current = &after;
    loop.run_for(judged_ms);
    submitting = false;
    loop.run_for(deadline_ms + 1000);
    log.write("served before the fault: " + before.text());
    log.write("served of those sent less than 12 s after it: " + recovering.text());
    log.write("served of those sent later: " + after.text());
    if (!before.is_quarter_served()) {
        return exit_could_not_run;
    }
    return log.finish(!after.is_quarter_served(), after.text() + " requests served");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        record log(argv[1]);
        const bool large = argc > 2 && std::string(argv[2]) == "large";
        return run(log, large ? large_job_body() : impossible_job_body());
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return exit_could_not_run;
    }
}
