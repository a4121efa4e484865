#include "store.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t tick_period_ms = 10;
constexpr std::size_t max_listed_items = 500;
constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string percent_decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
            continue;
        }
        decoded += text[n];
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> fields;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string field = target.substr(begin + 1, end - begin - 1);
        const std::size_t equals = field.find('=');
        fields[field.substr(0, equals)] = percent_decode(field.substr(equals + 1));
        begin = end;
    }
    return fields;
}

} // namespace

std::string encode_base64(const std::string& text)
{
    std::string encoded;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits =
                bits << 8U | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const bool padding = n + k > text.size();
            encoded += padding ? '=' : digits[bits >> (18 - 6 * k) & 63U];
        }
    }
    return encoded;
}

std::string decode_base64(const std::string& text)
{
    std::string decoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char it : text) {
        const std::size_t digit = std::string(digits).find(it);
        if (digit == std::string::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            decoded += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return decoded;
}

store::store(event_loop& loop) : loop_(loop)
{
    loop_.every(tick_period_ms, [this] { expire(); });
}

std::size_t store::add_entrance()
{
    const std::size_t number = entrances_.size();
    auto added = std::make_unique<entrance_state>();
    added->server = std::make_unique<http_server>(
        loop_, [this, number](const http_message& request, const http_server::responder& answer) {
            on_request(number, request, answer);
        });
    entrances_.push_back(std::move(added));
    return number;
}

void store::set_access(std::size_t entrance, access next)
{
    entrances_[entrance]->mode = next;
    if (next == access::serve) {
        return;
    }
    // The watches that wait are refused or left without an answer like all other calls.
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        if (it->entrance != entrance) {
            ++it;
            continue;
        }
        if (next == access::busy) {
            it->answer(503, "{}");
        }
        it = watchers_.erase(it);
    }
}

void store::put(const std::string& key, const json& value)
{
    ++revision_;
    write(key, encode_base64(value.dump()), 0);
    notify();
}

void store::remove(const std::string& key)
{
    ++revision_;
    erase(key);
    notify();
}

json store::get(const std::string& key) const
{
    const auto it = items_.find(key);
    return it == items_.end() ? json() : json::parse(decode_base64(it->second.value));
}

std::vector<std::string> store::keys(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (const auto& [key, it] : items_) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void store::on_request(std::size_t entrance, const http_message& request,
                       const http_server::responder& answer)
{
    if (entrances_[entrance]->mode == access::busy) {
        answer(503, "{}");
        return;
    }
    if (entrances_[entrance]->mode == access::silent) {
        return;
    }
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    auto query = query_of(target);
    if (path == "/kv-key") {
        const bool found = items_.contains(query["key"]);
        answer(found ? 200 : 404, found ? item_json(query["key"]).dump() : "{}");
    } else if (path == "/kv-range") {
        json listed{{"items", json::array()}, {"as_of", revision_}, {"truncated", false}};
        for (const auto& [key, it] : items_) {
            if (!key.starts_with(query["prefix"]) || key <= query["after"]) {
                continue;
            }
            if (listed["items"].size() == max_listed_items) {
                listed["truncated"] = true;
                break;
            }
            listed["items"].push_back(item_json(key));
        }
        answer(200, listed.dump());
    } else if (path == "/kv-watch") {
        watchers_.push_back({.prefix = query["prefix"],
                             .after = std::stoull(query["after"]),
                             .deadline = now_ms() + std::stoll(query["wait_ms"]),
                             .entrance = entrance,
                             .answer = answer});
        notify();
    } else if (path == "/kv-txn") {
        transact(entrance, json::parse(request.body), answer);
    } else if (path == "/kv-lease") {
        const auto ttl_ms = json::parse(request.body).at("ttl_ms").get<std::int64_t>();
        leases_[++last_lease_] = {.ttl_ms = ttl_ms, .ends_at = now_ms() + ttl_ms};
        answer(200, json{{"lease", last_lease_}, {"ttl_ms", ttl_ms}}.dump());
    } else if (path.starts_with("/kv-keep/")) {
        const auto found = leases_.find(std::stoull(path.substr(9)));
        if (found == leases_.end()) {
            answer(404, "{}");
            return;
        }
        found->second.ends_at = now_ms() + found->second.ttl_ms;
        answer(200, json{{"ttl_ms", found->second.ttl_ms}}.dump());
    } else if (path.starts_with("/kv-lease-end/")) {
        const auto found = leases_.find(std::stoull(path.substr(14)));
        if (found != leases_.end()) {
            found->second.ends_at = 0;
            expire();
        }
        answer(200, "{}");
    } else {
        answer(400, "{}");
    }
}

void store::transact(std::size_t entrance, const json& body, const http_server::responder& answer)
{
    json current = json::array();
    bool holds = true;
    for (const json& it : body.value("expected", json::array())) {
        const std::string key = it.at("key");
        const auto found = items_.find(key);
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == it.at("revision").get<std::uint64_t>();
        if (found != items_.end()) {
            current.push_back(item_json(key));
        }
    }
    if (!holds) {
        answer(412, json{{"items", current}}.dump());
        return;
    }
    for (const json& it : body.value("put", json::array())) {
        const auto lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            answer(404, "{}");
            return;
        }
    }
    if (!body.value("expected", json::array()).empty()) {
        last_conditional_writer_ = entrance;
    }
    ++revision_;
    for (const json& it : body.value("put", json::array())) {
        write(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}));
    }
    for (const json& it : body.value("remove", json::array())) {
        erase(it);
    }
    answer(200, json{{"revision", revision_}}.dump());
    notify();
}

json store::item_json(const std::string& key) const
{
    const item& it = items_.at(key);
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

void store::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& it = items_[key];
    it.value = value;
    it.created = it.created == 0 ? revision_ : it.created;
    it.revision = revision_;
    it.lease = lease;
    history_.push_back(item_json(key));
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) > 0) {
        history_.push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
}

void store::notify()
{
    std::vector<std::pair<http_server::responder, std::string>> due;
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        json events = json::array();
        for (const json& event : history_) {
            const bool wanted = event["revision"].get<std::uint64_t>() > it->after &&
                                event["key"].get<std::string>().starts_with(it->prefix);
            if (wanted) {
                events.push_back(event);
            }
        }
        if (events.empty() && now_ms() < it->deadline) {
            ++it;
            continue;
        }
        due.emplace_back(it->answer, json{{"events", events}, {"as_of", revision_}}.dump());
        it = watchers_.erase(it);
    }
    for (const auto& [answer, text] : due) {
        answer(200, text);
    }
}

void store::expire()
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (now_ms() < it->second.ends_at) {
            ++it;
            continue;
        }
        const std::uint64_t ended = it->first;
        it = leases_.erase(it);
        std::vector<std::string> gone;
        for (const auto& [key, entry] : items_) {
            if (entry.lease == ended) {
                gone.push_back(key);
            }
        }
        ++revision_;
        for (const std::string& key : gone) {
            erase(key);
        }
    }
    notify();
}

} // namespace review
