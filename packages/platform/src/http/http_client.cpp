#include "papayafall/platform/http/http_client.hpp"

#include "http_call.hpp"
#include "papayafall/platform/http/steady_now.hpp"

#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

/// Shortest time between two looks at the deadlines.
constexpr std::chrono::milliseconds timer_resolution{1};

QUrl make_url(const http_request& request)
{
    QUrl url;
    url.setScheme(QStringLiteral("http"));
    url.setHost(QString::fromStdString(request->server.address));
    url.setPort(request->server.port);
    url.setPath(QString::fromStdString(request->path));
    return url;
}

/// Turns off what a request could bring beyond one exchange with one server.
void restrict_features(QNetworkRequest& request)
{
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                         QNetworkRequest::AlwaysNetwork);
    request.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::HttpPipeliningAllowedAttribute, false);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setRawHeader("Accept-Encoding", "identity");
}

/// Has the library keep a connection of its own for each `connection_id`.
///
/// The library shares at most six connections to a server among all requests with the same verify
/// name, and queues what goes beyond. Without TLS the name has no other use, so that a name of its
/// own gives a request a connection of its own.
void select_connection(QNetworkRequest& request, connection_id connection,
                       std::chrono::milliseconds idle_limit)
{
    const auto idle_seconds = std::chrono::ceil<std::chrono::seconds>(idle_limit);
    request.setPeerVerifyName(QString::number(connection.value()));
    request.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute,
                         static_cast<int>(idle_seconds.count()));
}

QNetworkRequest make_request(const detail::http_call& call, std::chrono::milliseconds idle_limit)
{
    QNetworkRequest request(make_url(call.request));
    restrict_features(request);
    select_connection(request, call.connection, idle_limit);
    request.setHeader(QNetworkRequest::ContentLengthHeader,
                      QVariant::fromValue(static_cast<qint64>(call.request->body.size())));
    request.setHeader(QNetworkRequest::ContentTypeHeader,
                      QStringLiteral("application/octet-stream"));
    for (const http_header& it : call.request->headers) {
        request.setRawHeader(QByteArray::fromStdString(it.name),
                             QByteArray::fromStdString(it.value));
    }
    return request;
}

/// Whether `error` tells of the connection rather than of the status of a whole response.
bool is_connection_error(QNetworkReply::NetworkError error) noexcept
{
    return (error > QNetworkReply::NoError && error <= QNetworkReply::UnknownNetworkError) ||
           error == QNetworkReply::ContentReSendError || error == QNetworkReply::ProtocolFailure;
}

/// Whether the library gave up preparing for a redirect that is not going to be followed.
bool is_unfollowed_redirect(const QNetworkReply& reply)
{
    constexpr int first_redirect = 300;
    constexpr int first_client_error = 400;
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    return reply.error() == QNetworkReply::ContentReSendError && status >= first_redirect &&
           status < first_client_error;
}

bool was_refused(QNetworkReply::NetworkError error) noexcept
{
    return error == QNetworkReply::ConnectionRefusedError ||
           error == QNetworkReply::HostNotFoundError;
}

/// Whether the end of the body was told by more than the end of the connection.
bool is_delimited(const QNetworkReply& reply)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    return reply.hasRawHeader("Content-Length") || status == no_content || status == not_modified ||
           reply.rawHeader("Transfer-Encoding").toLower().contains("chunked");
}

http_response read_response(QNetworkReply& reply)
{
    http_response_fields fields;
    fields.status = static_cast<std::uint16_t>(
        reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt());
    for (const auto& [name, value] : reply.rawHeaderPairs()) {
        fields.headers.push_back(
            http_header{.name = name.toStdString(), .value = value.toStdString()});
    }
    fields.body = bytes(reply.readAll().toStdString());
    return {std::move(fields)};
}

bool exceeds(const QNetworkReply& reply, std::size_t limit)
{
    const auto allowed = static_cast<qint64>(limit);
    return reply.bytesAvailable() > allowed ||
           reply.header(QNetworkRequest::ContentLengthHeader).toLongLong() > allowed;
}

