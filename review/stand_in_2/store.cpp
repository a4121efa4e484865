#include "store.hpp"

#include <algorithm>
#include <vector>

namespace review {

namespace {

using nlohmann::json;

constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& text)
{
    std::string encoded;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            block =
                block << 8U | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            encoded += n + k <= text.size() ? digits[block >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return encoded;
}

std::string decode_base64(const std::string& text)
{
    std::string decoded;
    std::uint32_t block = 0;
    unsigned bits = 0;
    for (const char it : text) {
        const char* const found = std::find(digits, digits + 64, it);
        if (found == digits + 64) {
            break;
        }
        block = block << 6U | static_cast<std::uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            decoded += static_cast<char>(block >> bits & 255U);
        }
    }
    return decoded;
}

std::string percent_decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            decoded += text[n];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : percent_decode(pair.substr(equals + 1));
        at = end;
    }
    return query;
}

json to_json(const std::string& key, const std::string& value, std::uint64_t revision,
             std::uint64_t created, std::uint64_t lease)
{
    return {{"key", key},
            {"value", value},
            {"revision", revision},
            {"created", created},
            {"lease", lease}};
}

http_reply reply(int status, const json& body)
{
    return {.status = status, .body = body.dump()};
}

} // namespace

store::store() : server_(free_port(), [this](const http_request& it) { return handle(it); })
{
    ticker_ = std::thread([this] {
        std::unique_lock lock(mutex_);
        while (!stopped_) {
            expire_leases();
            changed_.wait_for(lock, milliseconds(10));
        }
    });
}

store::~store()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    changed_.notify_all();
    ticker_.join();
    server_.stop();
}

void store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, encode_base64(value.dump()), 0);
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (items_.contains(key)) {
        ++revision_;
        erase(key);
    }
    changed_.notify_all();
}

json store::get(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? json() : json::parse(decode_base64(it->second.value));
}

http_reply store::handle(const http_request& request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/kv-range") {
        return range(parse_query(request.target));
    }
    if (path == "/kv-watch") {
        return watch(parse_query(request.target));
    }
    if (path == "/kv-txn") {
        return transact(json::parse(request.body));
    }
    const std::lock_guard lock(mutex_);
    if (path == "/kv-lease") {
        const milliseconds ttl(json::parse(request.body).at("ttl_ms").get<std::int64_t>());
        leases_[++last_lease_] = {steady::now() + ttl, ttl};
        return reply(200, {{"lease", last_lease_}, {"ttl_ms", ttl.count()}});
    }
    constexpr std::string_view keep = "/kv-keep/";
    if (path.starts_with(keep)) {
        const auto it = leases_.find(std::stoull(path.substr(keep.size())));
        if (it == leases_.end()) {
            return reply(404, json::object());
        }
        it->second.ends_at = steady::now() + it->second.ttl;
        return reply(200, {{"ttl_ms", it->second.ttl.count()}});
    }
    constexpr std::string_view end = "/kv-lease-end/";
    if (path.starts_with(end)) {
        end_lease(std::stoull(path.substr(end.size())));
        return reply(200, json::object());
    }
    return reply(400, json::object());
}

http_reply store::range(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(mutex_);
    const std::string& prefix = query.at("prefix");
    const auto after = query.find("after");
    json items = json::array();
    for (const auto& [key, it] : items_) {
        if (key.starts_with(prefix) && (after == query.end() || key > after->second)) {
            items.push_back(to_json(key, it.value, it.revision, it.created, it.lease));
        }
    }
    return reply(200, {{"items", items}, {"truncated", false}, {"as_of", revision_}});
}

http_reply store::watch(const std::map<std::string, std::string>& query)
{
    std::unique_lock lock(mutex_);
    const std::string& prefix = query.at("prefix");
    const std::uint64_t after = std::stoull(query.at("after"));
    const steady::time_point end = steady::now() + milliseconds(std::stoll(query.at("wait_ms")));
    while (true) {
        json events = json::array();
        for (auto it = history_.upper_bound(after); it != history_.end(); ++it) {
            for (const json& event : it->second) {
                if (event.at("key").get<std::string>().starts_with(prefix)) {
                    events.push_back(event);
                }
            }
        }
        if (!events.empty() || stopped_ || steady::now() >= end) {
            return reply(200, {{"events", events}, {"as_of", revision_}});
        }
        changed_.wait_until(lock, end);
    }
}

http_reply store::transact(const json& body)
{
    const std::lock_guard lock(mutex_);
    json present = json::array();
    bool holds = true;
    for (const json& it : body.at("expected")) {
        const std::string key = it.at("key");
        const auto found = items_.find(key);
        if (found != items_.end()) {
            present.push_back(to_json(key, found->second.value, found->second.revision,
                                      found->second.created, found->second.lease));
        }
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == it.at("revision").get<std::uint64_t>();
    }
    if (!holds) {
        return reply(412, {{"items", present}});
    }
    for (const json& it : body.at("put")) {
        const std::uint64_t id = it.value("lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id)) {
            return reply(404, json::object());
        }
    }
    ++revision_;
    for (const json& it : body.at("put")) {
        write(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}));
    }
    for (const json& it : body.at("remove")) {
        erase(it);
    }
    changed_.notify_all();
    return reply(200, {{"revision", revision_}});
}

void store::write(const std::string& key, const std::string& base64, std::uint64_t lease_id)
{
    const auto found = items_.find(key);
    const std::uint64_t created = found == items_.end() ? revision_ : found->second.created;
    items_[key] = {.value = base64, .revision = revision_, .created = created, .lease = lease_id};
    history_[revision_].push_back(to_json(key, base64, revision_, created, lease_id));
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) > 0) {
        history_[revision_].push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
}

void store::end_lease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> gone;
    for (const auto& [key, it] : items_) {
        if (it.lease == id) {
            gone.push_back(key);
        }
    }
    for (const std::string& it : gone) {
        ++revision_;
        erase(it);
    }
    changed_.notify_all();
}

void store::expire_leases()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, it] : leases_) {
        if (it.ends_at <= steady::now()) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t it : ended) {
        end_lease(it);
    }
}

} // namespace review
