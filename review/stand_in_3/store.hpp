#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// How the store treats the calls of one host.
enum class access { serve, busy, silent };

/// The platform's metadata store. Each host calls it at an address of its own.
class store {
  public:
    explicit store(event_loop& loop);

    /// Opens an address for a host.
    /// @return its number
    std::size_t add_entrance();

    std::string address(std::size_t entrance) const
    {
        return entrances_[entrance]->server->address();
    }

    void set_access(std::size_t entrance, access next);

    /// Writes on behalf of the operator or of a runner.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

    /// Entrance of the host that last wrote under a condition.
    std::size_t last_conditional_writer() const { return last_conditional_writer_; }

    /// Value of a key; null if there is none.
    nlohmann::json get(const std::string& key) const;
    std::vector<std::string> keys(const std::string& prefix) const;

  private:
    struct item {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease_state {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at = 0;
    };

    struct watcher {
        std::string prefix;
        std::uint64_t after = 0;
        std::int64_t deadline = 0;
        std::size_t entrance = 0;
        http_server::responder answer;
    };

    struct entrance_state {
        access mode = access::serve;
        std::unique_ptr<http_server> server;
    };

    void on_request(std::size_t entrance, const http_message& request,
                    const http_server::responder& answer);
    void transact(std::size_t entrance, const nlohmann::json& body,
                  const http_server::responder& answer);
    nlohmann::json item_json(const std::string& key) const;
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void erase(const std::string& key);
    void notify();
    void expire();

    event_loop& loop_;
    std::vector<std::unique_ptr<entrance_state>> entrances_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::vector<nlohmann::json> history_;
    std::list<watcher> watchers_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 0;
    std::size_t last_conditional_writer_ = 0;
};

std::string encode_base64(const std::string& text);
std::string decode_base64(const std::string& text);

} // namespace review
