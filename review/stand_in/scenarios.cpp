#include "scenarios.hpp"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace review {

namespace {

const std::vector<std::string> kind_a{"a", "r1-1"};
const std::vector<std::string> kind_b{"b", "r1-1"};

/// Runs of a job, in the order of their starts.
std::vector<const run_entry*> runs_of(const deployment& site, const std::string& job)
{
    std::vector<const run_entry*> found;
    for (const run_entry& it : site.runs) {
        if (it.job() == job) {
            found.push_back(&it);
        }
    }
    return found;
}

} // namespace

bool play_lost_at_shutdown(deployment& site, bool trouble)
{
    constexpr std::size_t client_count = 150;
    constexpr std::int64_t mean_pause_ms = 5000;
    constexpr int rounds = 8;
    constexpr milliseconds round_length{9500};
    constexpr milliseconds stop_after{3000};
    constexpr milliseconds deadline{1500};
    constexpr milliseconds work{110};

    daemon_process& stopped = site.add_daemon("edge-a-1", "zone-a");
    site.add_daemon("edge-a-2", "zone-a");
    for (int n = 0; n < 6; ++n) {
        site.add_runner("i-" + std::to_string(n), "zone-a", kind_a);
    }
    site.start();

    std::mt19937_64 random(27);
    std::exponential_distribution<double> pause(1.0 / mean_pause_ms);
    bool submitting = true;
    // Each client keeps its connection and sends a job now and then, until the daemon closes it.
    const std::function<void(std::shared_ptr<http_client>)> send_later =
        [&](const std::shared_ptr<http_client>& client) {
            site.loop.after(milliseconds(static_cast<std::int64_t>(pause(random))), [&, client] {
                if (!submitting || !client->is_open()) {
                    return;
                }
                const std::string job = site.make_job({{.work = work}}).id;
                site.submit(
                    client, stopped, job, deadline,
                    [&, client](const attempt&, const call_result&) { send_later(client); });
            });
        };
    for (int n = 0; n < rounds; ++n) {
        for (std::size_t k = 0; k < client_count; ++k) {
            const auto client = site.connect(stopped);
            site.loop.after(milliseconds(10 * static_cast<int>(k)), [&, client] {
                const std::string job = site.make_job({{.work = milliseconds(50)}}).id;
                site.submit(
                    client, stopped, job, deadline,
                    [&, client](const attempt&, const call_result&) { send_later(client); });
            });
        }
        if (trouble) {
            site.loop.after(stop_after, [&] { stopped.send_signal(SIGTERM); });
        }
        site.loop.run_for(round_length);
        if (trouble && !stopped.running()) {
            stopped.start();
            if (!stopped.wait_until_ready(milliseconds(10'000))) {
                throw case_not_run("the daemon does not come back");
            }
        }
    }
    submitting = false;
    site.loop.run_for(milliseconds(2000));

    bool broken = false;
    for (const attempt& it : site.attempts) {
        const bool cut = it.ended_ms >= 0 && it.status == 0 && !it.timed_out;
        if (!cut) {
            continue;
        }
        const auto runs = runs_of(site, it.job);
        if (runs.empty()) {
            continue; // it was not passed on to a runner
        }
        broken = true;
        site.out.write("LOST: job " + it.job + ", sent at " + std::to_string(it.sent_ms) +
                       " ms, was started by a runner at " +
                       std::to_string(runs.front()->started_ms) +
                       " ms, and its connection ended without an answer at " +
                       std::to_string(it.ended_ms) + " ms");
    }
    return broken;
}

bool play_label_of_former_incarnation(deployment& site, bool trouble)
{
    constexpr milliseconds deadline{1500};
    constexpr milliseconds submit_period{25};
    constexpr int rounds = 5;
    constexpr milliseconds down_time{3000};
    constexpr milliseconds gap{30};

    daemon_process& daemon = site.add_daemon("edge-a-1", "zone-a");
    site.add_daemon("edge-b-1", "zone-b");
    std::vector<runner*> rack;
    for (int n = 0; n < 4; ++n) {
        rack.push_back(&site.add_runner("i-rack1-" + std::to_string(n), "zone-a", kind_a, 32'000));
    }
    for (int n = 0; n < 13; ++n) {
        site.add_runner("i-rack2-" + std::to_string(n), "zone-a", {"a", "r1-2"}, 64'000);
        site.add_runner("i-rack3-" + std::to_string(n), "zone-b", {"a", "r2-1"}, 64'000);
    }
    site.start();

    bool submitting = true;
    const std::function<void()> submit = [&] {
        if (!submitting) {
            return;
        }
        const std::string job =
            site.make_job({{.cpu = 8000, .work = milliseconds(100), .required_label = "a"}}).id;
        site.submit(site.connect(daemon), daemon, job, deadline);
        site.loop.after(submit_period, submit);
    };
    submit();
    site.loop.run_for(milliseconds(3000));
    for (int n = 0; n < rounds && trouble; ++n) {
        // All runners of a rack crash, and come back one after the other as another kind.
        for (runner* const it : rack) {
            it->crash();
        }
        for (std::size_t k = 0; k < rack.size(); ++k) {
            const auto labels = n % 2 == 0 ? kind_b : kind_a;
            site.loop.after(down_time + gap * static_cast<int>(k),
                            [&, it = rack[k], labels] { it->restart(labels); });
        }
        site.loop.run_for(milliseconds(9000));
    }
    if (!trouble) {
        site.loop.run_for(milliseconds(9000) * rounds);
    }
    submitting = false;
    site.loop.run_for(milliseconds(2000));

    bool broken = false;
    for (const run_entry& it : site.runs) {
        const std::string& wanted = site.jobs.at(it.job()).steps[it.step()].required_label;
        const bool has_label = wanted.empty() || std::find(it.labels.begin(), it.labels.end(),
                                                           wanted) != it.labels.end();
        if (!has_label) {
            broken = true;
            site.out.write("ROUTE: " + it.task + " requires label " + wanted + " and started at " +
                           std::to_string(it.started_ms) + " ms on " + it.runner +
                           ", which has label " + it.labels.front());
        }
    }
    return broken;
}

bool play_stale_requests_after_freeze(deployment& site, bool trouble)
{
    constexpr int client_count = 24;
    constexpr milliseconds deadline{1500};
    constexpr milliseconds resend_delay{1300};
    constexpr milliseconds freeze_time{4000};
    constexpr milliseconds work{1000};
    constexpr int rounds = 3;

    daemon_process& frozen = site.add_daemon("edge-a-1", "zone-a");
    daemon_process& other = site.add_daemon("edge-b-1", "zone-b");
    for (int n = 0; n < 4; ++n) {
        site.add_runner("i-a" + std::to_string(n), "zone-a", kind_a);
        site.add_runner("i-b" + std::to_string(n), "zone-b", {"a", "r2-1"});
    }
    site.start();

    for (int n = 0; n < rounds; ++n) {
        if (trouble) {
            frozen.send_signal(SIGSTOP);
            site.loop.after(freeze_time, [&] { frozen.send_signal(SIGCONT); });
        }
        for (int k = 0; k < client_count; ++k) {
            const std::string job = site.make_job({{.cpu = 2000, .work = work}}).id;
            site.loop.after(milliseconds(300 + 30 * k), [&, job] {
                site.submit(site.connect(frozen), frozen, job, deadline,
                            [&, job](const attempt&, const call_result& result) {
                                if (result.status != 0 && result.status != 502 &&
                                    result.status != 504) {
                                    return;
                                }
                                site.loop.after(resend_delay, [&, job] {
                                    site.submit(site.connect(other), other, job, deadline);
                                });
                            });
            });
        }
        site.loop.run_for(milliseconds(12'000));
    }

    bool broken = false;
    for (const auto& [id, job] : site.jobs) {
        const auto runs = runs_of(site, id);
        for (std::size_t k = 0; k < runs.size(); ++k) {
            for (std::size_t m = k + 1; m < runs.size(); ++m) {
                const run_entry& first = *runs[k];
                const run_entry& second = *runs[m];
                const bool overlap = first.ended_ms < 0 || first.ended_ms > second.started_ms;
                if (first.task == second.task && overlap) {
                    broken = true;
                    site.out.write("TWICE: " + first.task + " runs from " +
                                   std::to_string(first.started_ms) + " to " +
                                   std::to_string(first.ended_ms) + " ms on " + first.runner +
                                   " and from " + std::to_string(second.started_ms) + " to " +
                                   std::to_string(second.ended_ms) + " ms on " + second.runner);
                }
            }
        }
    }
    return broken;
}

bool play_cancel_after_shift(deployment& site, bool trouble)
{
    constexpr milliseconds ack_bound{4000};
    constexpr milliseconds cancel_bound{3000};
    constexpr milliseconds cancel_delay{300};
    constexpr milliseconds first_work{8100};
    constexpr milliseconds deadline{10'000};
    constexpr int job_count = 5;
    constexpr int staying_clients = 3; ///< for each one that moves and cancels its job

    daemon_process& first = site.add_daemon("edge-a-1", "zone-a");
    daemon_process& second = site.add_daemon("edge-b-1", "zone-b");
    for (int n = 0; n < 4; ++n) {
        site.add_runner("i-a" + std::to_string(n), "zone-a", kind_a);
        site.add_runner("i-b" + std::to_string(n), "zone-b", {"a", "r2-1"});
    }
    site.start();

    std::map<std::string, std::int64_t> cancel_sent_ms; ///< of the cancels that were acknowledged
    for (int n = 0; n < job_count; ++n) {
        const step_definition second_step{.count = 2, .work = milliseconds(500), .after = {0}};
        const std::string job = site.make_job({{.count = 2, .work = first_work}, second_step}).id;
        site.submit(site.connect(first), first, job, deadline);
        for (int k = 0; k < staying_clients; ++k) {
            const std::string other = site.make_job({{.work = milliseconds(300)}}).id;
            site.submit(site.connect(first), first, other, deadline);
        }
        // New connections of clients that have moved to zone-b are forwarded to its daemon.
        const daemon_process& at = trouble ? second : first;
        site.loop.after(cancel_delay, [&, job] {
            const auto client = site.connect(at);
            const std::int64_t sent_ms = site.out.elapsed_ms();
            site.out.write("job " + job + " is cancelled at " + at.name());
            client->send("DELETE", deployment::path_of(job), {{"Host", deployment::hostname}}, "",
                         ack_bound, [&, job, sent_ms, client](const call_result& result) {
                             site.out.write("cancel of " + job + ": " +
                                            std::to_string(result.status) + " " + result.body);
                             if (result.status / 100 == 2 || result.status == 410) {
                                 cancel_sent_ms[job] = sent_ms;
                             }
                         });
        });
        site.loop.run_for(milliseconds(1000));
    }
    site.loop.run_for(milliseconds(10'000));

    if (cancel_sent_ms.empty()) {
        throw case_not_run("no cancel was acknowledged");
    }
    bool broken = false;
    for (const auto& [job, sent_ms] : cancel_sent_ms) {
        for (const run_entry* const it : runs_of(site, job)) {
            // Later than the rule allows even if the answer did not count as an acknowledgement.
            if (it->started_ms > sent_ms + (ack_bound + cancel_bound).count()) {
                broken = true;
                site.out.write("UNASKED: " + it->task + " started at " +
                               std::to_string(it->started_ms) +
                               " ms, and the cancel of its job was sent at " +
                               std::to_string(sent_ms) + " ms and acknowledged");
            }
        }
    }
    return broken;
}

bool play_crash_by_request(deployment& site, bool trouble)
{
    constexpr std::uint32_t tasks_per_step = 70;
    constexpr int job_count = 14;
    constexpr milliseconds job_period{5000};
    constexpr milliseconds deadline{1500};
    constexpr milliseconds resend_delay{1300};
    constexpr milliseconds restart_period{300};
    constexpr int ends_of_a_fault = 3;
    constexpr int machines_of_a_fault = 2;

    std::vector<daemon_process*> daemons;
    for (int n = 1; n <= 3; ++n) {
        daemons.push_back(&site.add_daemon("edge-a-" + std::to_string(n), "zone-a"));
    }
    for (int n = 0; n < 4; ++n) {
        site.add_runner("i-a" + std::to_string(n), "zone-a", kind_a);
    }
    site.start();

    std::map<std::string, int> own_ends;
    const std::function<void()> restart_ended = [&] {
        for (daemon_process* const it : daemons) {
            if (!it->running()) {
                ++own_ends[it->name()];
                it->start();
            }
        }
        site.loop.after(restart_period, restart_ended);
    };
    restart_ended();
    const std::function<void(std::string, std::size_t)> submit = [&](const std::string& job,
                                                                     std::size_t at) {
        daemon_process& daemon = *daemons[at % daemons.size()];
        site.submit(site.connect(daemon), daemon, job, deadline,
                    [&, job, at](const attempt&, const call_result& result) {
                        if (result.status == 0 || result.status == 502) {
                            site.loop.after(resend_delay, [&, job, at] { submit(job, at + 1); });
                        }
                    });
    };
    for (int n = 0; n < job_count; ++n) {
        const step_definition first{.count = tasks_per_step, .cpu = 200, .work = milliseconds(50)};
        step_definition second = first;
        // Each task of the second step depends on each of the first. With the trouble the client
        // lists the step once for each of these dependencies, else once.
        second.after.assign(trouble ? tasks_per_step * tasks_per_step : 1, 0);
        submit(site.make_job({first, second}).id, static_cast<std::size_t>(n));
        site.loop.run_for(job_period);
    }

    int machines = 0;
    for (const auto& [name, count] : own_ends) {
        machines += count >= ends_of_a_fault ? 1 : 0;
        site.out.write("Fault: the process of " + name + " has ended by itself " +
                       std::to_string(count) + " times");
    }
    return machines >= machines_of_a_fault;
}

} // namespace review