http_outcome read_outcome(const detail::http_call& call, std::size_t limit)
{
    QNetworkReply& reply = *call.reply;
    const bool has_status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).isValid();
    const bool broken = is_connection_error(reply.error()) && !is_unfollowed_redirect(reply);
    if (!has_status || broken) {
        const bool unsent = call.unsent() || was_refused(reply.error());
        return unsent ? http_failure::not_sent : http_failure::connection_lost;
    }
    if (exceeds(reply, limit)) {
        return http_failure::answer_too_large;
    }
    if (!is_delimited(reply)) {
        return http_failure::answer_malformed;
    }
    return read_response(reply);
}

} // namespace

http_client::http_client(const http_client_options& options, http_observer& observer)
    : options_(options), observer_(&observer), pool_(options.idle_limit),
      calls_(std::make_unique<detail::http_call_table>())
{
    manager_.setProxy(QNetworkProxy::NoProxy);
    manager_.setAutoDeleteReplies(false);
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &http_client::on_timeout);
}

http_client::~http_client()
{
    while (const detail::http_call_ptr call = calls_->first()) {
        call->reply->disconnect(this);
        call->reply->abort();
        delete call->reply;
        calls_->erase(*call);
    }
}

void http_client::post(http_call_id call, const http_request& request)
{
    const time_point now = steady_now();
    const time_point connected_by = now + options_.connect_limit;
    const detail::http_call_ptr it(
        new detail::http_call(call, request, pool_.acquire(request->server, now),
                              std::min(connected_by, request->deadline)));
    auto* body = new one_shot_body(request->body);
    it->attach(manager_.post(make_request(*it, options_.idle_limit), body), body);
    connect(it->reply, &QNetworkReply::finished, this, [this, call] { on_reply_finished(call); });
    connect(it->reply, &QNetworkReply::readyRead, this, [this, call] { on_reply_progress(call); });
    connect(it->reply, &QNetworkReply::metaDataChanged, this,
            [this, call] { on_reply_progress(call); });
    calls_->insert(it);
    schedule();
}

void http_client::abandon(http_call_id call)
{
    const detail::http_call_ptr it = calls_->find(call);
    if (it) {
        give_up(*it, http_failure::connection_lost);
    }
}

std::size_t http_client::in_progress() const noexcept
{
    return calls_->size();
}

http_client_counters http_client::counters() const noexcept
{
    return {.connections_opened = pool_.opened(), .connections_renewed = renewed_};
}

void http_client::on_reply_finished(http_call_id call)
{
    const detail::http_call_ptr it = calls_->find(call);
    if (!it) {
        return;
    }
    const http_outcome outcome = read_outcome(*it, options_.largest_answer);
    const bool whole = it->reply->error() != QNetworkReply::ContentReSendError &&
                       std::holds_alternative<http_response>(outcome);
    if (whole) {
        pool_.release(it->request->server, it->connection, steady_now());
    }
    finish(*it, outcome);
}

void http_client::on_reply_progress(http_call_id call)
{
    const detail::http_call_ptr it = calls_->find(call);
    if (it && exceeds(*it->reply, options_.largest_answer)) {
        give_up(*it, http_failure::answer_too_large);
    }
}

void http_client::on_timeout()
{
    const time_point now = steady_now();
    for (auto it = calls_->first_due(); it && it->due <= now; it = calls_->first_due()) {
        if (it->request->deadline > now && !it->unsent()) {
            calls_->postpone(*it, it->request->deadline);
            continue;
        }
        pool_.renew(it->request->server);
        ++renewed_;
        give_up(*it, http_failure::no_answer);
    }
    schedule();
}

void http_client::give_up(detail::http_call& call, http_failure reason)
{
    const bool unsent = call.unsent();
    call.reply->disconnect(this);
    call.reply->abort();
    finish(call, unsent ? http_failure::not_sent : reason);
}

void http_client::finish(detail::http_call& call, const http_outcome& outcome)
{
    const detail::http_call_ptr keep(&call);
    call.reply->deleteLater();
    calls_->erase(call);
    schedule();
    observer_->on_finished(call.id, outcome);
}

void http_client::schedule()
{
    const detail::http_call_ptr first = calls_->first_due();
    if (!first || first->due == no_deadline) {
        timer_.stop();
        return;
    }
    if (timer_.isActive() && wakes_at_ <= first->due) {
        return;
    }
    wakes_at_ = first->due;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(first->due - steady_now());
    timer_.start(std::max(wait, timer_resolution));
}

} // namespace papayafall
