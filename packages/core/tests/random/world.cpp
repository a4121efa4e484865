#include "random/world.hpp"

#include <algorithm>
#include <variant>

namespace papayafall::random_runs {

namespace {

constexpr std::uint16_t first_port = 7000;

core_parameters small_parameters()
{
    return core_parameters_fields{
        .record_retention = std::chrono::seconds(60),
        .record_limit = 2000,
        .answer_bytes_limit = 4000,
    };
}

configuration first_configuration()
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

std::string name_of(const request& content)
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

time_point moved(time_point deadline, const host_process& from, const host_process& to)
{
    return deadline == no_deadline ? deadline : deadline - from.steady_offset + to.steady_offset;
}

} // namespace

world::world(std::uint64_t seed)
    : chance_(seed), platform_(time_, chance_), targets_(time_, chance_, seen_)
{
    summary_.seed = seed;
    platform_.set_configuration(first_configuration());
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
        boot(it);
    }
}

run_summary world::run(duration length)
{
    const time_point end = time_.now() + length;
    callers_end_ = end;
    time_.after(std::chrono::seconds(3), [this, end] {
        keep_calling(end);
        keep_failing(end);
    });
    time_.run(end);
    targets_.heal();
    cut_.clear();
    platform_.up = true;
    platform_.cut.clear();
    time_.run(end + std::chrono::seconds(90));
    for (const auto& [call, it] : calls_) {
        if (!it.hung_up && find(it.host) != nullptr) {
            throw violation("a call of submission " + it.name + " was never answered by " +
                            it.host.host.text() + seen_.trace(it.name));
        }
    }
    summary_.starts = seen_.starts();
    summary_.complete = seen_.answers("complete");
    summary_.not_run = seen_.answers("not_run");
    summary_.ran = seen_.answers("ran");
    summary_.unknown = seen_.answers("unknown");
    return summary_;
}

// Processes

void world::boot(host_process& host)
{
    host.incarnation = incarnation_id(next_incarnation_++);
    host.started_at = time_.now();
    host.steady_offset = chance_.milliseconds(1000, 5'000'000);
    host.wall_error = std::chrono::milliseconds(static_cast<int>(chance_.between(0, 1000)) - 500);
    host.inbox.clear();
    host.watching = false;
    host.session_open = false;
    host.stopping = false;
    host.paused_until = time_point{};
    host.cut_off_until = time_.now();
    host.listed_at = time_point{};
    const auto port = static_cast<std::uint16_t>(first_port + host.number);
    host.core =
        make_engine(self_state_fields{.host = host.name,
                                      .zone = host.zone,
                                      .incarnation = host.incarnation,
                                      .link = {.address = host.name.text(), .port = port},
                                      .datagrams = {.address = host.name.text(), .port = port}},
                    small_parameters(), standard_policies());
    keep_ticking(host, host.incarnation);
    keep_session(host, host.incarnation);
    keep_reading(host, host.incarnation);
}

