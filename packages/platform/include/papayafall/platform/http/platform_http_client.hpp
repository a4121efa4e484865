#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/platform/http/platform_token.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QPointer>

#include <map>

namespace papayafall {

/// Settings for HTTP access to the platform's service.
struct http_platform_options {
    endpoint address;
    /// Zone of this host; sent with each request as X-Papayafall-Zone.
    zone_name zone;
    /// Timeout of one request, not counting the wait of a watch.
    std::chrono::milliseconds call_timeout{2000};
    /// Sent with each request as X-Consul-Token; no header is sent if empty.
    platform_token token;

    auto operator<=>(const http_platform_options&) const = default;
};

enum class http_method : std::uint8_t { get, put, remove };

/// Request to the platform's service.
struct platform_http_request {
    http_method method = http_method::get;
    std::string path; ///< percent-encoded, including the query
    std::string body;
    /// Whether the request is a blocking query, which is sent over separate connections.
    bool is_watch = false;
    /// Time for which the service may delay its response; added to the request timeout.
    std::chrono::milliseconds server_hold_time{0};

    auto operator<=>(const platform_http_request&) const = default;
};

/// Response of the platform's service.
struct platform_http_response {
    int status = 0;
    std::string body;
    modify_index index; ///< header X-Consul-Index; 0 if missing

    auto operator<=>(const platform_http_response&) const = default;
};

/// HTTP client for the platform's service. A request with a body is sent at most once: Qt's
/// automatic resend after a broken connection is prevented. Requests that exceed the number of
/// connections that Qt opens to one host fail at once instead of being queued inside Qt.
class platform_http_client {
  public:
    explicit platform_http_client(http_platform_options options);
    platform_http_client(const platform_http_client&) = delete;
    platform_http_client& operator=(const platform_http_client&) = delete;
    ~platform_http_client();

    /// Sends a request. The result identifies it for `cancel`.
    store_call send(const platform_http_request& request,
                    platform_reply<platform_http_response> reply);

    /// Cancels a request; its reply will not be called.
    void cancel(store_call call);

  private:
    struct pending_request {
        QPointer<QNetworkReply> reply;
        bool is_watch = false;
    };

    QNetworkReply* start(const platform_http_request& request);
    void finish(store_call call, QNetworkReply& reply, bool is_write,
                const platform_reply<platform_http_response>& on_done);
    std::size_t count_in_flight(bool is_watch) const;

    http_platform_options options_;
    QNetworkAccessManager request_manager_;
    QNetworkAccessManager watch_manager_;
    std::map<store_call, pending_request> in_flight_;
    store_call last_call_;
};

} // namespace papayafall
