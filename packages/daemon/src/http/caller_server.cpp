#include "papayafall/daemon/http/caller_server.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/http/answer_codec.hpp"
#include "papayafall/wire/http/status_codec.hpp"

#include <prometheus/text_serializer.h>

#include <QHttpServerRequest>
#include <QUrl>

#include <chrono>
#include <string>
#include <utility>

namespace papayafall {

namespace {

constexpr std::chrono::milliseconds deadline_check_period{100};
constexpr std::string_view ok_result = "ok";

std::string method_name(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    default:
        return "OTHER";
    }
}

http_request to_http_request(const QHttpServerRequest& incoming)
{
    const auto header = [&incoming](const char* name) {
        return incoming.value(name).toStdString();
    };
    return http_request{
        .method = method_name(incoming.method()),
        .path = incoming.url().path(QUrl::FullyEncoded).toStdString(),
        .headers =
            {
                .idempotency_key = header("Idempotency-Key"),
                .team = header("Papayafall-Team"),
                .deadline_ms = header("Papayafall-Deadline-Ms"),
                .urgency = header("Papayafall-Urgency"),
            },
        .body = incoming.body().toStdString(),
    };
}

/// Returns the message of `error` without the error id in front, which problem details contain as a
/// separate field.
std::string message_without_error_id(const exception& error)
{
    const std::string_view text = error.what();
    const std::size_t n = text.find("] ");
    return std::string(n == std::string_view::npos ? text : text.substr(n + 2));
}

http_response state_response(bool ok, const char* state)
{
    return http_response{
        .status = static_cast<std::uint16_t>(ok ? 200 : 503),
        .body = std::string(R"({"status":")") + state + R"("})",
    };
}

} // namespace

class caller_server::request_visitor {
  public:
    request_visitor(caller_server& server, caller_socket& caller) noexcept
        : server_(server), caller_(caller)
    {
    }

    void operator()(const submit_call& requested) const
    {
        const bool is_job = requested.kind == request_kind::job;
        server_.context_.metrics.count_request(is_job ? "job" : "request");
        const call_id call =
            server_.register_call(caller_, is_job ? answer_format::job : answer_format::single);
        server_.context_.events.post(request_received{.call = call, .content = requested.content});
    }

    void operator()(const cancel_call& requested) const
    {
        server_.context_.metrics.count_request("cancel");
        const call_id call = server_.register_call(caller_, answer_format::cancellation);
        server_.context_.events.post(
            cancel_received{.origin = local_origin{call}, .key = requested.key});
    }

    void operator()(const tickets_call& requested) const
    {
        server_.context_.metrics.count_request("tickets");
        const call_id call = server_.register_call(caller_, answer_format::tickets);
        server_.context_.events.post(tickets_requested{.call = call, .count = requested.count});
    }

    void operator()(monitoring_page requested) const
    {
        server_.context_.metrics.count_request("page");
        server_.respond(caller_, render_page(requested), ok_result);
    }

  private:
    http_response render_page(monitoring_page requested) const
    {
        switch (requested) {
        case monitoring_page::health:
            return server_.health_page();
        case monitoring_page::readiness:
            return server_.readiness_page();
        case monitoring_page::metrics:
            return server_.metrics_page();
        case monitoring_page::status:
            break;
        }
        return server_.status_page();
    }

