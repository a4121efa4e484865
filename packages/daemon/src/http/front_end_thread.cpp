#include "papayafall/daemon/http/front_end_thread.hpp"

#include <QMetaObject>

#include <algorithm>
#include <utility>

namespace papayafall {

front_end_thread::front_end_thread(const front_end_options& options, const front_end_links& links,
                                   call_numbering numbering, std::optional<QSslConfiguration> tls)
    : clock_(links.clock), socket_(options.listen), tls_(std::move(tls)),
      server_(std::make_unique<caller_server>(options, links, numbering)),
      actions_([this] { wake(); })
{
    thread_.setObjectName("callers-" + QString::number(numbering.thread));
    server_->moveToThread(&thread_);
}

front_end_thread::~front_end_thread()
{
    join(clock_.read().steady);
}

void front_end_thread::start()
{
    thread_.start();
    const int descriptor = socket_.release();
    QMetaObject::invokeMethod(server_.get(),
                              [this, descriptor] { server_->open(descriptor, std::move(tls_)); });
}

void front_end_thread::set_tls(const QSslConfiguration& tls)
{
    QMetaObject::invokeMethod(server_.get(), [this, tls] { server_->set_tls(tls); });
}

void front_end_thread::stop_accepting()
{
    // The last connection is still on the call stack when the server is drained.
    const auto drained = [this] {
        QMetaObject::invokeMethod(
            server_.get(), [this] { end(); }, Qt::QueuedConnection);
    };
    QMetaObject::invokeMethod(server_.get(), [this, drained] { server_->stop_accepting(drained); });
}

void front_end_thread::join(time_point deadline)
{
    if (!thread_.isRunning()) {
        return;
    }
    const auto left = std::max(deadline - clock_.read().steady, duration::zero());
    const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    if (thread_.wait(QDeadlineTimer(left_ms))) {
        return;
    }
    QMetaObject::invokeMethod(server_.get(), [this] { end(); });
    thread_.wait();
}

void front_end_thread::end()
{
    server_->close();
    thread_.quit();
}

void front_end_thread::wake()
{
    QMetaObject::invokeMethod(
        server_.get(),
        [this] {
            for (const action& it : actions_.drain()) {
                server_->handle(it);
            }
        },
        Qt::QueuedConnection);
}

} // namespace papayafall
