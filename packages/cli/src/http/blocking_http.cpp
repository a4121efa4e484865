#include "papayafall/cli/http/blocking_http.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/outbound/one_shot_body.hpp"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QUrl>

#include <charconv>
#include <memory>

namespace papayafall {

namespace {

QNetworkRequest make_request(const endpoint& host, const entry_host_request& request)
{
    QUrl url;
    url.setScheme("http");
    url.setHost(QString::fromStdString(host.address));
    url.setPort(host.port);
    url.setPath(QString::fromStdString(request.path));
    QNetworkRequest result(url);
    result.setTransferTimeout(static_cast<int>(request.timeout.count()));
    result.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                        QNetworkRequest::ManualRedirectPolicy);
    result.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    result.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    for (const http_header& it : request.headers) {
        result.setRawHeader(QByteArray::fromStdString(it.name),
                            QByteArray::fromStdString(it.value));
    }
    return result;
}

} // namespace

endpoint parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const char* const end = text.data() + text.size();
        const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
        if (ec == std::errc() && rest == end && port != 0) {
            return endpoint{.address = std::string(text.substr(0, colon)), .port = port};
        }
    }
    throw request_error(error_id::malformed_request,
                        "'" + std::string(text) + "' is not of the form address:port");
}

entry_host_response call_entry_host(const endpoint& host, const entry_host_request& request)
{
    QNetworkAccessManager manager;
    QNetworkRequest network_request = make_request(host, request);
    one_shot_body body(bytes(request.body));
    std::unique_ptr<QNetworkReply> reply;
    if (request.method == entry_host_method::get) {
        reply.reset(manager.get(network_request));
    } else {
        body.open(QIODevice::ReadOnly);
        network_request.setHeader(QNetworkRequest::ContentLengthHeader,
                                  static_cast<qlonglong>(request.body.size()));
        network_request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
        reply.reset(manager.post(network_request, &body));
    }
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();

    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0) {
        throw request_error(error_id::home_unreachable,
                            host.address + ":" + std::to_string(host.port) +
                                " did not answer: " + reply->errorString().toStdString());
    }
    return entry_host_response{.status = status, .body = reply->readAll().toStdString()};
}

} // namespace papayafall