    caller_server& server_;
    caller_socket& caller_;
};

caller_server::caller_server(front_end_options options, const front_end_context& context,
                             call_id_partition partition)
    : options_(std::move(options)), context_(context), partition_(partition)
{
}

caller_server::~caller_server()
{
    close();
}

void caller_server::open(int descriptor, std::optional<QSslConfiguration> tls)
{
    listener_ = new caller_listener(options_, std::move(tls), context_, *this, this);
    listener_->setSocketDescriptor(descriptor);
    bind(listener_);
    deadline_timer_ = new QTimer(this);
    connect(deadline_timer_, &QTimer::timeout, this,
            [this] { listener_->enforce_deadlines(now()); });
    deadline_timer_->start(deadline_check_period);
}

void caller_server::handle(const action& requested)
{
    if (const auto* it = std::get_if<answer_call>(&requested)) {
        send_answer(it->call, it->result);
    } else if (const auto* issued = std::get_if<issue_tickets>(&requested)) {
        send_tickets(issued->call, issued->tickets);
    } else if (const auto* published = std::get_if<publish_status>(&requested)) {
        status_ = published->status;
        status_valid_until_ = now() + options_.status_validity;
    }
}

void caller_server::set_tls(const QSslConfiguration& tls)
{
    if (listener_ != nullptr) {
        listener_->set_tls(tls);
    }
}

void caller_server::stop_accepting(std::function<void()> on_drained)
{
    if (listener_ == nullptr) {
        return;
    }
    on_drained_ = std::move(on_drained);
    listener_->stop();
    notify_if_drained();
}

void caller_server::close()
{
    if (listener_ == nullptr) {
        return;
    }
    delete std::exchange(deadline_timer_, nullptr);
    listener_->abort_all();
    delete std::exchange(listener_, nullptr);
}

void caller_server::on_request_rejected(caller_socket& caller, const frame_rejected& reason)
{
    context_.metrics.count_request("refused");
    const failure cause{.id = reason.id, .run = run_state::not_run, .detail = reason.detail};
    respond(caller, problem_response(cause, reason.status, now()), to_string(reason.id));
}

void caller_server::on_closed(caller_socket& caller)
{
    auto& hook = static_cast<call_index_hook&>(caller);
    if (hook.is_linked()) {
        hook.unlink();
        context_.events.post(call_closed{.call = caller.call().call});
    }
    listener_->on_connection_closed();
    notify_if_drained();
}

bool caller_server::handleRequest(const QHttpServerRequest& incoming, QTcpSocket* socket)
{
    auto& caller = static_cast<caller_socket&>(*socket);
    caller.accept_request(incoming.method() == QHttpServerRequest::Method::Head);
    serve(caller, to_http_request(incoming));
    return true;
}

void caller_server::missingHandler(const QHttpServerRequest& /*incoming*/, QTcpSocket* /*socket*/)
{
}

void caller_server::serve(caller_socket& caller, const http_request& incoming)
{
    try {
        std::visit(request_visitor(*this, caller), decode_caller_request(incoming, now()));
    } catch (const request_error& ex) {
        context_.metrics.count_request("refused");
        respond(caller, failure{.id = ex.id(),
                                .run = run_state::not_run,
                                .detail = message_without_error_id(ex)});
    }
}

call_id caller_server::register_call(caller_socket& caller, answer_format format)
{
    const call_id call(next_call_++ * partition_.thread_count + partition_.thread_index);
    caller.set_call(pending_call{.call = call, .format = format, .received_at = now()});
    calls_.insert(caller);
    return call;
}

caller_socket* caller_server::take_call(call_id call)
{
    const auto it = calls_.find(call);
    if (it == calls_.end()) {
        return nullptr;
    }
    caller_socket& caller = *it;
    calls_.erase(it);
    context_.metrics.observe_answer_time(now() - caller.call().received_at);
    return &caller;
}

void caller_server::send_answer(call_id call, const answer& result)
{
    caller_socket* caller = take_call(call);
    if (caller == nullptr) {
        return;
    }
    const auto* reason = std::get_if<failure>(&result);
    respond(*caller, encode_answer(result, caller->call().format, now()),
            reason != nullptr ? to_string(reason->id) : ok_result);
}

void caller_server::send_tickets(call_id call, const std::vector<ticket>& tickets)
{
    if (caller_socket* caller = take_call(call)) {
        respond(*caller, http_response{.body = encode_tickets(tickets)}, ok_result);
    }
}

void caller_server::respond(caller_socket& caller, const http_response& response,
                            std::string_view result)
{
    context_.metrics.count_answer(result);
    caller.respond(response);
}

void caller_server::respond(caller_socket& caller, const failure& reason)
{
    respond(caller, problem_response(reason, now()), to_string(reason.id));
}

void caller_server::notify_if_drained()
{
    if (on_drained_ && listener_->connections() == 0) {
        std::exchange(on_drained_, nullptr)();
    }
}

http_response caller_server::health_page() const
{
    const bool alive = now() < status_valid_until_;
    return state_response(alive, alive ? "alive" : "silent");
}

http_response caller_server::readiness_page() const
{
    const bool ready = status_ && (*status_)->ready && now() < status_valid_until_;
    return state_response(ready, ready ? "ready" : "not ready");
}

http_response caller_server::metrics_page() const
{
    return http_response{
        .content_type = "text/plain; version=0.0.4; charset=utf-8",
        .body = prometheus::TextSerializer().Serialize(context_.registry.Collect()),
    };
}

http_response caller_server::status_page() const
{
    if (!status_) {
        return state_response(false, "not known yet");
    }
    return http_response{.body = encode_status(*status_, now())};
}

} // namespace papayafall
