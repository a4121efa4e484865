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

std::optional<revision_id> decode(const QByteArray& body)
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
    QNetworkRequest wanted(QUrl(QString::fromStdString(url + "/v1/status")));
    wanted.setTransferTimeout(static_cast<int>(call_timeout.count()));
    const std::unique_ptr<QNetworkReply> reply(manager.get(wanted));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    return reply->error() == QNetworkReply::NoError ? decode(reply->readAll()) : std::nullopt;
}

bool all_reached(const std::vector<host_revision>& hosts, revision_id wanted)
{
    return std::all_of(hosts.begin(), hosts.end(), [&](const host_revision& it) {
        return it.revision && *it.revision >= wanted;
    });
}

} // namespace

std::vector<host_revision> wait_for_revision(const std::vector<std::string>& urls,
                                             revision_id wanted, time_point deadline,
                                             const clock_source& clock)
{
    QNetworkAccessManager manager;
    manager.setProxy(QNetworkProxy::NoProxy);
    std::vector<host_revision> out;
    out.reserve(urls.size());
    for (const std::string& it : urls) {
        out.push_back({it, std::nullopt});
    }
    while (true) {
        for (host_revision& it : out) {
            if (!it.revision || *it.revision < wanted) {
                it.revision = read_revision(manager, it.url);
            }
        }
        if (all_reached(out, wanted) || clock.read().steady + poll_period >= deadline) {
            return out;
        }
        QEventLoop loop;
        QTimer::singleShot(poll_period, &loop, &QEventLoop::quit);
        loop.exec();
    }
}

} // namespace papayafall