void world::crash(host_process& host)
{
    if (!host.core) {
        return;
    }
    const peer_id id = host.id();
    host.core.reset();
    std::erase_if(calls_, [&](const auto& it) { return it.second.host == id; });
    fail_pending(id);
    time_.after(chance_.milliseconds(500, 20'000), [this, &host] { boot(host); });
}

void world::pause(host_process& host)
{
    if (!host.core) {
        return;
    }
    const duration length = chance_.milliseconds(50, 15'000);
    host.paused_until = time_.now() + length;
    cut_off(host, length);
    disturb(length);
    time_.after(length, [this, &host, id = host.id()] {
        if (host.id() != id || !host.core || time_.now() < host.paused_until) {
            return;
        }
        handle(host, std::exchange(host.inbox, {}));
    });
}

void world::ask_to_stop(host_process& host)
{
    if (!host.core || host.stopping) {
        return;
    }
    host.stopping = true;
    disturb(std::chrono::seconds(5));
    const time_point limit = host.read(time_.now()).steady + std::chrono::seconds(60);
    deliver(host.id(), shutdown_requested{limit});
}

void world::keep_ticking(host_process& host, incarnation_id incarnation)
{
    if (host.incarnation != incarnation || !host.core) {
        return;
    }
    if (time_.now() >= host.paused_until) {
        host.core->tick(host.read(time_.now()));
        pass_on(host);
    }
    time_.after(std::chrono::milliseconds(20),
                [this, &host, incarnation] { keep_ticking(host, incarnation); });
}

void world::keep_session(host_process& host, incarnation_id incarnation)
{
    if (host.incarnation != incarnation || !host.core) {
        return;
    }
    if (time_.now() >= host.paused_until && platform_.reachable(host.zone)) {
        const time_point lease = host.read(time_.now()).steady + platform_model::session_ttl;
        const peer_id id = host.id();
        time_.after(chance_.milliseconds(1, 30), [this, &host, id, lease] {
            const bool open = !host.session_open;
            if (host.id() != id || !host.core) {
                return;
            }
            const bool alive = platform_.renew(id, open);
            if (chance_.percent(10)) {
                return; // the answer is lost
            }
            time_.after(chance_.milliseconds(1, 30), [this, &host, id, alive, lease] {
                if (host.id() != id || !host.core) {
                    return;
                }
                host.session_open = alive;
                deliver(id, alive ? event(session_confirmed{lease}) : event(session_lost{}));
            });
        });
    }
    time_.after(platform_model::session_ttl / 3,
                [this, &host, incarnation] { keep_session(host, incarnation); });
}

void world::keep_reading(host_process& host, incarnation_id incarnation)
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
        if (time_.now() >= host.paused_until) {
            host.listed_at = time_.now();
        }
        deliver(host.id(), host_list_received{hosts});
        if (host.watching) {
            deliver(host.id(), configuration_received{platform_.current()});
        }
    }
    time_.after(std::chrono::milliseconds(1000),
                [this, &host, incarnation] { keep_reading(host, incarnation); });
}

host_process* world::find(const peer_id& id)
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
    host_process* host = find(id);
    if (host == nullptr) {
        return;
    }
    if (time_.now() < host->paused_until) {
        host->inbox.push_back(incoming);
        return;
    }
    handle(*host, std::vector<event>{incoming});
}

/// Hands over events together, as the control thread does with all that its mailbox holds.
void world::handle(host_process& host, const std::vector<event>& incoming)
{
    summary_.events += incoming.size();
    host.core->handle(incoming, host.read(time_.now()));
    host.core->board().check_invariants();
    pass_on(host);
}

void world::pass_on(host_process& host)
{
    for (const action& it : host.core->take_actions()) {
        if (!host.core) {
            return;
        }
        carry_out(host, it);
    }
}

// Actions of a core

void world::carry_out(host_process& host, const action& requested)
{
    if (const auto* watch = std::get_if<watch_configuration>(&requested)) {
        host.watching = watch->enabled;
        return;
    }
    std::visit(
        [&](const auto& it) {
            if constexpr (requires { act(host, it); }) {
                act(host, it);
            }
        },
        requested);
}

void world::act(host_process& host, const answer_call& it)
{
    const auto found = calls_.find(it.call);
    if (found == calls_.end()) {
        return;
    }
    note(found->second.name, host.process() + (found->second.forwarded ? " relays " : " decides ") +
                                 describe(it.result));
    if (!found->second.forwarded) {
        seen_.on_decision(found->second.name, it.result);
    }
    on_call_answer(it.call, it.result);
}

void world::act(host_process& /*host*/, const issue_tickets& it)
{
    tickets_.insert(tickets_.end(), it.tickets.begin(), it.tickets.end());
}

