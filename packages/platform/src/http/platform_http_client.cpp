#include "papayafall/platform/http/platform_http_client.hpp"

#include "papayafall/platform/outbound/one_shot_body.hpp"

#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

/// Number of connections that QNetworkAccessManager opens to one host.
constexpr std::size_t max_calls_in_flight = 6;

constexpr int first_error_status = 400;
constexpr int unauthorized_status = 401;
constexpr int forbidden_status = 403;
constexpr int first_server_error_status = 500;
constexpr int not_found_status = 404;

QUrl make_url(const endpoint& address, const std::string& path)
{
    QUrl url = QUrl(QString::fromStdString(path), QUrl::StrictMode);
    url.setScheme("http");
    url.setHost(QString::fromStdString(address.address));
    url.setPort(address.port);
    return url;
}

/// Whether the connection failed before any byte of the request could be written.
bool failed_to_connect(QNetworkReply::NetworkError error)
{
    return error == QNetworkReply::ConnectionRefusedError ||
           error == QNetworkReply::HostNotFoundError;
}

platform_failure connection_failure(const QNetworkReply& reply, bool is_write)
{
    const bool certainly_not_applied = !is_write || failed_to_connect(reply.error());
    return {error_id::platform_unavailable,
            certainly_not_applied ? write_effect::not_applied : write_effect::may_have_been_applied,
            reply.errorString().toStdString()};
}

platform_failure status_failure(int status, const std::string& body, bool is_write)
{
    constexpr std::size_t max_detail_bytes = 200;
    if (status == unauthorized_status || status == forbidden_status) {
        return {error_id::unauthorized, write_effect::not_applied,
                "the platform rejected the request: token missing or not permitted"};
    }
    const bool server_fault = status >= first_server_error_status;
    return {server_fault ? error_id::platform_unavailable : error_id::platform_protocol,
            server_fault && is_write ? write_effect::may_have_been_applied
                                     : write_effect::not_applied,
            "HTTP status " + std::to_string(status) + ": " + body.substr(0, max_detail_bytes)};
}

} // namespace

platform_http_client::platform_http_client(http_platform_options options)
    : options_(std::move(options))
{
    request_manager_.setProxy(QNetworkProxy::NoProxy);
    watch_manager_.setProxy(QNetworkProxy::NoProxy);
}

platform_http_client::~platform_http_client()
{
    while (!in_flight_.empty()) {
        cancel(in_flight_.begin()->first);
    }
}

store_call platform_http_client::send(const platform_http_request& request,
                                      platform_reply<platform_http_response> reply)
{
    last_call_ = last_call_.next();
    const store_call call = last_call_;
    if (count_in_flight(request.is_watch) >= max_calls_in_flight) {
        const platform_failure failure{error_id::platform_unavailable, write_effect::not_applied,
                                       "too many requests to the platform are in progress"};
        QMetaObject::invokeMethod(
            &request_manager_, [reply = std::move(reply), failure] { reply(failure); },
            Qt::QueuedConnection);
        return call;
    }
    QNetworkReply* network_reply = start(request);
    in_flight_[call] = {network_reply, request.is_watch};

    auto* timer = new QTimer(network_reply);
    timer->setSingleShot(true);
    QObject::connect(timer, &QTimer::timeout, network_reply, &QNetworkReply::abort);
    timer->start(options_.call_timeout + request.server_hold_time);

    const bool is_write = request.method != http_method::get;
    QObject::connect(network_reply, &QNetworkReply::finished, &request_manager_,
                     [this, call, network_reply, is_write, reply = std::move(reply)] {
                         finish(call, *network_reply, is_write, reply);
                     });
    return call;
}

void platform_http_client::cancel(store_call call)
{
    const auto it = in_flight_.find(call);
    if (it == in_flight_.end()) {
        return;
    }
    QNetworkReply* reply = it->second.reply;
    in_flight_.erase(it);
    if (reply != nullptr) {
        reply->disconnect(&request_manager_);
        reply->abort();
        reply->deleteLater();
    }
}

QNetworkReply* platform_http_client::start(const platform_http_request& request)
{
    QNetworkRequest network_request(make_url(options_.address, request.path));
    network_request.setRawHeader("X-Papayafall-Zone",
                                 QByteArray::fromStdString(options_.zone.text()));
    if (!options_.token.empty()) {
        network_request.setRawHeader("X-Consul-Token",
                                     QByteArray::fromStdString(options_.token.secret()));
    }
    network_request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    network_request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");

    QNetworkAccessManager& manager = request.is_watch ? watch_manager_ : request_manager_;
    if (request.method == http_method::get) {
        return manager.get(network_request);
    }
    if (request.method == http_method::remove) {
        return manager.deleteResource(network_request);
    }
    network_request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    network_request.setHeader(QNetworkRequest::ContentLengthHeader,
                              static_cast<qlonglong>(request.body.size()));
    auto* body = new one_shot_body(bytes(request.body));
    QNetworkReply* reply = manager.put(network_request, body);
    body->setParent(reply);
    return reply;
}

void platform_http_client::finish(store_call call, QNetworkReply& reply, bool is_write,
                                  const platform_reply<platform_http_response>& on_done)
{
    in_flight_.erase(call);
    reply.deleteLater();
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0 || (reply.error() != QNetworkReply::NoError && status < first_error_status)) {
        on_done(connection_failure(reply, is_write));
        return;
    }
    const std::string body = reply.readAll().toStdString();
    if (status >= first_error_status && status != not_found_status) {
        on_done(status_failure(status, body, is_write));
        return;
    }
    const modify_index index(reply.rawHeader("X-Consul-Index").toULongLong());
    on_done(platform_http_response{status, body, index});
}

std::size_t platform_http_client::count_in_flight(bool is_watch) const
{
    return static_cast<std::size_t>(
        std::count_if(in_flight_.begin(), in_flight_.end(),
                      [&](const auto& it) { return it.second.is_watch == is_watch; }));
}

} // namespace papayafall
