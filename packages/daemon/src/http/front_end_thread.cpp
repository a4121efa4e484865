#include "papayafall/daemon/http/front_end_thread.hpp"

#include <QMetaObject>

#include <algorithm>
#include <utility>

namespace papayafall {

front_end_thread::front_end_thread(const front_end_options& options,
                                   const front_end_context& context, call_id_partition partition,
                                   std::optional<QSslConfiguration> tls)
    : clock_(context.clock), socket_(options.listen), tls_(std::move(tls)),
      server_(std::make_unique<caller_server>(options, context, partition)),
      actions_([this] { wake(); })
{
    thread_.setObjectName("callers-" + QString::number(partition.thread_index));
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
    // Queued, because the callback runs inside a member of the last connection's socket, which
    // `shut_down` destroys.
    const auto on_drained = [this] {
        QMetaObject::invokeMethod(
            server_.get(), [this] { shut_down(); }, Qt::QueuedConnection);
    };
    QMetaObject::invokeMethod(server_.get(),
                              [this, on_drained] { server_->stop_accepting(on_drained); });
}

void front_end_thread::join(time_point deadline)
{
    if (!thread_.isRunning()) {
        return;
    }
    const auto remaining = std::max(deadline - clock_.read().steady, duration::zero());
    const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    if (thread_.wait(QDeadlineTimer(remaining_ms))) {
        return;
    }
    QMetaObject::invokeMethod(server_.get(), [this] { shut_down(); });
    thread_.wait();
}

void front_end_thread::shut_down()
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