void world::act(host_process& host, const forward_request& it)
{
    const host_process* to = find(it.peer);
    const request content = to == nullptr ? it.content : it.content.with([&](request_fields& copy) {
        copy.deadline = moved(copy.deadline, host, *to);
    });
    const pending_key key{host.id(), it.correlation.value(), false};
    forwarded_[key] = name_of(content);
    const forward_state* state = host.core->board().forwarded_requests.find(it.correlation);
    const auto* origin = state == nullptr ? nullptr : std::get_if<local_origin>(&(*state)->origin);
    if (origin != nullptr && calls_.contains(origin->call)) {
        calls_.at(origin->call).forwarded = true;
    }
    note(name_of(content), host.process() + " forwards to " + it.peer.host.text() + "#" +
                               std::to_string(it.peer.incarnation.value()));
    send(host, it.peer, key, forward_received{{host.id(), it.correlation}, content},
         forward_failed{it.correlation, false}, forward_failed{it.correlation, true});
}

void world::act(host_process& host, const forward_cancel& it)
{
    const pending_key key{host.id(), it.correlation.value(), false};
    send(host, it.peer, key, cancel_received{peer_origin{host.id(), it.correlation}, it.key},
         forward_failed{it.correlation, false}, forward_failed{it.correlation, true});
}

void world::act(host_process& host, const answer_forward& it)
{
    const pending_key key{it.origin.peer, it.origin.correlation.value(), false};
    const auto name = forwarded_.find(key);
    if (name != forwarded_.end()) {
        note(name->second, host.process() + " answers a forward with " + describe(it.result));
        seen_.on_decision(name->second, it.result);
    }
    send_answer(host, key, forward_answered{it.origin.correlation, it.result});
}

void world::act(host_process& host, const start_exchange& it)
{
    const peer_id id = host.id();
    const exchange_id exchange = it.exchange;
    const auto reply = [this, id, exchange](const exchange_outcome& outcome) {
        time_.after(chance_.milliseconds(0, 1), [this, id, exchange, outcome] {
            deliver(id, exchange_finished{exchange, outcome});
        });
    };
    if (chance_.percent(1)) {
        reply(not_sent{});
        return;
    }
    const bool answer_lost = chance_.percent(2);
    const sender_knowledge known{.listed_at = host.listed_at, .informed_since = host.cut_off_until};
    const std::string body(it.work->body.view());
    note(
        body.substr(0, body.find('/')),
        host.process() + " sends " + body + " to " + it.target.text() + " in stage " +
            std::to_string(static_cast<int>((*host.core->board().targets.find(it.target))->stage)));
    const duration waits = it.deadline - host.read(time_.now()).steady;
    time_.after(waits + duration(1000), [reply] { reply(no_answer{}); });
    time_.after(delay(), [this, target = it.target, body, known, answer_lost, reply] {
        targets_.arrive(target, body, known, [reply, answer_lost](const exchange_outcome& outcome) {
            reply(answer_lost ? exchange_outcome(connection_lost{}) : outcome);
        });
    });
}

void world::act(host_process& host, const delegate_work& it)
{
    const host_process* to = find(it.peer);
    const work_item work = to == nullptr ? it.work : it.work.with([&](work_item_fields& copy) {
        copy.deadline = moved(copy.deadline, host, *to);
    });
    const pending_key key{host.id(), it.exchange.value(), true};
    send(host, it.peer, key, delegation_received{{host.id(), it.exchange}, work},
         exchange_finished{it.exchange, not_sent{}},
         exchange_finished{it.exchange, connection_lost{}});
}

void world::act(host_process& host, const answer_delegation& it)
{
    const pending_key key{it.owner.peer, it.owner.exchange.value(), true};
    const exchange_outcome outcome =
        std::visit([](const auto& result) { return exchange_outcome(result); }, it.result);
    send_answer(host, key, exchange_finished{it.owner.exchange, outcome});
}

