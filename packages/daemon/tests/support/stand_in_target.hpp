#pragma once

#include <QAbstractHttpServer>
#include <QJsonObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayafall {

/// How a stand-in target responds to tasks.
enum class stand_in_mode : std::uint8_t {
    normal,
    fail,    ///< starts the task and answers 500 at once
    close,   ///< starts the task and closes the connection
    silent,  ///< starts the task and never answers, on existing connections only
    dead,    ///< as `silent`, and on new connections too
    leaving, ///< refuses tasks, with the not-run and leaving headers
};

struct stand_in_options {
    std::uint32_t slots = 8;
    std::chrono::milliseconds run_time{5};
    double slow_factor = 1.0; ///< multiplies every run time
    /// Time after an answer until the connection is closed; the maximum value means never.
    std::chrono::milliseconds keep_alive{std::chrono::milliseconds::max()};
};

/// Counters of one target since its construction.
struct stand_in_counts {
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t connections = 0;
    std::uint32_t max_running = 0;
    std::uint32_t open_connections = 0;
};

/// An HTTP target for tests; lives on the thread of a `stand_in_targets`.
///
/// Serves `POST /v1/run/<service>` with a JSON body {"id": "...", "run_ms": n}; the answer is
/// {"id": "...", "service": "..."}. `GET /stand-in/starts` gives the starts of all targets of the
/// process by id; `POST /stand-in/mode` with {"mode": "...", "slow_factor": x} changes this target.
class stand_in_target : public QAbstractHttpServer {
  public:
    using start_counts = std::map<std::string, std::uint64_t>;

    stand_in_target(const stand_in_options& options, start_counts& starts, std::uint16_t port);

    std::uint16_t port() const { return port_; }

    void set_mode(stand_in_mode mode);

    stand_in_counts counts() const;

  protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

  private:
    void run_task(const QHttpServerRequest& request, QTcpSocket& socket);
    void start_task(const QString& service, const QJsonObject& task, QTcpSocket& socket);
    void change_mode(const QJsonObject& wanted, QTcpSocket& socket);
    void send_starts(QTcpSocket& socket) const;
    void answer(QTcpSocket& socket, const QByteArray& head, const QByteArray& body) const;
    bool is_silent(const QTcpSocket& socket) const;

    stand_in_options options_;
    start_counts* starts_;
    stand_in_mode mode_ = stand_in_mode::normal;
    std::uint32_t running_ = 0;
    stand_in_counts counts_;
    std::uint16_t port_ = 0;
};

/// Several stand-in targets that share one thread.
class stand_in_targets {
  public:
    /// @param first_port port of the first target, the others follow; 0 selects free ports
    stand_in_targets(std::size_t count, const stand_in_options& options,
                     std::uint16_t first_port = 0);
    stand_in_targets(const stand_in_targets&) = delete;
    stand_in_targets& operator=(const stand_in_targets&) = delete;
    ~stand_in_targets();

    std::uint16_t port(std::size_t index = 0) const { return ports_.at(index); }

    std::size_t size() const { return ports_.size(); }

    void set_mode(stand_in_mode mode, std::size_t index = 0);

    stand_in_counts counts(std::size_t index = 0);

    /// Number of starts by task id, over all targets.
    stand_in_target::start_counts starts();

  private:
    void on_thread(const std::function<void()>& call);

    QThread thread_;
    QObject context_;
    stand_in_target::start_counts starts_;
    std::vector<std::unique_ptr<stand_in_target>> targets_;
    std::vector<std::uint16_t> ports_;
};

} // namespace papayafall
