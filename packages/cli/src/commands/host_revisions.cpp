#include "papayafall/cli/commands/host_revisions.hpp"

#include <nlohmann/json.hpp>

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QTimer>

#include <algorithm>
#include <memory>

namespace papayafall {

namespace {

constexpr std::chrono::milliseconds call_timeout{1'000};
constexpr std::chrono::milliseconds poll_period{200};

std::optional<revision_id> decode_revision(const QByteArray& body)
{
    const auto document = nlohmann::json::parse(body.toStdString(), nullptr, false);
    if (!document.is_object() || !document.contains("revision") ||
        !document["revision"].is_number_unsigned()) {
        return std::nullopt;
    }
    return revision_id(document["revision"].get<std::uint64_t>());
}

std::optional<revision_id> read_revision(QNetworkAccessManager& manager, const std::string& url)
{
    QNetworkRequest network_request(QUrl(QString::fromStdString(url + "/v1/status")));
    network_request.setTransferTimeout(static_cast<int>(call_timeout.count()));
    const std::unique_ptr<QNetworkReply> reply(manager.get(network_request));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    return reply->error() == QNetworkReply::NoError ? decode_revision(reply->readAll())
                                                    : std::nullopt;
}

bool all_in_force(const std::vector<host_revision>& hosts, revision_id required_revision)
{
    return std::all_of(hosts.begin(), hosts.end(), [&](const host_revision& it) {
        return it.revision && *it.revision >= required_revision;
    });
}

} // namespace

std::vector<host_revision> wait_for_revision(const std::vector<std::string>& urls,
                                             revision_id required_revision, time_point deadline,
                                             const clock_source& clock)
{
    QNetworkAccessManager manager;
    manager.setProxy(QNetworkProxy::NoProxy);
    std::vector<host_revision> host_revisions;
    host_revisions.reserve(urls.size());
    for (const std::string& it : urls) {
        host_revisions.push_back({it, std::nullopt});
    }
    while (true) {
        for (host_revision& it : host_revisions) {
            if (!it.revision || *it.revision < required_revision) {
                it.revision = read_revision(manager, it.url);
            }
        }
        if (all_in_force(host_revisions, required_revision) ||
            clock.read().steady + poll_period >= deadline) {
            return host_revisions;
        }
        QEventLoop loop;
        QTimer::singleShot(poll_period, &loop, &QEventLoop::quit);
        loop.exec();
    }
}

} // namespace papayafall
