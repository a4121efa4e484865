#include "papayafall/daemon/peers/peer_traffic.hpp"

#include "peer_manager.hpp"

#include <exception>
#include <utility>

namespace papayafall {

peer_traffic::peer_traffic(const peer_options& options, event_sink& events,
                           prometheus::Registry& metrics)
    : actions_([this] {
          QMetaObject::invokeMethod(
              &context_, [this] { process_actions(); }, Qt::QueuedConnection);
      })
{
    thread_.setObjectName(QStringLiteral("peers"));
    context_.moveToThread(&thread_);
    thread_.start();

    std::exception_ptr failure;
    const auto open = [&] {
        try {
            manager_ = std::make_unique<detail::peer_manager>(options, events, metrics);
            link_ = manager_->link();
            datagrams_ = manager_->datagrams();
        } catch (...) {
            failure = std::current_exception();
        }
    };
    QMetaObject::invokeMethod(&context_, open, Qt::BlockingQueuedConnection);
    if (failure) {
        thread_.quit();
        thread_.wait();
        std::rethrow_exception(failure);
    }
}

peer_traffic::~peer_traffic()
{
    const auto close = [this] {
        process_actions();
        manager_.reset();
    };
    QMetaObject::invokeMethod(&context_, close, Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
}

void peer_traffic::post(action requested)
{
    actions_.post(std::move(requested));
}

void peer_traffic::process_actions()
{
    if (manager_) {
        manager_->handle(actions_.drain());
    }
}

} // namespace papayafall
