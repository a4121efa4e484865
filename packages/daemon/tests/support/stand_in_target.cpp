#include "stand_in_target.hpp"

#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <stdexcept>

namespace papayafall {

namespace {

constexpr const char* ok = "HTTP/1.1 200 OK\r\n";
constexpr const char* failed = "HTTP/1.1 500 Internal Server Error\r\n";
constexpr const char* not_found = "HTTP/1.1 404 Not Found\r\n";
constexpr const char* busy = "HTTP/1.1 503 Service Unavailable\r\nPapayafall-Run: not-run\r\n";
constexpr const char* leaving = "HTTP/1.1 503 Service Unavailable\r\nPapayafall-Run: not-run\r\n"
                                "Papayafall-Leaving: true\r\n";

/// Socket property that marks connections on which nothing is answered any more.
constexpr const char* silent_property = "silent";

constexpr QLatin1String run_prefix("/v1/run/");

QByteArray encode(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

QJsonObject decode(const QHttpServerRequest& request)
{
    return QJsonDocument::fromJson(request.body()).object();
}

stand_in_mode parse_mode(const QString& name)
{
    static const std::map<QString, stand_in_mode> modes{
        {QStringLiteral("normal"), stand_in_mode::normal},
        {QStringLiteral("fail"), stand_in_mode::fail},
        {QStringLiteral("close"), stand_in_mode::close},
        {QStringLiteral("silent"), stand_in_mode::silent},
        {QStringLiteral("dead"), stand_in_mode::dead},
        {QStringLiteral("leaving"), stand_in_mode::leaving}};
    const auto it = modes.find(name);
    return it == modes.end() ? stand_in_mode::normal : it->second;
}

} // namespace

stand_in_target::stand_in_target(const stand_in_options& options, start_counts& starts,
                                 std::uint16_t port)
    : options_(options), starts_(&starts)
{
    auto* listener = new QTcpServer(this);
    if (!listener->listen(QHostAddress::LocalHost, port)) {
        throw std::runtime_error("cannot listen: " + listener->errorString().toStdString());
    }
    port_ = listener->serverPort();
    bind(listener);
    connect(listener, &QTcpServer::newConnection, this, [this] { ++counts_.connections; });
}

void stand_in_target::set_mode(stand_in_mode mode)
{
    mode_ = mode;
    for (QTcpSocket* it : findChildren<QTcpSocket*>()) {
        it->setProperty(silent_property, mode == stand_in_mode::silent);
    }
}

stand_in_counts stand_in_target::counts() const
{
    stand_in_counts now = counts_;
    now.open_connections = static_cast<std::uint32_t>(findChildren<QTcpSocket*>().size());
    return now;
}

bool stand_in_target::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
{
    const QString path = request.url().path();
    if (path.startsWith(run_prefix)) {
        run_task(request, *socket);
    } else if (path == QStringLiteral("/stand-in/starts")) {
        send_starts(*socket);
    } else if (path == QStringLiteral("/stand-in/mode")) {
        change_mode(decode(request), *socket);
    } else {
        answer(*socket, not_found, "{}");
    }
    return true;
}

void stand_in_target::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/)
{
}

void stand_in_target::run_task(const QHttpServerRequest& request, QTcpSocket& socket)
{
    if (mode_ == stand_in_mode::leaving) {
        ++counts_.refusals;
        answer(socket, leaving, "{}");
        return;
    }
    if (running_ >= options_.slots) {
        ++counts_.refusals;
        answer(socket, busy, "{}");
        return;
    }
    start_task(request.url().path().mid(run_prefix.size()), decode(request), socket);
}

void stand_in_target::start_task(const QString& service, const QJsonObject& task,
                                 QTcpSocket& socket)
{
    const QString id = task[u"id"].toString();
    ++(*starts_)[id.toStdString()];
    ++counts_.starts;
    counts_.max_running = std::max(counts_.max_running, ++running_);
    const double run_ms = task[u"run_ms"].toDouble(static_cast<double>(options_.run_time.count()));
    const bool fails = mode_ == stand_in_mode::fail;
    const bool closes = mode_ == stand_in_mode::close;
    const bool silent = is_silent(socket);
    const auto run_time = fails || closes ? 0 : static_cast<int>(run_ms * options_.slow_factor);

    const QPointer<QTcpSocket> caller(&socket);
    QTimer::singleShot(run_time, Qt::PreciseTimer, this, [=, this] {
        --running_;
        if (!caller || silent) {
            return;
        }
        if (closes) {
            caller->abort();
            return;
        }
        answer(*caller, fails ? failed : ok,
               encode({{QStringLiteral("id"), id}, {QStringLiteral("service"), service}}));
    });
}

bool stand_in_target::is_silent(const QTcpSocket& socket) const
{
    return mode_ == stand_in_mode::dead || socket.property(silent_property).toBool();
}

void stand_in_target::change_mode(const QJsonObject& wanted, QTcpSocket& socket)
{
    set_mode(parse_mode(wanted[u"mode"].toString()));
    options_.slow_factor = wanted[u"slow_factor"].toDouble(options_.slow_factor);
    answer(socket, ok, "{}");
}

void stand_in_target::send_starts(QTcpSocket& socket) const
{
    QJsonObject by_id;
    qint64 total = 0;
    for (const auto& [id, count] : *starts_) {
        by_id[QString::fromStdString(id)] = static_cast<qint64>(count);
        total += static_cast<qint64>(count);
    }
    answer(socket, ok,
           encode({{QStringLiteral("starts"), by_id}, {QStringLiteral("total"), total}}));
}

void stand_in_target::answer(QTcpSocket& socket, const QByteArray& head,
                             const QByteArray& body) const
{
    socket.write(head + "Content-Type: application/json\r\nContent-Length: " +
                 QByteArray::number(body.size()) + "\r\n\r\n" + body);
    if (options_.keep_alive == std::chrono::milliseconds::max()) {
        return;
    }
    QTimer::singleShot(options_.keep_alive, Qt::PreciseTimer, &socket,
                       [&socket] { socket.disconnectFromHost(); });
}

stand_in_targets::stand_in_targets(std::size_t count, const stand_in_options& options,
                                   std::uint16_t first_port)
{
    thread_.setObjectName(QStringLiteral("stand-ins"));
    context_.moveToThread(&thread_);
    thread_.start();
    on_thread([&] {
        for (std::size_t n = 0; n < count; ++n) {
            const auto port = static_cast<std::uint16_t>(first_port == 0 ? 0 : first_port + n);
            targets_.push_back(std::make_unique<stand_in_target>(options, starts_, port));
            ports_.push_back(targets_.back()->port());
        }
    });
}

stand_in_targets::~stand_in_targets()
{
    on_thread([this] { targets_.clear(); });
    thread_.quit();
    thread_.wait();
}

void stand_in_targets::set_mode(stand_in_mode mode, std::size_t index)
{
    on_thread([&] { targets_.at(index)->set_mode(mode); });
}

stand_in_counts stand_in_targets::counts(std::size_t index)
{
    stand_in_counts result;
    on_thread([&] { result = targets_.at(index)->counts(); });
    return result;
}

stand_in_target::start_counts stand_in_targets::starts()
{
    stand_in_target::start_counts result;
    on_thread([&] { result = starts_; });
    return result;
}

void stand_in_targets::on_thread(const std::function<void()>& call)
{
    QMetaObject::invokeMethod(&context_, call, Qt::BlockingQueuedConnection);
}

} // namespace papayafall
