#include "cases.hpp"

#include "partition.hpp"

#include <algorithm>
#include <csignal>
#include <future>

namespace review {

namespace {

constexpr const char* zone_a = "kranj-a";
constexpr const char* zone_b = "skofja-b";

bool is_acknowledged(int status)
{
    return (status >= 200 && status < 300) || status == 410;
}

/// Two hosts in one zone, one in another, and runners in both.
bool start_three_hosts(deployment& system, std::vector<worker*>& workers)
{
    for (int n = 1; n <= 4; ++n) {
        workers.push_back(&system.add_worker("i-a" + std::to_string(n), zone_a,
                                             {"a", "r1-" + std::to_string(n)}));
    }
    for (int n = 1; n <= 2; ++n) {
        workers.push_back(&system.add_worker("i-b" + std::to_string(n), zone_b,
                                             {"a", "r2-" + std::to_string(n)}));
    }
    system.configure(7, true, 20'000);
    system.add_daemon("edge-kranj-a-1", zone_a);
    system.add_daemon("edge-kranj-a-2", zone_a);
    system.add_daemon("edge-skofja-b-1", zone_b);
    return system.start();
}

http_reply post_job(deployment& system, daemon_process& to, const std::string& id,
                    const std::string& body, milliseconds deadline)
{
    system.log().add("client: POST " + id + " to " + to.name());
    const http_reply reply = call(to.frontend(), submission(id, body, deadline), deadline);
    system.log().add("client: POST " + id + " answered " + std::to_string(reply.status) + " " +
                     reply.body);
    return reply;
}

http_reply cancel_job(deployment& system, daemon_process& to, const std::string& id)
{
    constexpr milliseconds deadline{1500};
    system.log().add("client: DELETE " + id + " to " + to.name());
    const http_reply reply = call(to.frontend(), cancellation(id, deadline), deadline);
    system.log().add("client: DELETE " + id + " answered " + std::to_string(reply.status));
    return reply;
}

/// Whether a task of a job has started.
bool has_started(deployment& system, const std::string& job)
{
    const std::vector<started_run> all = system.starts();
    return std::any_of(all.begin(), all.end(),
                       [&](const started_run& it) { return it.task.starts_with(job); });
}

/// Whether a task of a job has started after an instant; logs each such start.
bool has_late_start(deployment& system, const std::string& job, std::int64_t at_ms)
{
    bool found = false;
    for (const started_run& it : system.starts()) {
        if (!it.task.starts_with(job) || it.at_ms <= at_ms) {
            continue;
        }
        system.log().add("broken: " + it.task + " started on " + it.worker + " " +
                         std::to_string(it.at_ms - at_ms) + " ms after the last permitted instant");
        found = true;
    }
    return found;
}

/// Steps of two tasks each that follow one another.
std::vector<step_text> chain_of(std::size_t length, milliseconds run_time)
{
    step_text step;
    step.count = 2;
    step.estimated_ms = run_time.count();
    return std::vector<step_text>(length, step);
}

/// Whether a first job is served.
bool serves(deployment& system, daemon_process& entry)
{
    const http_reply reply = post_job(system, entry, "00000000000000aa",
                                      job_body(chain_of(1, milliseconds(50))), milliseconds(5000));
    return reply.status == 200;
}

} // namespace

verdict cancel_at_other_daemon(deployment& system, bool disrupted)
{
    std::vector<worker*> workers;
    if (!start_three_hosts(system, workers)) {
        return verdict::not_run;
    }
    const std::string holder = system.holder_of(zone_a);
    daemon_process& entry =
        system.daemon(holder == "edge-kranj-a-1" ? "edge-kranj-a-2" : "edge-kranj-a-1");
    daemon_process& other = system.daemon(holder);
    system.log().add("cells of " + std::string(zone_a) + " are held by " + holder);
    if (!serves(system, entry)) {
        return verdict::not_run;
    }
    constexpr milliseconds run_time{500};
    for (worker* const it : workers) {
        it->set_run_time(run_time);
    }
    const std::string id = "00000000000000bb";
    const std::string body = job_body(chain_of(14, run_time));
    auto answer = std::async(std::launch::async, [&] {
        return post_job(system, entry, id, body, milliseconds(15'000));
    });
    if (!wait_until(milliseconds(3000), [&] { return has_started(system, id); })) {
        return verdict::not_run;
    }
    if (disrupted) {
        entry.send_signal(SIGTERM);
    }
    // The platform's balancer asks once a second; after two misses it forwards new connections to
    // the other daemon of the zone.
    int misses = 0;
    for (int n = 0; n < 3 && misses < 2; ++n) {
        std::this_thread::sleep_for(milliseconds(n == 0 ? 200 : 1000));
        misses = entry.ready() ? 0 : misses + 1;
        system.log().add("balancer: " + entry.name() + (misses == 0 ? " ready" : " not ready"));
    }
    daemon_process& chosen = misses >= 2 ? other : entry;
    const http_reply cancelled = cancel_job(system, chosen, id);
    const std::int64_t acknowledged_at = now_ms();
    if (!is_acknowledged(cancelled.status)) {
        return verdict::not_run;
    }
    answer.wait();
    if (disrupted && &chosen == &entry) {
        return verdict::not_run;
    }
    return has_late_start(system, id, acknowledged_at + cancel_ms) ? verdict::broken
                                                                   : verdict::held;
}

verdict cancel_after_route_change(deployment& system, bool disrupted)
{
    std::vector<worker*> workers;
    if (!start_three_hosts(system, workers)) {
        return verdict::not_run;
    }
    daemon_process& entry = system.daemon("edge-kranj-a-1");
    if (!serves(system, entry)) {
        return verdict::not_run;
    }
    constexpr milliseconds run_time{500};
    for (worker* const it : workers) {
        it->set_run_time(run_time);
    }
    const std::string id = "00000000000000cc";
    const std::string body = job_body(chain_of(30, run_time));
    auto answer = std::async(std::launch::async, [&] {
        return post_job(system, entry, id, body, milliseconds(20'000));
    });
    if (!wait_until(milliseconds(3000), [&] { return has_started(system, id); })) {
        return verdict::not_run;
    }
    system.configure(9, !disrupted, 19'000);
    std::this_thread::sleep_for(milliseconds(2500)); // more than config_apply_ms
    const std::int64_t asked_at = now_ms();
    std::int64_t acknowledged_at = -1;
    while (acknowledged_at < 0 && now_ms() < asked_at + ack_ms) {
        if (is_acknowledged(cancel_job(system, entry, id).status)) {
            acknowledged_at = now_ms();
        } else {
            std::this_thread::sleep_for(milliseconds(1000));
        }
    }
    answer.wait();
    const std::int64_t counted_from = acknowledged_at < 0 ? asked_at + ack_ms : acknowledged_at;
    return has_late_start(system, id, counted_from + cancel_ms) ? verdict::broken : verdict::held;
}

verdict copy_after_cancel(deployment& system, bool disrupted)
{
    std::vector<worker*> workers;
    if (!start_three_hosts(system, workers)) {
        return verdict::not_run;
    }
    daemon_process& entry = system.daemon("edge-kranj-a-1");
    daemon_process& other = system.daemon("edge-kranj-a-2");
    if (!serves(system, entry)) {
        return verdict::not_run;
    }
    constexpr milliseconds run_time{500};
    constexpr milliseconds deadline{15'000};
    for (worker* const it : workers) {
        it->set_run_time(run_time);
    }
    const std::string id = "00000000000000ee";
    const std::string body = job_body(chain_of(6, run_time));
    if (disrupted) {
        send_and_break(entry.frontend(), submission(id, body, deadline));
        system.log().add("client: POST " + id + " to " + entry.name() + ", the connection breaks");
        std::this_thread::sleep_for(milliseconds(resend_ms));
    }
    auto answer =
        std::async(std::launch::async, [&] { return post_job(system, entry, id, body, deadline); });
    if (!wait_until(milliseconds(3000), [&] { return has_started(system, id); })) {
        return verdict::not_run;
    }
    std::this_thread::sleep_for(milliseconds(300));
    const int cancelled = cancel_job(system, entry, id).status;
    const std::int64_t acknowledged_at = now_ms();
    const int answered = answer.get().status;
    if (!is_acknowledged(cancelled) || answered != 200) {
        return verdict::not_run;
    }
    std::this_thread::sleep_for(milliseconds(cancel_ms + 500));
    if (disrupted) {
        system.log().add("network: the copy of the first request arrives");
        post_job(system, other, id, body, deadline);
    }
    return has_late_start(system, id, acknowledged_at + cancel_ms) ? verdict::broken
                                                                   : verdict::held;
}

verdict request_after_partition(deployment& system, bool disrupted)
{
    std::vector<worker*> workers;
    for (int n = 1; n <= 2; ++n) {
        const std::string number = std::to_string(n);
        workers.push_back(&system.add_worker("i-a" + number, zone_a, {"a", "r1-" + number}));
        workers.push_back(&system.add_worker("i-b" + number, zone_b, {"a", "r2-" + number}));
    }
    system.configure(7, true, 1500);
    daemon_process& entry = system.add_daemon("edge-kranj-a-1", zone_a);
    daemon_process& other = system.add_daemon("edge-skofja-b-1", zone_b);
    if (!system.start()) {
        return verdict::not_run;
    }
    constexpr milliseconds round_trip{6};
    constexpr milliseconds deadline{1500};
    constexpr milliseconds run_time{800};
    partition network(entry.frontend(), round_trip);
    auto connection = std::make_unique<client_connection>(network.port());
    const std::string first = "0000000000000001";
    const int served =
        connection
            ->exchange(submission(first, job_body(chain_of(1, milliseconds(50))), deadline),
                       deadline)
            .status;
    system.log().add("client: POST " + first + " to " + entry.name() + " answered " +
                     std::to_string(served));
    if (served != 200) {
        return verdict::not_run;
    }
    for (worker* const it : workers) {
        it->set_run_time(run_time);
    }
    if (disrupted) {
        system.log().add("network: the clients' bytes to and from " + entry.name() +
                         " are held up");
        network.set_cut(true);
    }
    const std::string id = "00000000000000ff";
    const http_request request = submission(id, job_body(chain_of(1, run_time)), deadline);
    system.log().add("client: POST " + id + " to " + entry.name() + " on the same connection");
    const int status = connection->exchange(request, deadline).status;
    system.log().add("client: POST " + id + " answered " + std::to_string(status) +
                     (status == 0 ? ", closes the connection" : ""));
    connection.reset();
    if (status == 0) {
        std::this_thread::sleep_for(milliseconds(resend_ms));
        auto answer = std::async(std::launch::async, [&] {
            return post_job(system, other, id, job_body(chain_of(1, run_time)), deadline);
        });
        std::this_thread::sleep_for(milliseconds(400));
        system.log().add("network: the bytes arrive at " + entry.name());
        network.set_cut(false);
        answer.wait();
    }
    std::this_thread::sleep_for(milliseconds(1000));
    bool broken = false;
    const std::vector<started_run> all = system.starts();
    for (std::size_t n = 0; n < all.size(); ++n) {
        for (std::size_t k = n + 1; k < all.size(); ++k) {
            if (all[n].task == all[k].task && all[k].at_ms < all[n].ended_at_ms) {
                system.log().add("broken: " + all[n].task + " runs on " + all[n].worker + " and " +
                                 all[k].worker + " for " +
                                 std::to_string(std::min(all[n].ended_at_ms, all[k].ended_at_ms) -
                                                all[k].at_ms) +
                                 " ms");
                broken = true;
            }
        }
    }
    return broken ? verdict::broken : verdict::held;
}

verdict label_after_restart(deployment& system, bool disrupted)
{
    worker& restarted = system.add_worker("i-a1", zone_a, {"a", "r1-1"});
    system.add_worker("i-a2", zone_a, {"b", "r1-1"});
    system.add_worker("i-a3", zone_a, {"b", "r1-2"});
    system.add_worker("i-a4", zone_a, {"a", "r1-2"});
    system.add_worker("i-b1", zone_b, {"a", "r2-1"});
    system.configure(7, true, 1500);
    daemon_process& entry = system.add_daemon("edge-kranj-a-1", zone_a);
    system.add_daemon("edge-skofja-b-1", zone_b);
    if (!system.start() || !serves(system, entry)) {
        return verdict::not_run;
    }
    bool broken = false;
    constexpr int rounds = 8;
    for (int n = 0; n < rounds; ++n) {
        const bool was_a = n % 2 == 0;
        const std::string wanted = was_a ? "a" : "b";
        std::this_thread::sleep_for(milliseconds(3000));
        if (disrupted) {
            restarted.crash();
            std::this_thread::sleep_for(milliseconds(1000));
            restarted.start({was_a ? "b" : "a", "r1-1"});
        }
        for (int k = 0; k < 4; ++k) {
            std::this_thread::sleep_for(milliseconds(50));
            const std::string id =
                wanted + std::string(13, '0') + std::to_string(n) + std::to_string(k);
            step_text step;
            step.required_label = wanted;
            post_job(system, entry, id, job_body({step}), milliseconds(1500));
        }
    }
    for (const started_run& it : system.starts()) {
        const std::string wanted = it.task.substr(0, 1);
        if (wanted != "0" && it.labels.front() != wanted) {
            system.log().add("broken: " + it.task + " needs the label " + wanted +
                             " and started on " + it.worker + ", whose label was " +
                             it.labels.front());
            broken = true;
        }
    }
    return broken ? verdict::broken : verdict::held;
}

} // namespace review
