#include "papayafall/platform/outbound/outbound_client.hpp"

#include "outbound_call.hpp"

#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

/// Minimum time between two deadline checks.
constexpr std::chrono::milliseconds min_timer_interval{1};

QUrl make_url(const outbound_request& request)
{
    QUrl url;
    url.setScheme(QStringLiteral("http"));
    url.setHost(QString::fromStdString(request->server.address));
    url.setPort(request->server.port);
    url.setPath(QString::fromStdString(request->path));
    return url;
}

/// Disables redirects, caching, cookies, pipelining, HTTP/2 and compression.
void disable_unused_features(QNetworkRequest& request)
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

/// Makes the library use a separate connection for each `connection_id`.
///
/// The library opens at most six connections to a server for all requests with the same peer verify
/// name and queues further requests. Without TLS the name has no other use, so a unique name gives
/// a request its own connection.
void select_connection(QNetworkRequest& request, connection_id connection,
                       std::chrono::seconds max_idle_time)
{
    request.setPeerVerifyName(QString::number(connection.value()));
    request.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute,
                         static_cast<int>(max_idle_time.count()));
}

QNetworkRequest make_request(const detail::outbound_call& call,
                             std::chrono::milliseconds max_idle_time)
{
    QNetworkRequest request(make_url(call.request));
    disable_unused_features(request);
    const bool dedicated = call.request->new_connection;
    select_connection(request, call.connection,
                      dedicated ? std::chrono::seconds(0)
                                : std::chrono::ceil<std::chrono::seconds>(max_idle_time));
    if (dedicated) {
        request.setRawHeader("Connection", "close");
    }
    if (call.request->method == outbound_method::post) {
        request.setHeader(QNetworkRequest::ContentLengthHeader,
                          QVariant::fromValue(static_cast<qint64>(call.request->body.size())));
        request.setHeader(QNetworkRequest::ContentTypeHeader,
                          QStringLiteral("application/octet-stream"));
    }
    for (const outbound_header& it : call.request->headers) {
        request.setRawHeader(QByteArray::fromStdString(it.name),
                             QByteArray::fromStdString(it.value));
    }
    return request;
}

/// Whether `error` concerns the connection rather than the status code of a complete response.
bool is_connection_error(QNetworkReply::NetworkError error) noexcept
{
    return (error > QNetworkReply::NoError && error <= QNetworkReply::UnknownNetworkError) ||
           error == QNetworkReply::ContentReSendError || error == QNetworkReply::ProtocolFailure;
}

/// Whether the error arose because the library tried to rewind the body for a redirect, which is
/// not followed anyway.
bool is_unfollowed_redirect(const QNetworkReply& reply)
{
    constexpr int first_redirect = 300;
    constexpr int first_client_error = 400;
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    return reply.error() == QNetworkReply::ContentReSendError && status >= first_redirect &&
           status < first_client_error;
}

bool failed_to_connect(QNetworkReply::NetworkError error) noexcept
{
    return error == QNetworkReply::ConnectionRefusedError ||
           error == QNetworkReply::HostNotFoundError;
}

/// Whether the response states the length of its body by other means than closing the connection.
bool is_delimited(const QNetworkReply& reply)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    return reply.hasRawHeader("Content-Length") || status == no_content || status == not_modified ||
           reply.rawHeader("Transfer-Encoding").toLower().contains("chunked");
}

outbound_response read_response(QNetworkReply& reply)
{
    outbound_response_fields fields;
    fields.status = static_cast<std::uint16_t>(
        reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt());
    for (const auto& [name, value] : reply.rawHeaderPairs()) {
        fields.headers.push_back(
            outbound_header{.name = name.toStdString(), .value = value.toStdString()});
    }
    fields.body = bytes(reply.readAll().toStdString());
    return {std::move(fields)};
}

bool exceeds_limit(const QNetworkReply& reply, std::size_t limit)
{
    const auto allowed = static_cast<qint64>(limit);
    return reply.bytesAvailable() > allowed ||
           reply.header(QNetworkRequest::ContentLengthHeader).toLongLong() > allowed;
}

outbound_outcome read_outcome(const detail::outbound_call& call, std::size_t limit)
{
    QNetworkReply& reply = *call.reply;
    const bool has_status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).isValid();
    const bool broken = is_connection_error(reply.error()) && !is_unfollowed_redirect(reply);
    if (!has_status || broken) {
        const bool is_unsent = call.is_unsent() || failed_to_connect(reply.error());
        return is_unsent ? outbound_failure::not_sent : outbound_failure::connection_lost;
    }
    if (exceeds_limit(reply, limit)) {
        return outbound_failure::answer_too_large;
    }
    if (!is_delimited(reply)) {
        return outbound_failure::answer_malformed;
    }
    return read_response(reply);
}

} // namespace

