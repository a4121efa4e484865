#include "support/stand_in_platform.hpp"

#include "papayafall/platform/memory/memory_key_value_store.hpp"

#include <nlohmann/json.hpp>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>

namespace papayafall {

namespace {

using status_code = QHttpServerResponder::StatusCode;

/// Copy of a request, which can be answered as long as its connection exists.
struct exchange {
    QHttpServerRequest::Method method;
    std::string path;
    QUrlQuery query;
    std::string body;
    QPointer<QTcpSocket> socket;
    std::shared_ptr<QHttpServerResponder> responder;

    bool has(const char* name) const { return query.hasQueryItem(name); }

    std::string parameter(const char* name) const
    {
        return query.queryItemValue(name).toStdString();
    }

    void answer(const nlohmann::json& content, status_code status, modify_index index = {}) const
    {
        if (socket == nullptr) {
            return;
        }
        responder->write(QByteArray::fromStdString(content.dump()),
                         {{"Content-Type", "application/json"},
                          {"X-Consul-Index", QByteArray::number(quint64(index.value()))}},
                         status);
    }

    void drop() const
    {
        if (socket != nullptr) {
            socket->abort();
        }
    }
};

nlohmann::json encode_entry(const stored_value& it)
{
    const QByteArray data = QByteArray::fromStdString(it.data).toBase64();
    nlohmann::json out{{"Key", it.key},
                       {"Value", data.toStdString()},
                       {"ModifyIndex", it.index.value()},
                       {"LockIndex", it.lock_count}};
    if (!it.holder.empty()) {
        out["Session"] = it.holder.text();
    }
    return out;
}

std::chrono::milliseconds parse_milliseconds(const std::string& text)
{
    // The client sends "<n>ms"; stoll ignores the unit.
    return std::chrono::milliseconds(std::stoll(text));
}

} // namespace

class stand_in_platform::service : public QAbstractHttpServer {
  public:
    explicit service(std::uint16_t port)
    {
        auto* listener = new QTcpServer(this);
        listener->listen(QHostAddress::LocalHost, port);
        bind(listener);
        port_ = listener->serverPort();
    }

    std::uint16_t port() const noexcept { return port_; }

    void set_faults(const stand_in_faults& faults)
    {
        faults_ = faults;
        if (faults.end_sessions) {
            store_.end_all_sessions();
        }
    }

    const std::map<std::string, std::uint64_t>& counts() const noexcept { return counts_; }

  protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override
    {
        const exchange it{
            .method = request.method(),
            .path = request.url().path(QUrl::FullyDecoded).toStdString(),
            .query = request.query(),
            .body = request.body().toStdString(),
            .socket = socket,
            .responder = std::make_shared<QHttpServerResponder>(makeResponder(request, socket)),
        };
        if (it.path.starts_with("/stand-in/")) {
            handle_control(it);
            return true;
        }
        if (!faults_.token.empty() &&
            request.value("X-Consul-Token").toStdString() != faults_.token) {
            it.answer("Permission denied", status_code::Forbidden);
            return true;
        }
        const std::string zone = request.value("X-Papayafall-Zone").toStdString();
        if (faults_.down || faults_.cut_zones.contains(zone)) {
            QTimer::singleShot(0, this, [it] { it.drop(); });
            return true;
        }
        if (faults_.delay_ms == 0) {
            handle(it);
            return true;
        }
        QTimer::singleShot(faults_.delay_ms, this, [this, it] { handle(it); });
        return true;
    }

    void missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) override
    {
        socket->abort();
    }

  private:
    void handle_control(const exchange& it)
    {
        if (it.path == "/stand-in/counts") {
            it.answer(counts_, status_code::Ok);
            return;
        }
        const nlohmann::json document = nlohmann::json::parse(it.body, nullptr, false);
        if (it.path != "/stand-in/faults" || !document.is_object()) {
            it.answer("unknown", status_code::NotFound);
            return;
        }
        set_faults({
            .down = document.value("down", false),
            .delay_ms = document.value("delay_ms", 0U),
            .lose_answers = document.value("lose_answers", 0U),
            .end_sessions = document.value("end_sessions", false),
            .cut_zones = document.value("cut_zones", std::set<std::string>()),
            .token = document.value("token", std::string()),
        });
        it.answer(document, status_code::Ok);
    }

    void handle(const exchange& it)
    {
        static const std::string kv = "/v1/kv/";
        if (it.path.starts_with("/v1/session/")) {
            handle_session(it);
            return;
        }
        const std::string key = it.path.substr(std::min(kv.size(), it.path.size()));
        if (it.method == QHttpServerRequest::Method::Put) {
            write(it, key);
            return;
        }
        if (it.method == QHttpServerRequest::Method::Delete) {
            ++counts_["erase"];
            store_.erase(key, reply_with_boolean(it, put_outcome::applied));
            return;
        }
        read(it, key);
    }

