#include "random/world.hpp"

#include <algorithm>
#include <variant>

namespace papayafall::random_runs {

namespace {

constexpr std::uint16_t first_port = 7000;

core_parameters test_parameters()
{
    return core_parameters_fields{
        .record_retention = std::chrono::seconds(60),
        .record_limit = 2000,
        .answer_bytes_limit = 4000,
    };
}

configuration initial_configuration()
{
    configuration_fields it{.revision = revision_id(1)};
    it.services[service_name("book")] = {.time_limit = std::chrono::seconds(8)};
    it.services[service_name("check")] = {.time_limit = std::chrono::seconds(8),
                                          .idempotent = true};
    it.teams[team_name("desk")] = {.slot_quota = 100};
    for (const char* zone : {"a", "b", "c"}) {
        it.zones[zone_name(zone)] = {.seat_count = 2};
    }
    return it;
}

std::string submission_name_of(const request& content)
{
    if (content->tasks.empty()) {
        return "";
    }
    const std::string body(content->tasks.front().body.view());
    return body.substr(0, body.find('/'));
}

std::string describe(const answer& result)
{
    const auto* reason = std::get_if<failure>(&result);
    return reason == nullptr ? "complete"
                             : std::string(to_string(reason->run)) + " (" +
                                   std::string(to_string(reason->id)) + ")";
}

std::string describe(const std::optional<request_key>& key)
{
    if (!key) {
        return "no key";
    }
    if (const auto* it = std::get_if<ticket>(&*key)) {
        return "ticket " + it->host.text() + "#" + std::to_string(it->incarnation.value()) + "/" +
               std::to_string(it->sequence);
    }
    return "key " + std::get<caller_key>(*key).text;
}

/// Converts a deadline from the monotonic clock of one host to that of another.
time_point convert_deadline(time_point deadline, const host_process& from, const host_process& to)
{
    return deadline == no_deadline ? deadline : deadline - from.steady_offset + to.steady_offset;
}

} // namespace

world::world(std::uint64_t seed)
    : rng_(seed), platform_(time_, rng_), targets_(time_, rng_, history_)
{
    summary_.seed = seed;
    platform_.set_configuration(initial_configuration());
    std::uint16_t number = 0;
    for (const char* zone : {"a", "b", "c"}) {
        for (const char* index : {"1", "2"}) {
            const std::string name = std::string(zone) + index;
            host_process host;
            host.name = host_name(name);
            host.zone = zone_name(zone);
            host.number = number++;
            hosts_.push_back(std::move(host));
            targets_.add(target_entry{.name = target_name("t-" + name),
                                      .zone = zone_name(zone),
                                      .address = {.address = "10.0.0.1", .port = number},
                                      .slots = 4});
        }
    }
    for (host_process& it : hosts_) {
        start_process(it);
    }
}

run_summary world::run(duration length)
{
    const time_point end = time_.now() + length;
    calls_end_at_ = end;
    time_.after(std::chrono::seconds(3), [this, end] {
        schedule_calls(end);
        schedule_faults(end);
    });
    time_.run(end);
    targets_.clear_faults();
    partitioned_zones_.clear();
    platform_.available = true;
    platform_.unreachable_zones.clear();
    time_.run(end + std::chrono::seconds(90));
    for (const auto& [call, it] : open_calls_) {
        if (!it.closed_by_caller && find_process(it.host) != nullptr) {
            throw violation("a call of submission " + it.name + " was never answered by " +
                            it.host.host.text() + history_.trace(it.name));
        }
    }
    summary_.starts = history_.starts();
    summary_.complete = history_.count_answers("complete");
    summary_.not_run = history_.count_answers("not_run");
    summary_.ran = history_.count_answers("ran");
    summary_.unknown = history_.count_answers("unknown");
    return summary_;
}

// Processes

void world::start_process(host_process& host)
{
    host.incarnation = incarnation_id(next_incarnation_++);
    host.started_at = time_.now();
    host.steady_offset = rng_.milliseconds(1000, 5'000'000);
    host.wall_error = std::chrono::milliseconds(static_cast<int>(rng_.between(0, 1000)) - 500);
    host.inbox.clear();
    host.watches_configuration = false;
    host.session_open = false;
    host.stopping = false;
    host.suspended_until = time_point{};
    host.cut_off_until = time_.now();
    host.host_list_received_at = time_point{};
    const auto port = static_cast<std::uint16_t>(first_port + host.number);
    host.core =
        make_engine(self_state_fields{.host = host.name,
                                      .zone = host.zone,
                                      .incarnation = host.incarnation,
                                      .link = {.address = host.name.text(), .port = port},
                                      .datagrams = {.address = host.name.text(), .port = port}},
                    test_parameters(), standard_policies());
    schedule_ticks(host, host.incarnation);
    schedule_session_renewals(host, host.incarnation);
    schedule_platform_reads(host, host.incarnation);
}

void world::crash(host_process& host)
{
    if (!host.core) {
        return;
    }
    const peer_id id = host.id();
    host.core.reset();
    std::erase_if(open_calls_, [&](const auto& it) { return it.second.host == id; });
    lose_pending_messages(id);
    time_.after(rng_.milliseconds(500, 20'000), [this, &host] { start_process(host); });
}

void world::suspend(host_process& host)
{
    if (!host.core) {
        return;
    }
    const duration length = rng_.milliseconds(50, 15'000);
    host.suspended_until = time_.now() + length;
    mark_cut_off(host, length);
    mark_disturbed(length);
    time_.after(length, [this, &host, id = host.id()] {
        if (host.id() != id || !host.core || time_.now() < host.suspended_until) {
            return;
        }
        handle(host, std::exchange(host.inbox, {}));
    });
}

void world::request_shutdown(host_process& host)
{
    if (!host.core || host.stopping) {
        return;
    }
    host.stopping = true;
    mark_disturbed(std::chrono::seconds(5));
    const time_point limit = host.read_clocks(time_.now()).steady + std::chrono::seconds(60);
    deliver(host.id(), shutdown_requested{limit});
}

void world::schedule_ticks(host_process& host, incarnation_id incarnation)
{
    if (host.incarnation != incarnation || !host.core) {
        return;
    }
    if (time_.now() >= host.suspended_until) {
        host.core->tick(host.read_clocks(time_.now()));
        execute_actions(host);
    }
    time_.after(std::chrono::milliseconds(20),
                [this, &host, incarnation] { schedule_ticks(host, incarnation); });
}

void world::schedule_session_renewals(host_process& host, incarnation_id incarnation)
{
    if (host.incarnation != incarnation || !host.core) {
        return;
    }
    if (time_.now() >= host.suspended_until && platform_.reachable(host.zone)) {
        const time_point lease = host.read_clocks(time_.now()).steady + platform_model::session_ttl;
        const peer_id id = host.id();
        time_.after(rng_.milliseconds(1, 30), [this, &host, id, lease] {
            const bool open = !host.session_open;
            if (host.id() != id || !host.core) {
                return;
            }
            const bool alive = platform_.renew_session(id, open);
            if (rng_.percent(10)) {
                return; // the answer of the platform is lost
            }
            time_.after(rng_.milliseconds(1, 30), [this, &host, id, alive, lease] {
                if (host.id() != id || !host.core) {
                    return;
                }
                host.session_open = alive;
                deliver(id, alive ? event(session_confirmed{lease}) : event(session_lost{}));
            });
        });
    }
    time_.after(platform_model::session_ttl / 3,
                [this, &host, incarnation] { schedule_session_renewals(host, incarnation); });
}

void world::schedule_platform_reads(host_process& host, incarnation_id incarnation)
{
    if (host.incarnation != incarnation || !host.core) {
        return;
    }
    if (platform_.reachable(host.zone)) {
        host_list_fields hosts{.targets = targets_.list(host.zone)};
        for (const host_process& it : hosts_) {
            const auto port = static_cast<std::uint16_t>(first_port + it.number);
            hosts.peers.push_back({.name = it.name,
                                   .zone = it.zone,
                                   .datagrams = {.address = it.name.text(), .port = port}});
        }
        if (time_.now() >= host.suspended_until) {
            host.host_list_received_at = time_.now();
        }
        deliver(host.id(), host_list_received{hosts});
        if (host.watches_configuration) {
            deliver(host.id(), configuration_received{platform_.current_configuration()});
        }
    }
    time_.after(std::chrono::milliseconds(1000),
                [this, &host, incarnation] { schedule_platform_reads(host, incarnation); });
}

host_process* world::find_process(const peer_id& id)
{
    for (host_process& it : hosts_) {
        if (it.core && it.id() == id) {
            return &it;
        }
    }
    return nullptr;
}

void world::deliver(const peer_id& id, const event& incoming)
{
    host_process* host = find_process(id);
    if (host == nullptr) {
        return;
    }
    if (time_.now() < host->suspended_until) {
        host->inbox.push_back(incoming);
        return;
    }
    handle(*host, std::vector<event>{incoming});
}

/// Passes all events to the core in one call, as the control thread does with its mailbox.
void world::handle(host_process& host, const std::vector<event>& incoming)
{
    summary_.events += incoming.size();
    host.core->handle(incoming, host.read_clocks(time_.now()));
    host.core->board().check_invariants();
    execute_actions(host);
}

void world::execute_actions(host_process& host)
{
    for (const action& it : host.core->take_actions()) {
        if (!host.core) {
            return;
        }
        execute_action(host, it);
    }
}

// Actions of a core

void world::execute_action(host_process& host, const action& requested)
{
    if (const auto* watch = std::get_if<watch_configuration>(&requested)) {
        host.watches_configuration = watch->enabled;
        return;
    }
    std::visit(
        [&](const auto& it) {
            if constexpr (requires { execute(host, it); }) {
                execute(host, it);
            }
        },
        requested);
}

void world::execute(host_process& host, const answer_call& it)
{
    const auto found = open_calls_.find(it.call);
    if (found == open_calls_.end()) {
        return;
    }
    add_trace_step(found->second.name, host.process_name() +
                                           (found->second.forwarded ? " relays " : " decides ") +
                                           describe(it.result));
    if (!found->second.forwarded) {
        history_.on_decision(found->second.name, it.result);
    }
    on_call_answer(it.call, it.result);
}

void world::execute(host_process& /*host*/, const issue_tickets& it)
{
    tickets_.insert(tickets_.end(), it.tickets.begin(), it.tickets.end());
}

void world::execute(host_process& host, const forward_request& it)
{
    const host_process* to = find_process(it.peer);
    const request content = to == nullptr ? it.content : it.content.with([&](request_fields& copy) {
        copy.deadline = convert_deadline(copy.deadline, host, *to);
    });
    const pending_key key{host.id(), it.correlation.value(), false};
    forwarded_submissions_[key] = submission_name_of(content);
    const forward_state* state = host.core->board().forwarded_requests.find(it.correlation);
    const auto* origin = state == nullptr ? nullptr : std::get_if<local_origin>(&(*state)->origin);
    if (origin != nullptr && open_calls_.contains(origin->call)) {
        open_calls_.at(origin->call).forwarded = true;
    }
    add_trace_step(submission_name_of(content), host.process_name() + " forwards to " +
                                                    it.peer.host.text() + "#" +
                                                    std::to_string(it.peer.incarnation.value()));
    send(host, it.peer, key, forward_received{{host.id(), it.correlation}, content},
         forward_failed{it.correlation, false}, forward_failed{it.correlation, true});
}

void world::execute(host_process& host, const forward_cancel& it)
{
    const pending_key key{host.id(), it.correlation.value(), false};
    send(host, it.peer, key, cancel_received{peer_origin{host.id(), it.correlation}, it.key},
         forward_failed{it.correlation, false}, forward_failed{it.correlation, true});
}

void world::execute(host_process& host, const answer_forward& it)
{
    const pending_key key{it.origin.peer, it.origin.correlation.value(), false};
    const auto name = forwarded_submissions_.find(key);
    if (name != forwarded_submissions_.end()) {
        add_trace_step(name->second,
                       host.process_name() + " answers a forward with " + describe(it.result));
        history_.on_decision(name->second, it.result);
    }
    send_answer(host, key, forward_answered{it.origin.correlation, it.result});
}

void world::execute(host_process& host, const start_exchange& it)
{
    const peer_id id = host.id();
    const exchange_id exchange = it.exchange;
    const auto reply = [this, id, exchange](const exchange_outcome& outcome) {
        time_.after(rng_.milliseconds(0, 1), [this, id, exchange, outcome] {
            deliver(id, exchange_finished{exchange, outcome});
        });
    };
    if (rng_.percent(1)) {
        reply(not_sent{});
        return;
    }
    const bool answer_lost = rng_.percent(2);
    const sender_knowledge known{.host_list_received_at = host.host_list_received_at,
                                 .informed_since = host.cut_off_until};
    const std::string body(it.work->body.view());
    add_trace_step(
        body.substr(0, body.find('/')),
        host.process_name() + " sends " + body + " to " + it.target.text() + " in stage " +
            std::to_string(static_cast<int>((*host.core->board().targets.find(it.target))->stage)));
    const duration remaining_time = it.deadline - host.read_clocks(time_.now()).steady;
    time_.after(remaining_time + duration(1000), [reply] { reply(no_answer{}); });
    time_.after(network_delay(), [this, target = it.target, body, known, answer_lost, reply] {
        targets_.receive_task(
            target, body, known, [reply, answer_lost](const exchange_outcome& outcome) {
                reply(answer_lost ? exchange_outcome(connection_lost{}) : outcome);
            });
    });
}

void world::execute(host_process& host, const delegate_work& it)
{
    const host_process* to = find_process(it.peer);
    const work_item work = to == nullptr ? it.work : it.work.with([&](work_item_fields& copy) {
        copy.deadline = convert_deadline(copy.deadline, host, *to);
    });
    const pending_key key{host.id(), it.exchange.value(), true};
    send(host, it.peer, key, delegation_received{{host.id(), it.exchange}, work},
         exchange_finished{it.exchange, not_sent{}},
         exchange_finished{it.exchange, connection_lost{}});
}

void world::execute(host_process& host, const answer_delegation& it)
{
    const pending_key key{it.owner.peer, it.owner.exchange.value(), true};
    const exchange_outcome outcome =
        std::visit([](const auto& result) { return exchange_outcome(result); }, it.result);
    send_answer(host, key, exchange_finished{it.owner.exchange, outcome});
}

void world::execute(host_process& host, const send_heartbeat& it)
{
    for (const endpoint& peer : it.peers) {
        const auto index = static_cast<std::size_t>(peer.port - first_port);
        host_process& to = hosts_.at(index);
        const std::uint64_t copies = rng_.percent(10) ? 0 : 1 + rng_.between(0, 10) / 10;
        for (std::uint64_t n = 0; n < copies; ++n) {
            if (!connected(host, to)) {
                continue;
            }
            time_.after(network_delay(), [this, &to, beat = it.beat] {
                if (to.core) {
                    deliver(to.id(), heartbeat_received{beat});
                }
            });
        }
    }
}

void world::execute(host_process& host, const claim_seat& it)
{
    if (!platform_.reachable(host.zone)) {
        return;
    }
    const peer_id id = host.id();
    time_.after(rng_.milliseconds(1, 30), [this, id, seat = it.seat] {
        const claim_outcome outcome = platform_.claim(id, seat);
        const bool lost = rng_.percent(15);
        time_.after(rng_.milliseconds(1, 500), [this, id, seat, outcome, lost] {
            const host_process* host_now = find_process(id);
            if (lost || host_now == nullptr) {
                return;
            }
            if (!outcome) {
                deliver(id, seat_refused{seat});
                return;
            }
            std::optional<wall_time> inherited;
            if (*outcome > 1) {
                inherited = host_now->read_clocks(time_.now()).wall;
            }
            deliver(id, seat_granted{seat, inherited, *outcome});
        });
    });
}

void world::execute(host_process& host, const fetch_configuration& it)
{
    host_process* from = find_process(it.peer);
    if (from == nullptr || !connected(host, *from)) {
        return;
    }
    time_.after(network_delay(),
                [this, id = host.id(), content = from->core->board().current_configuration.get()] {
                    deliver(id, configuration_received{content});
                });
}

void world::execute(host_process& host, const configuration_applied& it)
{
    history_.on_revision(host.process_name(), it.content->revision.value());
}

void world::execute(host_process& host, const stop_process& /*it*/)
{
    const bool in_time =
        host.read_clocks(time_.now()).steady < host.core->board().self.get()->stop_at;
    for (const auto& [call, state] : open_calls_) {
        if (in_time && state.host == host.id() && !state.closed_by_caller) {
            throw violation("host " + host.name.text() +
                            " stopped while a request was in progress" +
                            history_.trace(state.name));
        }
    }
    platform_.end_session(host.id());
    time_.after(duration(0), [this, &host, id = host.id()] {
        if (host.id() == id) {
            crash(host);
        }
    });
}

// Network between hosts

bool world::connected(const host_process& lhs, const host_process& rhs) const
{
    return !partitioned_zones_.contains({lhs.zone, rhs.zone}) &&
           !partitioned_zones_.contains({rhs.zone, lhs.zone});
}

duration world::network_delay()
{
    return rng_.percent(2) ? rng_.milliseconds(100, 2000) : rng_.milliseconds(0, 3);
}

void world::send(host_process& from, const peer_id& to, const pending_key& key,
                 const event& message, const event& not_sent, const event& lost)
{
    const host_process* receiver = find_process(to);
    const peer_id sender = from.id();
    if (receiver == nullptr || rng_.percent(2)) {
        time_.after(network_delay(), [this, sender, not_sent] { deliver(sender, not_sent); });
        return;
    }
    pending_messages_.erase(key);
    pending_messages_.emplace(key, pending_message{to, lost});
    const bool arrives = connected(from, *receiver) && !rng_.percent(2);
    if (arrives) {
        time_.after(network_delay(), [this, to, message] { deliver(to, message); });
    }
    if (!arrives || rng_.percent(2)) {
        lose_later(key, rng_.milliseconds(0, 2500));
    }
}

void world::send_answer(host_process& from, const pending_key& key, const event& message)
{
    const auto& sender = std::get<peer_id>(key);
    const host_process* to = find_process(sender);
    if (to == nullptr || !pending_messages_.contains(key)) {
        return;
    }
    if (!connected(from, *to) || rng_.percent(3)) {
        lose_later(key, rng_.milliseconds(0, 2500));
        return;
    }
    time_.after(network_delay(), [this, key, message] {
        if (pending_messages_.erase(key) > 0) {
            deliver(std::get<peer_id>(key), message);
        }
    });
}

void world::lose_later(const pending_key& key, duration delay)
{
    time_.after(delay, [this, key] {
        const auto found = pending_messages_.find(key);
        if (found == pending_messages_.end()) {
            return;
        }
        const event lost = found->second.lost;
        pending_messages_.erase(found);
        deliver(std::get<peer_id>(key), lost);
    });
}

void world::lose_pending_messages(const peer_id& receiver)
{
    for (const auto& [key, it] : pending_messages_) {
        if (it.receiver == receiver) {
            lose_later(key, rng_.milliseconds(0, 2500));
        }
    }
}

void world::add_trace_step(const std::string& name, const std::string& step)
{
    history_.add_trace_step(name, std::to_string(time_.now().time_since_epoch().count()) +
                                      " us: " + step);
}

// Callers

void world::schedule_calls(time_point end)
{
    if (time_.now() >= end) {
        return;
    }
    const caller_submission submission = make_submission();
    submit(submission);
    schedule_resubmission(submission);
    if (rng_.percent(20)) {
        host_process& host = random_host();
        const call_id id(next_call_++);
        deliver(host.id(), tickets_requested{id, 5});
    }
    time_.after(rng_.milliseconds(1, 40), [this, end] { schedule_calls(end); });
}

std::optional<request_key> world::make_key()
{
    const std::uint64_t kind = rng_.between(0, 99);
    const std::string text = "key-" + std::to_string(next_submission_);
    if (kind < 35 && !tickets_.empty()) {
        const std::size_t index = rng_.between(0, tickets_.size() - 1);
        const ticket key = tickets_.at(index);
        tickets_.erase(tickets_.begin() + static_cast<std::ptrdiff_t>(index));
        return key;
    }
    if (kind < 65) {
        const auto error = std::chrono::milliseconds(static_cast<int>(rng_.between(0, 800)) - 400);
        const host_process exact{};
        return caller_key{.text = text, .created_at = exact.read_clocks(time_.now()).wall + error};
    }
    if (kind < 80) {
        return caller_key{.text = text};
    }
    return std::nullopt;
}

world::caller_submission world::make_submission()
{
    const std::optional<request_key> key = make_key();
    const std::string name = "s" + std::to_string(next_submission_++);
    const bool idempotent = rng_.percent(40);
    const std::uint64_t tasks = rng_.percent(30) ? rng_.between(2, 5) : 1;
    request_fields fields{.service = service_name(idempotent ? "check" : "book"),
                          .team = team_name("desk"),
                          .key = key,
                          .fingerprint = next_submission_};
    submission_facts facts{.may_repeat = idempotent && tasks == 1 && !key};
    for (std::uint64_t n = 0; n < tasks; ++n) {
        facts.bodies.push_back(name + "/" + std::to_string(n));
        fields.tasks.push_back(task{.body = bytes(facts.bodies.back())});
    }
    history_.add_submission(name, std::move(facts));
    ++summary_.submissions;
    return caller_submission{.name = name, .content = fields, .created_at = time_.now()};
}

void world::submit(const caller_submission& submission)
{
    host_process& host = random_host();
    if (!host.core) {
        return;
    }
    const call_id id(next_call_++);
    ++summary_.calls;
    const request content = submission.content.with([&](request_fields& it) {
        if (rng_.percent(50)) {
            it.deadline = host.read_clocks(time_.now()).steady + rng_.milliseconds(200, 10'000);
        }
    });
    open_calls_[id] = open_call{.name = submission.name, .host = host.id()};
    add_trace_step(submission.name,
                   "sent to " + host.process_name() + " under " + describe(content->key));
    deliver(host.id(), request_received{id, content});
    if (rng_.percent(5)) {
        time_.after(rng_.milliseconds(1, 500), [this, id] {
            const auto found = open_calls_.find(id);
            if (found != open_calls_.end() && !found->second.closed_by_caller) {
                found->second.closed_by_caller = true;
                deliver(found->second.host, call_closed{id});
            }
        });
    }
    if (content->key && rng_.percent(5)) {
        host_process& other = random_host();
        if (other.core) {
            deliver(other.id(),
                    cancel_received{local_origin{call_id(next_call_++)}, *content->key});
        }
    }
}

void world::schedule_resubmission(const caller_submission& submission)
{
    if (!submission.content->key || !rng_.percent(50)) {
        return;
    }
    const duration wait = rng_.percent(5)    ? rng_.milliseconds(1000, 120'000)
                          : rng_.percent(50) ? rng_.milliseconds(0, 20)
                                             : rng_.milliseconds(0, 3000);
    time_.after(wait, [this, submission] {
        if (time_.now() >= calls_end_at_ || !is_key_recognized(submission)) {
            return;
        }
        submit(submission);
        schedule_resubmission(submission);
    });
}

bool world::is_key_recognized(const caller_submission& submission) const
{
    const auto* key = std::get_if<caller_key>(&*submission.content->key);
    return key == nullptr || key->created_at ||
           time_.now() < submission.created_at + test_parameters()->record_retention * 3 / 4;
}

void world::on_call_answer(const call_id& call, const answer& result)
{
    const auto found = open_calls_.find(call);
    const std::string name = found->second.name;
    open_calls_.erase(found);
    history_.on_answer(name, result);
}

host_process& world::random_host()
{
    return hosts_.at(rng_.between(0, hosts_.size() - 1));
}

// Faults

void world::schedule_faults(time_point end)
{
    if (time_.now() >= end) {
        return;
    }
    ++summary_.faults;
    inject_random_fault();
    time_.after(rng_.milliseconds(200, 8000), [this, end] { schedule_faults(end); });
}

void world::inject_random_fault()
{
    switch (rng_.between(0, 7)) {
    case 0:
        mark_disturbed(std::chrono::seconds(25));
        crash(random_host());
        return;
    case 1:
        suspend(random_host());
        return;
    case 2:
        partition_zones();
        return;
    case 3:
        disconnect_platform();
        return;
    case 4:
    case 5:
        inject_target_fault();
        return;
    case 6:
        confirm_racing_changes();
        return;
    default:
        request_shutdown(random_host());
        return;
    }
}

void world::mark_cut_off(host_process& host, duration length)
{
    host.cut_off_until = std::max(host.cut_off_until, time_.now() + length);
}

void world::partition_zones()
{
    const std::pair zones{random_host().zone, random_host().zone};
    const duration length = rng_.milliseconds(500, 20'000);
    if (!partitioned_zones_.insert(zones).second) {
        return;
    }
    mark_disturbed(length);
    time_.after(length, [this, zones] { partitioned_zones_.erase(zones); });
}

void world::disconnect_platform()
{
    const duration length = rng_.milliseconds(500, 30'000);
    mark_disturbed(length);
    if (rng_.percent(50)) {
        platform_.available = false;
        for (host_process& it : hosts_) {
            mark_cut_off(it, length);
        }
        time_.after(length, [this] { platform_.available = true; });
        return;
    }
    const zone_name zone = random_host().zone;
    platform_.unreachable_zones.insert(zone);
    for (host_process& it : hosts_) {
        if (it.zone == zone) {
            mark_cut_off(it, length);
        }
    }
    time_.after(length, [this, zone] { platform_.unreachable_zones.erase(zone); });
}

void world::inject_target_fault()
{
    target_model& target = targets_.at(rng_.between(0, targets_.size() - 1));
    if (rng_.percent(20)) {
        target.leaving = true;
        target.leaving_since = time_.now();
        time_.after(std::chrono::seconds(15), [&target] { target.leaving = false; });
        return;
    }
    target.mode = static_cast<target_mode>(rng_.between(0, 4));
    time_.after(rng_.milliseconds(500, 10'000), [&target] { target.mode = target_mode::normal; });
}

void world::confirm_racing_changes()
{
    if (!platform_.available) {
        return;
    }
    const revision_id base = platform_.current_configuration()->revision;
    const bool first = platform_.confirm_change(base);
    const bool second = platform_.confirm_change(base);
    if (!first || second) {
        throw violation("two concurrent changes of one revision: not exactly one was confirmed");
    }
    time_.after(std::chrono::seconds(8), [this, revision = base.next(), at = time_.now()] {
        check_revision_applied(revision, at);
    });
}

void world::check_revision_applied(revision_id revision, time_point confirmed_at)
{
    if (disturbed_until_ > confirmed_at) {
        return;
    }
    for (const host_process& it : hosts_) {
        if (!it.core || it.started_at > confirmed_at) {
            continue;
        }
        if (it.core->board().current_configuration.get()->revision < revision) {
            throw violation("revision " + std::to_string(revision.value()) +
                            " was not in force on " + it.name.text() +
                            " 8 s after its confirmation");
        }
    }
}

void world::mark_disturbed(duration length)
{
    disturbed_until_ = std::max(disturbed_until_, time_.now() + length);
}

} // namespace papayafall::random_runs