outbound_client::outbound_client(const outbound_options& options, const clock_source& clock,
                                 outbound_observer& observer)
    : options_(options), clock_(&clock), observer_(&observer), pool_(options.max_idle_time),
      calls_(std::make_unique<detail::outbound_call_table>())
{
    manager_.setProxy(QNetworkProxy::NoProxy);
    manager_.setAutoDeleteReplies(false);
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &outbound_client::on_timeout);
}

outbound_client::~outbound_client()
{
    while (const detail::outbound_call_ptr call = calls_->first()) {
        call->reply->disconnect(this);
        call->reply->abort();
        delete call->reply;
        calls_->erase(*call);
    }
}

void outbound_client::send(outbound_call_id call, const outbound_request& request)
{
    const time_point started_at = now();
    const time_point connected_by = started_at + options_.connect_timeout;
    const connection_id connection =
        request->new_connection ? pool_.acquire_new() : pool_.acquire(request->server, started_at);
    const detail::outbound_call_ptr it(new detail::outbound_call(
        call, request, connection, started_at, std::min(connected_by, request->deadline)));
    start(*it);
    connect(it->reply, &QNetworkReply::finished, this, [this, call] { on_reply_finished(call); });
    connect(it->reply, &QNetworkReply::readyRead, this, [this, call] { on_reply_progress(call); });
    connect(it->reply, &QNetworkReply::metaDataChanged, this,
            [this, call] { on_reply_progress(call); });
    calls_->insert(it);
    schedule();
}

void outbound_client::start(detail::outbound_call& call)
{
    const QNetworkRequest request = make_request(call, options_.max_idle_time);
    switch (call.request->method) {
    case outbound_method::get:
        call.attach(manager_.get(request), nullptr);
        return;
    case outbound_method::remove:
        call.attach(manager_.deleteResource(request), nullptr);
        return;
    case outbound_method::post:
        break;
    }
    auto* body = new one_shot_body(call.request->body);
    call.attach(manager_.post(request, body), body);
}

void outbound_client::abandon(outbound_call_id call)
{
    const detail::outbound_call_ptr it = calls_->find(call);
    if (it) {
        give_up(*it, outbound_failure::connection_lost);
    }
}

std::size_t outbound_client::in_progress() const noexcept
{
    return calls_->size();
}

outbound_counters outbound_client::counters() const noexcept
{
    return {.connections_opened = pool_.opened(), .connections_renewed = connections_renewed_};
}

void outbound_client::on_reply_finished(outbound_call_id call)
{
    const detail::outbound_call_ptr it = calls_->find(call);
    if (!it) {
        return;
    }
    const outbound_outcome outcome = read_outcome(*it, options_.max_response_bytes);
    const bool reusable = !it->request->new_connection &&
                          it->reply->error() != QNetworkReply::ContentReSendError &&
                          std::holds_alternative<outbound_response>(outcome);
    if (reusable) {
        pool_.release(it->request->server, it->connection, now());
    }
    finish(*it, outcome);
}

void outbound_client::on_reply_progress(outbound_call_id call)
{
    const detail::outbound_call_ptr it = calls_->find(call);
    if (it && exceeds_limit(*it->reply, options_.max_response_bytes)) {
        give_up(*it, outbound_failure::answer_too_large);
    }
}

void outbound_client::on_timeout()
{
    const time_point checked_at = now();
    for (auto it = calls_->first_to_check(); it && it->next_check_at <= checked_at;
         it = calls_->first_to_check()) {
        if (it->request->deadline > checked_at && !it->is_unsent()) {
            calls_->postpone(*it, it->request->deadline);
            continue;
        }
        pool_.discard_idle(it->request->server, it->sent_at);
        ++connections_renewed_;
        give_up(*it, outbound_failure::no_answer);
    }
    schedule();
}

void outbound_client::give_up(detail::outbound_call& call, outbound_failure reason)
{
    const bool is_unsent = call.is_unsent();
    call.reply->disconnect(this);
    call.reply->abort();
    finish(call, is_unsent ? outbound_failure::not_sent : reason);
}

void outbound_client::finish(detail::outbound_call& call, const outbound_outcome& outcome)
{
    const detail::outbound_call_ptr keep_alive(&call);
    call.reply->deleteLater();
    calls_->erase(call);
    schedule();
    observer_->on_finished(call.id, outcome);
}

void outbound_client::schedule()
{
    const detail::outbound_call_ptr first = calls_->first_to_check();
    if (!first || first->next_check_at == no_deadline) {
        timer_.stop();
        return;
    }
    if (timer_.isActive() && timer_due_at_ <= first->next_check_at) {
        return;
    }
    timer_due_at_ = first->next_check_at;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(first->next_check_at - now());
    timer_.start(std::max(wait, min_timer_interval));
}

} // namespace papayafall
