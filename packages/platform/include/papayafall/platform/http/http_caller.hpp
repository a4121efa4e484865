#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/platform/http/platform_token.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QPointer>

#include <map>

namespace papayafall {

/// How to reach the platform's service over HTTP.
struct http_platform_options {
    endpoint address;
    /// Zone of the calling host; sent with each call.
    zone_name zone;
    /// Time that one call may take, besides the wait of a watch.
    std::chrono::milliseconds call_timeout{2000};
    /// Sent with each call as X-Consul-Token; empty for none.
    platform_token token;

    auto operator<=>(const http_platform_options&) const = default;
};

enum class http_method : std::uint8_t { get, put, remove };

/// One call to the platform's service.
struct http_call {
    http_method method = http_method::get;
    std::string path; ///< percent-encoded, with its query
    std::string body;
    /// Waits for a change; uses a connection of its own.
    bool waits = false;
    /// Added to the call timeout: how long the service may hold back its answer.
    std::chrono::milliseconds extra_wait{0};

    auto operator<=>(const http_call&) const = default;
};

/// An answer of the platform's service.
struct http_answer {
    int status = 0;
    std::string body;
    modify_index index; ///< header X-Consul-Index; 0 where it is missing

    auto operator<=>(const http_answer&) const = default;
};

/// Sends calls to the platform's service. A call with a body is sent once: Qt's own sending again
/// after a broken connection is prevented. Calls beyond the connections that Qt opens fail at
/// once instead of waiting inside Qt.
class http_caller {
  public:
    explicit http_caller(http_platform_options options);
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;
    ~http_caller();

    store_call send(const http_call& call, platform_reply<http_answer> reply);

    /// Cancels a call; its reply is not called any more.
    void cancel(store_call call);

  private:
    struct call_in_flight {
        QPointer<QNetworkReply> reply;
        bool waits = false;
    };

    QNetworkReply* start(const http_call& call);
    void finish(store_call number, QNetworkReply& reply, bool writes,
                const platform_reply<http_answer>& done);
    std::size_t in_flight(bool waits) const;

    http_platform_options options_;
    QNetworkAccessManager calls_;
    QNetworkAccessManager watches_;
    std::map<store_call, call_in_flight> in_flight_;
    store_call last_call_;
};

} // namespace papayafall