    void read(const exchange& it, const std::string& key)
    {
        if (it.has("recurse")) {
            ++counts_["list"];
            store_.list(key, [it](const platform_result<std::vector<stored_value>>& result) {
                nlohmann::json out = nlohmann::json::array();
                for (const stored_value& entry : std::get<std::vector<stored_value>>(result)) {
                    out.push_back(encode_entry(entry));
                }
                it.answer(out, out.empty() ? status_code::NotFound : status_code::Ok);
            });
            return;
        }
        if (it.has("keys")) {
            ++counts_["index"];
            store_.index(key, [it, key](const platform_result<modify_index>& result) {
                it.answer(nlohmann::json::array({key + "/"}), status_code::Ok,
                          std::get<modify_index>(result));
            });
            return;
        }
        auto reply = [it](const platform_result<read_result>& result) {
            const auto& read = std::get<read_result>(result);
            nlohmann::json out = nlohmann::json::array();
            if (read.found) {
                out.push_back(encode_entry(*read.found));
            }
            it.answer(out, read.found ? status_code::Ok : status_code::NotFound, read.index);
        };
        if (!it.has("index")) {
            ++counts_["get"];
            store_.get(key, reply);
            return;
        }
        ++counts_["watch"];
        const time_point until = clock_.read().steady + parse_milliseconds(it.parameter("wait"));
        store_.watch(key, modify_index(std::stoull(it.parameter("index"))), until, reply);
    }

    void write(const exchange& it, const std::string& key)
    {
        if (it.has("acquire")) {
            ++counts_["acquire"];
            store_.acquire({key, it.body, session_id(it.parameter("acquire"))},
                           reply_with_boolean(it, lock_outcome::granted));
            return;
        }
        if (it.has("release")) {
            ++counts_["release"];
            store_.release({key, it.body, session_id(it.parameter("release"))},
                           reply_with_boolean(it, lock_outcome::granted));
            return;
        }
        ++counts_["put"];
        put_request request{key, it.body, put_always{}};
        if (it.has("cas")) {
            const std::uint64_t index = std::stoull(it.parameter("cas"));
            request.condition = index == 0 ? put_condition(put_if_absent{})
                                           : put_condition(put_if_unchanged{modify_index(index)});
        }
        store_.put(request, reply_with_boolean(it, put_outcome::applied));
    }

    void handle_session(const exchange& it)
    {
        const std::string session = it.path.substr(it.path.rfind('/') + 1);
        if (it.path.starts_with("/v1/session/renew/")) {
            ++counts_["renew"];
            store_.renew_session(session_id(session), reply_with_status(it));
            return;
        }
        if (it.path.starts_with("/v1/session/destroy/")) {
            ++counts_["destroy"];
            store_.destroy_session(session_id(session),
                                   reply_with_boolean(it, session_status::ended));
            return;
        }
        ++counts_["open"];
        const nlohmann::json document = nlohmann::json::parse(it.body);
        store_.open_session(document.at("Name"), parse_milliseconds(document.at("TTL")),
                            [this, it](const platform_result<session_id>& result) {
                                const std::string id = std::get<session_id>(result).text();
                                answer_write(it, {{"ID", id}});
                            });
    }

    /// Makes a reply that answers whether the outcome is `expected`, or with status 500 on a
    /// failure.
    template <typename Outcome>
    platform_reply<Outcome> reply_with_boolean(const exchange& it, Outcome expected)
    {
        return [this, it, expected](const platform_result<Outcome>& result) {
            if (const auto* failure = std::get_if<platform_failure>(&result)) {
                it.answer(failure->detail, status_code::InternalServerError);
                return;
            }
            answer_write(it, std::get<Outcome>(result) == expected);
        };
    }

    platform_reply<session_status> reply_with_status(const exchange& it)
    {
        return [it](const platform_result<session_status>& result) {
            const bool alive = std::get<session_status>(result) == session_status::alive;
            it.answer(nlohmann::json::array(), alive ? status_code::Ok : status_code::NotFound);
        };
    }

    void answer_write(const exchange& it, const nlohmann::json& body)
    {
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            it.drop();
            return;
        }
        it.answer(body, status_code::Ok);
    }

    system_clock_source clock_;
    memory_key_value_store store_{clock_, lock_history::complete};
    stand_in_faults faults_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint16_t port_ = 0;
};

stand_in_platform::stand_in_platform(std::uint16_t port) : context_(std::make_unique<QObject>())
{
    context_->moveToThread(&thread_);
    thread_.start();
    QMetaObject::invokeMethod(
        context_.get(),
        [this, port] {
            service_ = std::make_unique<service>(port);
            address_ = {"127.0.0.1", service_->port()};
        },
        Qt::BlockingQueuedConnection);
}

stand_in_platform::~stand_in_platform()
{
    QMetaObject::invokeMethod(
        context_.get(), [this] { service_.reset(); }, Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
}

void stand_in_platform::set_faults(const stand_in_faults& faults)
{
    QMetaObject::invokeMethod(
        context_.get(), [&] { service_->set_faults(faults); }, Qt::BlockingQueuedConnection);
}

std::map<std::string, std::uint64_t> stand_in_platform::counts()
{
    std::map<std::string, std::uint64_t> out;
    QMetaObject::invokeMethod(
        context_.get(), [&] { out = service_->counts(); }, Qt::BlockingQueuedConnection);
    return out;
}

} // namespace papayafall
