#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace review {

/// Stand-in of the platform's metadata store: items, leases, watches and transactions.
class store {
  public:
    explicit store(event_loop& loop);

    std::uint16_t port() const noexcept { return server_.port(); }

    /// Writes as the operator or as a runner.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

  private:
    struct item {
        std::string text; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct watcher {
        std::string prefix;
        std::uint64_t after = 0;
        time_point deadline;
        http_server::reply_function reply;
    };

    struct granted_lease {
        time_point expires_at;
        milliseconds ttl{};
    };

    void on_request(const http_message& request, const http_server::reply_function& reply);
    void read_key(const std::string& key, const http_server::reply_function& reply) const;
    void read_range(const std::string& prefix, const std::string& after,
                    const http_server::reply_function& reply) const;
    void write_transaction(const nlohmann::json& body, const http_server::reply_function& reply);
    void write_item(const std::string& key, const std::string& text, std::uint64_t lease);
    void remove_item(const std::string& key);
    void expire_leases();
    void answer_watchers();
    void tick();

    event_loop& loop_;
    std::map<std::string, item> items_;
    std::multimap<std::uint64_t, nlohmann::json> history_;
    std::map<std::uint64_t, granted_lease> leases_;
    std::list<watcher> watchers_;
    std::uint64_t revision_ = 400;
    std::uint64_t last_lease_ = 77'000;
    http_server server_;
};

} // namespace review
