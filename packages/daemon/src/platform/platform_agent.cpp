#include "papayafall/daemon/platform/platform_agent.hpp"

#include "papayafall/daemon/platform/configuration_watcher.hpp"
#include "papayafall/daemon/platform/host_list_poller.hpp"
#include "papayafall/daemon/platform/platform_session.hpp"
#include "papayafall/daemon/platform/seat_claimer.hpp"

#include <QTimer>

#include <utility>

namespace papayafall {

namespace {

/// Maximum wait for the platform when the agent stops.
constexpr std::chrono::milliseconds stop_timeout{1'000};

} // namespace

/// Components of the agent; created and used on the agent's thread.
class platform_agent::agent_components {
  public:
    explicit agent_components(platform_agent& agent)
        : connection_(agent.connector_.connect(agent.clock_)),
          session_(agent.options_, *connection_.store, agent.clock_, agent.events_,
                   [this] { seats_.set_session(session_id()); }),
          seats_(agent.options_, *connection_.store, agent.clock_, agent.events_),
          configuration_(agent.options_, *connection_.store, agent.clock_, agent.events_),
          hosts_(agent.options_, *connection_.hosts, agent.clock_, agent.events_)
    {
        session_.open();
        hosts_.read();
    }

    void handle(const action& requested)
    {
        if (const auto* claim = std::get_if<claim_seat>(&requested)) {
            seats_.set_session(session_.session());
            seats_.claim(claim->seat);
        } else if (const auto* release = std::get_if<release_seat>(&requested)) {
            seats_.set_session(session_.session());
            seats_.release(release->seat);
        } else if (const auto* watch = std::get_if<watch_configuration>(&requested)) {
            configuration_.set_enabled(watch->enabled);
        }
    }

    void close(std::function<void()> done)
    {
        configuration_.set_enabled(false);
        seats_.set_session(session_id());
        session_.close(std::move(done));
    }

  private:
    platform_connection connection_;
    platform_session session_;
    seat_claimer seats_;
    configuration_watcher configuration_;
    host_list_poller hosts_;
};

platform_agent::platform_agent(platform_agent_options options, const platform_connector& connector,
                               event_sink& events, const clock_source& clock)
    : options_(std::move(options)), connector_(connector), events_(events), clock_(clock),
      context_(std::make_unique<QObject>()), mailbox_([this] { wake(); })
{
    thread_.setObjectName("platform");
    context_->moveToThread(&thread_);
}

platform_agent::~platform_agent()
{
    stop();
}

void platform_agent::start()
{
    thread_.start();
    QMetaObject::invokeMethod(
        context_.get(),
        [this] {
            components_ = std::make_unique<agent_components>(*this);
            wake();
        },
        Qt::QueuedConnection);
}

void platform_agent::stop()
{
    if (!thread_.isRunning()) {
        return;
    }
    QMetaObject::invokeMethod(
        context_.get(),
        [this] {
            auto finish = [this] {
                components_.reset();
                thread_.quit();
            };
            // The components must not be destroyed from within one of their own callbacks.
            components_->close([this, finish] {
                QMetaObject::invokeMethod(context_.get(), finish, Qt::QueuedConnection);
            });
            QTimer::singleShot(stop_timeout, context_.get(), finish);
        },
        Qt::QueuedConnection);
    thread_.wait();
}

void platform_agent::post(action requested)
{
    mailbox_.post(std::move(requested));
}

void platform_agent::wake()
{
    QMetaObject::invokeMethod(
        context_.get(),
        [this] {
            if (components_ == nullptr) {
                return; // the mailbox is drained once the components exist
            }
            for (const action& it : mailbox_.drain()) {
                components_->handle(it);
            }
        },
        Qt::QueuedConnection);
}

} // namespace papayafall
