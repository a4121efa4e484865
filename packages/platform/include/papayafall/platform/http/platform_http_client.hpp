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
struct platform_http_request {
    http_method method = http_method::get;
    std::string path; ///< percent-encoded, with its query
    std::string body;
    /// Waits for a change; uses a connection of its own.
    bool is_watch = false;
    /// Added to the call timeout: how long the service may hold back its answer.
    std::chrono::milliseconds server_hold_time{0};

    auto operator<=>(const platform_http_request&) const = default;
};

/// An answer of the platform's service.
struct platform_http_response {
    int status = 0;
    std::string body;
    modify_index index; ///< header X-Consul-Index; 0 where it is missing

    auto operator<=>(const platform_http_response&) const = default;
};

/// Sends calls to the platform's service. A call with a body is sent once: Qt's own sending again
/// after a broken connection is prevented. Calls beyond the connections that Qt opens fail at
/// once instead of waiting inside Qt.
class platform_http_client {
  public:
    explicit platform_http_client(http_platform_options options);
    platform_http_client(const platform_http_client&) = delete;
    platform_http_client& operator=(const platform_http_client&) = delete;
    ~platform_http_client();

    store_call send(const platform_http_request& call,
                    platform_reply<platform_http_response> reply);

    /// Cancels a call; its reply is not called any more.
    void cancel(store_call call);

  private:
    struct pending_request {
        QPointer<QNetworkReply> reply;
        bool is_watch = false;
    };

    QNetworkReply* start(const platform_http_request& call);
    void finish(store_call number, QNetworkReply& reply, bool writes,
                const platform_reply<platform_http_response>& done);
    std::size_t count_in_flight(bool is_watch) const;

    http_platform_options options_;
    QNetworkAccessManager request_manager_;
    QNetworkAccessManager watch_manager_;
    std::map<store_call, pending_request> in_flight_;
    store_call last_call_;
};

} // namespace papayafall
