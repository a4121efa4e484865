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

constexpr std::chrono::milliseconds deadline_check_interval{100};
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

http_request read_request(const QHttpServerRequest& incoming)
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

/// The message of `error` without the identity in front, which problem details carry anyway.
std::string message_of(const exception& error)
{
    const std::string_view text = error.what();
    const std::size_t n = text.find("] ");
    return std::string(n == std::string_view::npos ? text : text.substr(n + 2));
}

http_response state_page(bool good, const char* state)
{
    return http_response{
        .status = static_cast<std::uint16_t>(good ? 200 : 503),
        .body = std::string(R"({"status":")") + state + R"("})",
    };
}

} // namespace

class caller_server::dispatcher {
  public:
    dispatcher(caller_server& server, caller_socket& caller) noexcept
        : server_(server), caller_(caller)
    {
    }

    void operator()(const submit_call& asked) const
    {
        const bool is_job = asked.kind == request_kind::job;
        server_.links_.metrics.count_request(is_job ? "job" : "request");
        const call_id call =
            server_.expect_answer(caller_, is_job ? answer_shape::job : answer_shape::single);
        server_.links_.events.post(request_received{.call = call, .content = asked.content});
    }

    void operator()(const cancel_call& asked) const
    {
        server_.links_.metrics.count_request("cancel");
        const call_id call = server_.expect_answer(caller_, answer_shape::cancellation);
        server_.links_.events.post(cancel_received{.origin = local_origin{call}, .key = asked.key});
    }

    void operator()(const tickets_call& asked) const
    {
        server_.links_.metrics.count_request("tickets");
        const call_id call = server_.expect_answer(caller_, answer_shape::tickets);
        server_.links_.events.post(tickets_requested{.call = call, .count = asked.count});
    }

    void operator()(page asked) const
    {
        server_.links_.metrics.count_request("page");
        server_.respond(caller_, show(asked), ok_result);
    }

  private:
    http_response show(page asked) const
    {
        switch (asked) {
        case page::health:
            return server_.health();
        case page::readiness:
            return server_.readiness();
        case page::metrics:
            return server_.metrics_page();
        case page::status:
            break;
        }
        return server_.status_page();
    }

    caller_server& server_;
    caller_socket& caller_;
};

caller_server::caller_server(front_end_options options, const front_end_links& links,
                             call_numbering numbering)
    : options_(std::move(options)), links_(links), numbering_(numbering)
{
}

caller_server::~caller_server()
{
    close();
}

void caller_server::open(int descriptor, std::optional<QSslConfiguration> tls)
{
    listener_ = new caller_listener(options_, std::move(tls), links_, *this, this);
    listener_->setSocketDescriptor(descriptor);
    bind(listener_);
    deadline_timer_ = new QTimer(this);
    connect(deadline_timer_, &QTimer::timeout, this, [this] { listener_->check_deadlines(now()); });
    deadline_timer_->start(deadline_check_interval);
}

void caller_server::handle(const action& requested)
{
    if (const auto* it = std::get_if<answer_call>(&requested)) {
        show_answer(it->call, it->result);
    } else if (const auto* issued = std::get_if<issue_tickets>(&requested)) {
        show_tickets(issued->call, issued->tickets);
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

void caller_server::stop_accepting(std::function<void()> drained)
{
    if (listener_ == nullptr) {
        return;
    }
    drained_ = std::move(drained);
    listener_->stop();
    check_drained();
}

void caller_server::close()
{
    if (listener_ == nullptr) {
        return;
    }
    delete std::exchange(deadline_timer_, nullptr);
    listener_->cut_all();
    delete std::exchange(listener_, nullptr);
}

void caller_server::on_refused(caller_socket& caller, const frame_refused& reason)
{
    links_.metrics.count_request("refused");
    const failure cause{.id = reason.id, .run = run_state::not_run, .detail = reason.detail};
    respond(caller, problem_response(cause, reason.status, now()), to_string(reason.id));
}

void caller_server::on_closed(caller_socket& caller)
{
    auto& hook = static_cast<call_index_hook&>(caller);
    if (hook.is_linked()) {
        hook.unlink();
        links_.events.post(call_closed{.call = caller.call().call});
    }
    listener_->count_closed();
    check_drained();
}

bool caller_server::handleRequest(const QHttpServerRequest& incoming, QTcpSocket* socket)
{
    auto& caller = static_cast<caller_socket&>(*socket);
    caller.begin(incoming.method() == QHttpServerRequest::Method::Head);
    serve(caller, read_request(incoming));
    return true;
}

void caller_server::missingHandler(const QHttpServerRequest& /*incoming*/, QTcpSocket* /*socket*/)
{
}

void caller_server::serve(caller_socket& caller, const http_request& incoming)
{
    try {
        std::visit(dispatcher(*this, caller), decode_caller_request(incoming, now()));
    } catch (const request_error& e) {
        links_.metrics.count_request("refused");
        respond(caller, failure{.id = e.id(), .run = run_state::not_run, .detail = message_of(e)});
    }
}

call_id caller_server::expect_answer(caller_socket& caller, answer_shape shape)
{
    const call_id call(next_call_++ * numbering_.threads + numbering_.thread);
    caller.set_call(open_call{.call = call, .shape = shape, .received_at = now()});
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
    links_.metrics.observe_answer_time(now() - caller.call().received_at);
    return &caller;
}

void caller_server::show_answer(call_id call, const answer& result)
{
    caller_socket* caller = take_call(call);
    if (caller == nullptr) {
        return;
    }
    const auto* reason = std::get_if<failure>(&result);
    respond(*caller, encode_answer(result, caller->call().shape, now()),
            reason != nullptr ? to_string(reason->id) : ok_result);
}

void caller_server::show_tickets(call_id call, const std::vector<ticket>& tickets)
{
    if (caller_socket* caller = take_call(call)) {
        respond(*caller, http_response{.body = encode_tickets(tickets)}, ok_result);
    }
}

void caller_server::respond(caller_socket& caller, const http_response& response,
                            std::string_view result)
{
    links_.metrics.count_answer(result);
    caller.respond(response);
}

void caller_server::respond(caller_socket& caller, const failure& reason)
{
    respond(caller, problem_response(reason, now()), to_string(reason.id));
}

void caller_server::check_drained()
{
    if (drained_ && listener_->connections() == 0) {
        std::exchange(drained_, nullptr)();
    }
}

http_response caller_server::health() const
{
    const bool alive = now() < status_valid_until_;
    return state_page(alive, alive ? "alive" : "silent");
}

http_response caller_server::readiness() const
{
    const bool ready = status_ && (*status_)->ready && now() < status_valid_until_;
    return state_page(ready, ready ? "ready" : "not ready");
}

http_response caller_server::metrics_page() const
{
    return http_response{
        .content_type = "text/plain; version=0.0.4; charset=utf-8",
        .body = prometheus::TextSerializer().Serialize(links_.registry.Collect()),
    };
}

http_response caller_server::status_page() const
{
    if (!status_) {
        return state_page(false, "not known yet");
    }
    return http_response{.body = encode_status(*status_, now())};
}

} // namespace papayafall
