#include "store.hpp"

#include <array>
#include <utility>
#include <vector>

namespace review {

namespace {

using nlohmann::json;

constexpr milliseconds tick_period{5};
constexpr std::size_t max_items = 500;
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::string_view keep_path = "/kv-keep/";
constexpr std::string_view end_path = "/kv-lease-end/";

std::string encode_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (n + k < bytes.size() ? static_cast<std::uint8_t>(bytes[n + k])
                                                          : std::uint8_t{0});
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const bool padding = n + k > bytes.size();
            text += padding ? '=' : alphabet[(group >> (18 - 6 * k)) & 63U];
        }
    }
    return text;
}

int hex_digit(char c)
{
    return c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> found;
    std::size_t n = target.find('?');
    std::string name;
    std::string text;
    bool in_text = false;
    while (n != std::string::npos && ++n <= target.size()) {
        if (n == target.size() || target[n] == '&') {
            found[name] = text;
            name.clear();
            text.clear();
            in_text = false;
            continue;
        }
        char c = target[n];
        if (c == '=' && !in_text) {
            in_text = true;
            continue;
        }
        if (c == '%' && n + 2 < target.size()) {
            c = static_cast<char>(hex_digit(target[n + 1]) * 16 + hex_digit(target[n + 2]));
            n += 2;
        }
        (in_text ? text : name) += c;
    }
    return found;
}

bool is_reserved(const std::string& key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

store::store(event_loop& loop)
    : loop_(loop),
      server_(loop, find_free_port(),
              [this](const http_message& request, const http_server::reply_function& reply) {
                  on_request(request, reply);
              })
{
    tick();
}

void store::put(const std::string& key, const json& value)
{
    ++revision_;
    write_item(key, encode_base64(value.dump()), 0);
    answer_watchers();
}

void store::remove(const std::string& key)
{
    if (items_.contains(key)) {
        ++revision_;
        remove_item(key);
        answer_watchers();
    }
}

void store::tick()
{
    expire_leases();
    answer_watchers();
    loop_.after(tick_period, [this] { tick(); });
}

void store::on_request(const http_message& request, const http_server::reply_function& reply)
{
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    auto query = parse_query(target);
    if (path == "/kv-key") {
        read_key(query["key"], reply);
    } else if (path == "/kv-range") {
        read_range(query["prefix"], query["after"], reply);
    } else if (path == "/kv-watch") {
        watchers_.push_back({.prefix = query["prefix"],
                             .after = std::stoull(query["after"]),
                             .deadline = steady::now() + milliseconds(std::stoll(query["wait_ms"])),
                             .reply = reply});
        answer_watchers();
    } else if (path == "/kv-txn") {
        write_transaction(json::parse(request.body), reply);
    } else if (path == "/kv-lease") {
        const milliseconds ttl(json::parse(request.body).at("ttl_ms").get<std::int64_t>());
        leases_[++last_lease_] = {steady::now() + ttl, ttl};
        reply(200, json{{"lease", last_lease_}, {"ttl_ms", ttl.count()}}.dump());
    } else if (path.starts_with(keep_path)) {
        const auto it = leases_.find(std::stoull(path.substr(keep_path.size())));
        if (it == leases_.end()) {
            reply(404, "{}");
            return;
        }
        it->second.expires_at = steady::now() + it->second.ttl;
        reply(200, json{{"ttl_ms", it->second.ttl.count()}}.dump());
    } else if (method == "DELETE" && path.starts_with(end_path)) {
        leases_.erase(std::stoull(path.substr(end_path.size())));
        expire_leases();
        reply(200, "{}");
    } else {
        reply(400, "{}");
    }
}

void store::read_key(const std::string& key, const http_server::reply_function& reply) const
{
    const auto it = items_.find(key);
    if (it == items_.end()) {
        reply(404, json{{"as_of", revision_}}.dump());
        return;
    }
    reply(200, json{{"key", key},
                    {"value", it->second.text},
                    {"revision", it->second.revision},
                    {"created", it->second.created},
                    {"lease", it->second.lease},
                    {"as_of", revision_}}
                   .dump());
}

void store::read_range(const std::string& prefix, const std::string& after,
                       const http_server::reply_function& reply) const
{
    json found = json::array();
    bool truncated = false;
    for (const auto& [key, it] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (found.size() == max_items) {
            truncated = true;
            break;
        }
        found.push_back({{"key", key},
                         {"value", it.text},
                         {"revision", it.revision},
                         {"created", it.created},
                         {"lease", it.lease}});
    }
    reply(200, json{{"items", found}, {"truncated", truncated}, {"as_of", revision_}}.dump());
}

void store::write_transaction(const json& body, const http_server::reply_function& reply)
{
    for (const json& it : body.value("put", json::array())) {
        if (is_reserved(it.at("key"))) {
            reply(403, "{}");
            return;
        }
        const auto lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            reply(404, "{}");
            return;
        }
    }
    json current = json::array();
    bool holds = true;
    for (const json& it : body.value("expected", json::array())) {
        const auto found = items_.find(it.at("key").get<std::string>());
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == it.at("revision").get<std::uint64_t>();
        if (found != items_.end()) {
            current.push_back({{"key", found->first},
                               {"value", found->second.text},
                               {"revision", revision},
                               {"created", found->second.created},
                               {"lease", found->second.lease}});
        }
    }
    if (!holds) {
        reply(412, json{{"items", current}}.dump());
        return;
    }
    ++revision_;
    for (const json& it : body.value("put", json::array())) {
        write_item(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}));
    }
    for (const json& it : body.value("remove", json::array())) {
        remove_item(it.get<std::string>());
    }
    reply(200, json{{"revision", revision_}}.dump());
    answer_watchers();
}

void store::write_item(const std::string& key, const std::string& text, std::uint64_t lease)
{
    const auto known = items_.find(key);
    const std::uint64_t created = known == items_.end() ? revision_ : known->second.created;
    items_[key] = {.text = text, .revision = revision_, .created = created, .lease = lease};
    history_.emplace(revision_, json{{"key", key},
                                     {"value", text},
                                     {"revision", revision_},
                                     {"created", created},
                                     {"lease", lease}});
}

void store::remove_item(const std::string& key)
{
    if (items_.erase(key) > 0) {
        history_.emplace(revision_, json{{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
}

void store::expire_leases()
{
    std::erase_if(leases_, [](const auto& it) { return it.second.expires_at <= steady::now(); });
    std::vector<std::string> orphans;
    for (const auto& [key, it] : items_) {
        if (it.lease != 0 && !leases_.contains(it.lease)) {
            orphans.push_back(key);
        }
    }
    for (const std::string& it : orphans) {
        remove(it);
    }
}

void store::answer_watchers()
{
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        json events = json::array();
        for (auto entry = history_.upper_bound(it->after); entry != history_.end(); ++entry) {
            if (entry->second.at("key").get<std::string>().starts_with(it->prefix)) {
                events.push_back(entry->second);
            }
        }
        if (events.empty() && steady::now() < it->deadline) {
            ++it;
            continue;
        }
        it->reply(200, json{{"events", events}, {"as_of", revision_}}.dump());
        it = watchers_.erase(it);
    }
}

} // namespace review