void world::act(host_process& host, const send_heartbeat& it)
{
    for (const endpoint& peer : it.peers) {
        const auto index = static_cast<std::size_t>(peer.port - first_port);
        host_process& to = hosts_.at(index);
        const std::uint64_t copies = chance_.percent(10) ? 0 : 1 + chance_.between(0, 10) / 10;
        for (std::uint64_t n = 0; n < copies; ++n) {
            if (!linked(host, to)) {
                continue;
            }
            time_.after(delay(), [this, &to, beat = it.beat] {
                if (to.core) {
                    deliver(to.id(), heartbeat_received{beat});
                }
            });
        }
    }
}

void world::act(host_process& host, const claim_seat& it)
{
    if (!platform_.reachable(host.zone)) {
        return;
    }
    const peer_id id = host.id();
    time_.after(chance_.milliseconds(1, 30), [this, id, seat = it.seat] {
        const claim_outcome outcome = platform_.claim(id, seat);
        const bool lost = chance_.percent(15);
        time_.after(chance_.milliseconds(1, 500), [this, id, seat, outcome, lost] {
            const host_process* host_now = find(id);
            if (lost || host_now == nullptr) {
                return;
            }
            if (!outcome) {
                deliver(id, seat_refused{seat});
                return;
            }
            std::optional<wall_time> inherited;
            if (*outcome > 1) {
                inherited = host_now->read(time_.now()).wall;
            }
            deliver(id, seat_granted{seat, inherited, *outcome});
        });
    });
}

void world::act(host_process& host, const fetch_configuration& it)
{
    host_process* from = find(it.peer);
    if (from == nullptr || !linked(host, *from)) {
        return;
    }
    time_.after(delay(),
                [this, id = host.id(), content = from->core->board().current_configuration.get()] {
                    deliver(id, configuration_received{content});
                });
}

void world::act(host_process& host, const configuration_applied& it)
{
    seen_.on_revision(host.process(), it.content->revision.value());
}

void world::act(host_process& host, const stop_process& /*it*/)
{
    const bool in_time = host.read(time_.now()).steady < host.core->board().self.get()->stop_at;
    for (const auto& [call, state] : calls_) {
        if (in_time && state.host == host.id() && !state.hung_up) {
            throw violation("host " + host.name.text() + " stopped with a request in progress" +
                            seen_.trace(state.name));
        }
    }
    platform_.end(host.id());
    time_.after(duration(0), [this, &host, id = host.id()] {
        if (host.id() == id) {
            crash(host);
        }
    });
}

// The exchange between hosts

bool world::linked(const host_process& lhs, const host_process& rhs) const
{
    return !cut_.contains({lhs.zone, rhs.zone}) && !cut_.contains({rhs.zone, lhs.zone});
}

duration world::delay()
{
    return chance_.percent(2) ? chance_.milliseconds(100, 2000) : chance_.milliseconds(0, 3);
}

void world::send(host_process& from, const peer_id& to, const pending_key& key,
                 const event& message, const event& not_sent, const event& lost)
{
    const host_process* receiver = find(to);
    const peer_id sender = from.id();
    if (receiver == nullptr || chance_.percent(2)) {
        time_.after(delay(), [this, sender, not_sent] { deliver(sender, not_sent); });
        return;
    }
    pending_.erase(key);
    pending_.emplace(key, pending_message{to, lost});
    const bool arrives = linked(from, *receiver) && !chance_.percent(2);
    if (arrives) {
        time_.after(delay(), [this, to, message] { deliver(to, message); });
    }
    if (!arrives || chance_.percent(2)) {
        lose(key, chance_.milliseconds(0, 2500));
    }
}

void world::send_answer(host_process& from, const pending_key& key, const event& message)
{
    const auto& sender = std::get<peer_id>(key);
    const host_process* to = find(sender);
    if (to == nullptr || !pending_.contains(key)) {
        return;
    }
    if (!linked(from, *to) || chance_.percent(3)) {
        lose(key, chance_.milliseconds(0, 2500));
        return;
    }
    time_.after(delay(), [this, key, message] {
        if (pending_.erase(key) > 0) {
            deliver(std::get<peer_id>(key), message);
        }
    });
}

