#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/// Stand-in of the platform's metadata store. It loses nothing and answers at once.
class store {
  public:
    store();
    ~store();

    std::uint16_t port() const noexcept { return server_.port(); }

    /// Writes a key as the operator or a runner does.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

    /// Value of a key, or null.
    nlohmann::json get(const std::string& key);

  private:
    struct item {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease {
        steady::time_point ends_at;
        milliseconds ttl{};
    };

    http_reply handle(const http_request& request);
    http_reply range(const std::map<std::string, std::string>& query);
    http_reply watch(const std::map<std::string, std::string>& query);
    http_reply transact(const nlohmann::json& body);
    void write(const std::string& key, const std::string& base64, std::uint64_t lease_id);
    void erase(const std::string& key);
    void end_lease(std::uint64_t id);
    void expire_leases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, nlohmann::json> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 70'000;
    bool stopped_ = false;
    std::thread ticker_;
    http_server server_;
};

} // namespace review