void world::lose(const pending_key& key, duration delay)
{
    time_.after(delay, [this, key] {
        const auto found = pending_.find(key);
        if (found == pending_.end()) {
            return;
        }
        const event lost = found->second.lost;
        pending_.erase(found);
        deliver(std::get<peer_id>(key), lost);
    });
}

void world::fail_pending(const peer_id& receiver)
{
    for (const auto& [key, it] : pending_) {
        if (it.receiver == receiver) {
            lose(key, chance_.milliseconds(0, 2500));
        }
    }
}

void world::note(const std::string& name, const std::string& step)
{
    seen_.note(name, std::to_string(time_.now().time_since_epoch().count()) + " us: " + step);
}

// Callers

void world::keep_calling(time_point end)
{
    if (time_.now() >= end) {
        return;
    }
    const caller_submission submission = make_submission();
    call(submission);
    call_again_later(submission);
    if (chance_.percent(20)) {
        host_process& host = any_host();
        const call_id id(next_call_++);
        deliver(host.id(), tickets_requested{id, 5});
    }
    time_.after(chance_.milliseconds(1, 40), [this, end] { keep_calling(end); });
}

std::optional<request_key> world::make_key()
{
    const std::uint64_t kind = chance_.between(0, 99);
    const std::string text = "key-" + std::to_string(next_submission_);
    if (kind < 35 && !tickets_.empty()) {
        const std::size_t index = chance_.between(0, tickets_.size() - 1);
        const ticket key = tickets_.at(index);
        tickets_.erase(tickets_.begin() + static_cast<std::ptrdiff_t>(index));
        return key;
    }
    if (kind < 65) {
        const auto error =
            std::chrono::milliseconds(static_cast<int>(chance_.between(0, 800)) - 400);
        const host_process exact{};
        return caller_key{.text = text, .made_at = exact.read(time_.now()).wall + error};
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
    const bool idempotent = chance_.percent(40);
    const std::uint64_t tasks = chance_.percent(30) ? chance_.between(2, 5) : 1;
    request_fields fields{.service = service_name(idempotent ? "check" : "book"),
                          .team = team_name("desk"),
                          .key = key,
                          .fingerprint = next_submission_};
    submission_facts facts{.may_repeat = idempotent && tasks == 1 && !key};
    for (std::uint64_t n = 0; n < tasks; ++n) {
        facts.bodies.push_back(name + "/" + std::to_string(n));
        fields.tasks.push_back(task{.body = bytes(facts.bodies.back())});
    }
    seen_.add_submission(name, std::move(facts));
    ++summary_.submissions;
    return caller_submission{.name = name, .content = fields, .made_at = time_.now()};
}

void world::call(const caller_submission& submission)
{
    host_process& host = any_host();
    if (!host.core) {
        return;
    }
    const call_id id(next_call_++);
    ++summary_.calls;
    const request content = submission.content.with([&](request_fields& it) {
        if (chance_.percent(50)) {
            it.deadline = host.read(time_.now()).steady + chance_.milliseconds(200, 10'000);
        }
    });
    calls_[id] = open_call{.name = submission.name, .host = host.id()};
    note(submission.name, "sent to " + host.process() + " under " + describe(content->key));
    deliver(host.id(), request_received{id, content});
    if (chance_.percent(5)) {
        time_.after(chance_.milliseconds(1, 500), [this, id] {
            const auto found = calls_.find(id);
            if (found != calls_.end() && !found->second.hung_up) {
                found->second.hung_up = true;
                deliver(found->second.host, call_closed{id});
            }
        });
    }
    if (content->key && chance_.percent(5)) {
        host_process& other = any_host();
        if (other.core) {
            deliver(other.id(),
                    cancel_received{local_origin{call_id(next_call_++)}, *content->key});
        }
    }
}

void world::call_again_later(const caller_submission& submission)
{
    if (!submission.content->key || !chance_.percent(50)) {
        return;
    }
    const duration wait = chance_.percent(5)    ? chance_.milliseconds(1000, 120'000)
                          : chance_.percent(50) ? chance_.milliseconds(0, 20)
                                                : chance_.milliseconds(0, 3000);
    time_.after(wait, [this, submission] {
        if (time_.now() >= callers_end_ || !within_promise(submission)) {
            return;
        }
        call(submission);
        call_again_later(submission);
    });
}

/// A key without a creation time is recognised for the retention of its record only.
bool world::within_promise(const caller_submission& submission) const
{
    const auto* key = std::get_if<caller_key>(&*submission.content->key);
    return key == nullptr || key->made_at ||
           time_.now() < submission.made_at + small_parameters()->record_retention * 3 / 4;
}

void world::on_call_answer(const call_id& call, const answer& result)
{
    const auto found = calls_.find(call);
    const std::string name = found->second.name;
    calls_.erase(found);
    seen_.on_answer(name, result);
}

host_process& world::any_host()
{
    return hosts_.at(chance_.between(0, hosts_.size() - 1));
}

// Faults

void world::keep_failing(time_point end)
{
    if (time_.now() >= end) {
        return;
    }
    ++summary_.faults;
    inject();
    time_.after(chance_.milliseconds(200, 8000), [this, end] { keep_failing(end); });
}

void world::inject()
{
    switch (chance_.between(0, 7)) {
    case 0:
        disturb(std::chrono::seconds(25));
        crash(any_host());
        return;
    case 1:
        pause(any_host());
        return;
    case 2:
        cut_zones();
        return;
    case 3:
        cut_platform();
        return;
    case 4:
    case 5:
        change_target();
        return;
    case 6:
        change_configuration();
        return;
    default:
        ask_to_stop(any_host());
        return;
    }
}

void world::cut_off(host_process& host, duration length)
{
    host.cut_off_until = std::max(host.cut_off_until, time_.now() + length);
}

void world::cut_zones()
{
    const std::pair zones{any_host().zone, any_host().zone};
    const duration length = chance_.milliseconds(500, 20'000);
    if (!cut_.insert(zones).second) {
        return;
    }
    disturb(length);
    time_.after(length, [this, zones] { cut_.erase(zones); });
}

void world::cut_platform()
{
    const duration length = chance_.milliseconds(500, 30'000);
    disturb(length);
    if (chance_.percent(50)) {
        platform_.up = false;
        for (host_process& it : hosts_) {
            cut_off(it, length);
        }
        time_.after(length, [this] { platform_.up = true; });
        return;
    }
    const zone_name zone = any_host().zone;
    platform_.cut.insert(zone);
    for (host_process& it : hosts_) {
        if (it.zone == zone) {
            cut_off(it, length);
        }
    }
    time_.after(length, [this, zone] { platform_.cut.erase(zone); });
}

void world::change_target()
{
    target_model& target = targets_.at(chance_.between(0, targets_.size() - 1));
    if (chance_.percent(20)) {
        target.leaving = true;
        target.left_at = time_.now();
        time_.after(std::chrono::seconds(15), [&target] { target.leaving = false; });
        return;
    }
    target.mode = static_cast<target_mode>(chance_.between(0, 4));
    time_.after(chance_.milliseconds(500, 10'000),
                [&target] { target.mode = target_mode::normal; });
}

void world::change_configuration()
{
    if (!platform_.up) {
        return;
    }
    const revision_id base = platform_.current()->revision;
    const bool first = platform_.confirm(base);
    const bool second = platform_.confirm(base);
    if (!first || second) {
        throw violation("not exactly one of two racing operators won");
    }
    time_.after(std::chrono::seconds(8),
                [this, revision = base.next(), at = time_.now()] { check_in_force(revision, at); });
}

void world::check_in_force(revision_id revision, time_point confirmed_at)
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
                            " was not in force on " + it.name.text() + " after 8 s");
        }
    }
}

void world::disturb(duration length)
{
    disturbed_until_ = std::max(disturbed_until_, time_.now() + length);
}

} // namespace papayafall::random_runs
